#include "serving/ReplicaAgent.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;

// The replica is on this host and answers within a millisecond; a failed call tells of its end.
constexpr auto reportTimeout = Duration(400ms);
// The report is read this often while an adapter is on its way, so that its requests start within that of its arrival:
// an eighth of the time that it has taken, between these. A load from the replica's own memory takes some 30 ms, one
// from the store ten times that; each reading costs as much as a token.
constexpr auto busyInterval = Duration(15ms);
constexpr auto longestBusyInterval = Duration(50ms);
constexpr auto busyShare = 8;
// And this often otherwise.
constexpr auto idleInterval = Duration(250ms);
// The check waits for a place in the replica's batch like any request.
constexpr auto identityTimeout = Duration(1500ms);
// Demand moves on within tens of seconds; what was wanted a minute ago makes room.
constexpr auto demandHalfLife = Duration(15s);
// How old a report may be.
constexpr auto reportLag = Duration(500ms);
constexpr auto fenceRetry = Duration(500ms);
constexpr auto fenceTable = "epoch";
constexpr auto microsecondsInMillisecond = 1000;
constexpr auto reportsToForget = 2U;
// When a request comes back to a replica that is empty or gone.
constexpr auto comeBack = Duration(300ms);
constexpr auto adapterTime = Duration(300ms);
// How many loads the mean of their times follows.
constexpr auto loadSmoothing = 4;
constexpr auto expiryInterval = Duration(50ms);
constexpr auto mostPrompts = std::size_t(512);

} // namespace

ReplicaAgent::ReplicaAgent(wire::MainLoop& loop, const AgentSettings& settings, hosting::Store& store,
    OnDecision onDecision, OnChange onChange)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , onDecision_(std::move(onDecision))
    , onChange_(std::move(onChange))
    , replica_(loop.timers(), settings.replica.address, settings.replica.port)
    , prompts_(mostPrompts)
    , loadTime_(adapterTime)
{
}

auto ReplicaAgent::start() -> void
{
    // The store would refuse most of these writes if all agents of a new fleet sent them at the same time.
    if (settings_.firstStart)
        fenceTimer_ = loop_.timers().after(firstFenceDelay(), [this] { raiseFence(); });
    else
        raiseFence();
    report();
    expiry_ = loop_.timers().every(expiryInterval, [this] {
        for (const auto& refusal : queue_.expire(isReady(), loop_.timers().now()))
            decide(refusal.attempt, { .retryAfter = refusal.retryAfter, .reason = "not in time" });
    });
}

auto ReplicaAgent::configure(decisions::ReplicaLimits limits, std::size_t adapterSlots, const BaseModel& base,
    const std::string& healthPath) -> void
{
    healthPath_ = healthPath;
    queue_.setLimits(limits);
    base_ = base;
    if (slotCount_ == adapterSlots)
        return;
    slotCount_ = adapterSlots;
    slots_.emplace(adapterSlots, decisions::SlotPolicy { .demandHalfLife = demandHalfLife, .unusedStay = Duration(0) });
    synchronize();
    act();
}

/// Derived from the host name, so that the first writes of the agents are spread over time.
auto ReplicaAgent::firstFenceDelay() const -> Duration
{
    constexpr auto longestDelay = milliseconds(3000);
    return milliseconds(decisions::nameHash(settings_.host.name) % static_cast<std::uint64_t>(longestDelay.count()));
}

/// Begins as the first agent of this replica, which needs no reading; whoever came before is told by the conflict.
auto ReplicaAgent::raiseFence() -> void { writeFence({ .table = fenceTable, .key = settings_.replica.str() }); }

auto ReplicaAgent::writeFence(const hosting::Row& row) -> void
{
    fence_ = Fence::Asked;
    const auto token = wire::decimal(row.value).value_or(0) + 1;
    auto next = row;
    next.value = std::to_string(token);
    fenceWork_ = store_.transact({ .conditions = { row }, .writes = { next } })
                     .then([this, token](hosting::StoreAnswer&& written) { fenceWritten(token, written); })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("fence not raised", { { "reason", error.getDescription().cStr() } });
                     });
}

/// Goes on from a timer: the next call would take the place of the promise that is at work here.
auto ReplicaAgent::fenceWritten(std::uint64_t token, const hosting::StoreAnswer& answer) -> void
{
    if (answer.outcome == hosting::StoreOutcome::Conflict && !answer.rows.empty()) {
        fenceTimer_ = loop_.timers().after(Duration(0), [this, row = answer.rows.front()] { writeFence(row); });
        return;
    }
    if (answer.outcome != hosting::StoreOutcome::Done) {
        // A lost answer may have raised it: the next try sees that, and a number is skipped, which does no harm.
        log::warn("fence not raised", { { "reason", answer.reason } });
        fenceTimer_ = loop_.timers().after(fenceRetry, [this] { raiseFence(); });
        return;
    }
    token_ = Epoch(token);
    fence_ = Fence::Held;
    log::info("fence raised", { { "token", std::to_string(token) } });
    act();
}

auto ReplicaAgent::report() -> void
{
    if (std::exchange(reporting_, true))
        return;
    reportTimer_.cancel();
    reportWork_ = replica_.call(hosting::reportCall(reportTimeout))
                      .then([this](wire::HttpAnswer&& answer) { reported(answer); },
                          [this](kj::Exception&& error) { reportFailed(error.getDescription().cStr()); })
                      .eagerlyEvaluate([](kj::Exception&& error) {
                          log::error("report failed", { { "reason", error.getDescription().cStr() } });
                      });
}

auto ReplicaAgent::reported(const wire::HttpAnswer& answer) -> void
{
    reporting_ = false;
    constexpr auto ok = 200;
    auto read = orElse(
        [&]() -> Result<std::optional<hosting::ReplicaReport>> {
            BOOST_LEAF_AUTO(report, hosting::readReport(answer.body));
            return std::optional(std::move(report));
        },
        [&](const Error& error) -> std::optional<hosting::ReplicaReport> {
            log::error("report not understood", { { "reason", error.message() } });
            return std::nullopt;
        });
    if (answer.status != ok || !read)
        return reportFailed("status " + std::to_string(answer.status));
    if (startedAgain(*read))
        forgetReplica("started again");
    // A report may be a little older than the answer to the last order.
    if (report_)
        read->sequence = std::max(read->sequence, report_->sequence);
    reportFailures_ = 0;
    if (!report_)
        log::info("replica regained", { { "sequence", std::to_string(read->sequence) } });
    report_ = std::move(read);
    reportedAt_ = loop_.timers().now();
    synchronize();
    act();
    onChange_();
    reportTimer_ = loop_.timers().after(reportInterval(), [this] { report(); });
}

auto ReplicaAgent::reportInterval() const -> Duration
{
    // A load that waits for a slot needs no report: the run that frees one ends here.
    const auto ordersAtWork
        = !report_->coming.empty() || report_->orderUnderWay || !unloading_.empty() || !replacing_.empty();
    if (!ordersAtWork)
        return idleInterval;
    if (loads_.empty())
        return busyInterval;
    const auto newest = std::max_element(loads_.begin(), loads_.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    const auto elapsed = loop_.timers().now() - newest->second.since;
    return std::clamp(Duration(elapsed / busyShare), busyInterval, longestBusyInterval);
}

/// A replica may start again under its name between two reports: it is empty and counts its orders anew. Taken for the
/// start before, requests are sent to adapters that are not there, and orders wait for a count that never comes.
auto ReplicaAgent::startedAgain(const hosting::ReplicaReport& read) const -> bool
{
    if (!report_)
        return false;
    if (read.startTime != StartTime() && report_->startTime != StartTime())
        return read.startTime != report_->startTime;
    // Where no birth is told: fewer orders than before, for longer than a report may lag behind the last order.
    return read.sequence < report_->sequence && loop_.timers().now() - orderedAt_ >= reportLag;
}

auto ReplicaAgent::reportFailed(const std::string& reason) -> void
{
    reporting_ = false;
    if (++reportFailures_ == reportsToForget) {
        forgetReplica(reason);
        onChange_();
    }
    reportTimer_ = loop_.timers().after(idleInterval, [this] { report(); });
}

auto ReplicaAgent::identify() -> void
{
    if (identifying_ || healthPath_.empty())
        return;
    identifying_ = true;
    identityWork_ = replica_.call({ .target = healthPath_, .timeout = identityTimeout })
                        .then(
                            [this](wire::HttpAnswer&& answer) {
                                instance_ = hosting::answeredBy(answer);
                                identified(instance_.empty() ? "status " + std::to_string(answer.status) : "");
                            },
                            [this](kj::Exception&& error) { identified(error.getDescription().cStr()); })
                        .eagerlyEvaluate(nullptr);
}

/// Goes on from a timer: the next question would take the place of the promise that is at work here.
auto ReplicaAgent::identified(const std::string& failure) -> void
{
    if (failure.empty())
        log::info("replica identified", { { "replica", instance_.str() } });
    else
        log::warn("replica not identified", { { "reason", failure } });
    identityTimer_ = loop_.timers().after(failure.empty() ? Duration(0) : idleInterval, [this] {
        identifying_ = false;
        act();
    });
}

/// The replica's start that we knew is over: what it held, ran and was ordered is gone with it.
auto ReplicaAgent::forgetReplica(std::string_view why) -> void
{
    log::warn("replica lost",
        { { "replica", instance_.str() }, { "birth", std::to_string(startTime().value()) },
            { "reason", std::string(why) } });
    ++startsSeen_;
    report_.reset();
    instance_ = {};
    prompts_.clear();
    unloading_.clear();
    replacing_.clear();
    loads_.clear();
    latelyHeld_.clear();
    pace_ = {};
    if (slots_)
        slots_->reset({}, loop_.timers().now());
    breaker_ = {};
    refuseWaiting("replica lost");
}

auto ReplicaAgent::refuseWaiting(const std::string& reason) -> void
{
    for (const auto& refusal : queue_.drain(comeBack))
        decide(refusal.attempt, { .retryAfter = refusal.retryAfter, .reason = reason });
}

/// Takes the replica's report as the truth about its slots.
auto ReplicaAgent::synchronize() -> void
{
    if (!report_ || !slots_ || ordering_)
        return;
    const auto now = loop_.timers().now();
    auto held = std::vector<ModelName>();
    for (const auto& [adapter, version] : report_->resident)
        held.push_back(modelName(adapter));
    slots_->reset(held, now);
    for (const auto& adapter : report_->coming)
        slots_->loadStarted(modelName(adapter), now);
    settlePending();
}

auto ReplicaAgent::versionOf(const AdapterName& adapter) const -> AdapterVersion
{
    if (!report_)
        return {};
    const auto found = report_->resident.find(adapter);
    return found == report_->resident.end() ? AdapterVersion() : found->second;
}

auto ReplicaAgent::ready(const AdapterName& adapter) const -> bool
{
    if (!usable())
        return false;
    if (adapter.empty())
        return true;
    if (!slots_->ready(modelName(adapter)))
        return false;
    const auto wanted = wantedVersions_.find(adapter);
    return wanted == wantedVersions_.end() || versionOf(adapter) >= wanted->second;
}

auto ReplicaAgent::isReady() const -> decisions::AdmissionQueue::Ready
{
    return [this](const AdapterName& adapter) { return ready(adapter); };
}

auto ReplicaAgent::findWanted() -> void { wanted_ = queue_.wanted(isReady(), adapterTime, loop_.timers().now()); }

auto ReplicaAgent::tokensAhead() const -> Tokens { return queue_.tokensAhead(isReady()); }

auto ReplicaAgent::tokensWaiting() const -> Tokens { return queue_.tokensWaiting(isReady()); }

auto ReplicaAgent::loadTime() const -> Duration { return spareSlots() > loadsWaiting() ? adapterTime : loadTime_; }

/// Measures how long adapters take from the first request that wants them.
auto ReplicaAgent::noteLoads() -> void
{
    const auto now = loop_.timers().now();
    for (const auto& wanted : wanted_)
        wantedSince_.try_emplace(wanted.adapter, now);
    std::erase_if(wantedSince_, [&](const auto& entry) {
        if (std::any_of(
                wanted_.begin(), wanted_.end(), [&](const auto& wanted) { return wanted.adapter == entry.first; }))
            return false;
        if (ready(entry.first))
            loadTime_ += (now - entry.second - loadTime_) / loadSmoothing;
        return true;
    });
}

auto ReplicaAgent::admits() const -> bool { return usable() && breaker_.allows(loop_.timers().now()); }

auto ReplicaAgent::usable() const -> bool { return report_ && report_->hasModel && slots_; }

auto ReplicaAgent::admit(decisions::AdmissionRequest request, AdapterVersion version,
    std::span<const decisions::SharedPrefix> shared) -> void
{
    const auto attempt = request.attempt;
    if (!usable())
        return decide(attempt, { .retryAfter = comeBack, .reason = "replica not usable" });
    if (!admits())
        return decide(attempt, { .retryAfter = comeBack, .reason = "replica rests after failures" });
    if (!request.adapter.empty()) {
        auto& wanted = wantedVersions_[request.adapter];
        wanted = std::max(wanted, version);
    }
    request.unreadTokens = request.promptTokens - std::min(prompts_.tokens(shared), request.promptTokens);
    const auto now = loop_.timers().now();
    const auto adapter = request.adapter;
    const auto load = ready(adapter) ? Duration(0) : loadTime();
    if (const auto refusal = queue_.offer(std::move(request), isReady(), load, now)) {
        const auto* reason = refusal->late ? "late here" : "hopeless here";
        return decide(attempt, { .retryAfter = refusal->retryAfter, .reason = reason, .late = refusal->late });
    }
    if (!adapter.empty())
        slots_->asked(modelName(adapter), now);
    prompts_.remember(shared);
    act();
}

auto ReplicaAgent::adopt(const decisions::AdmissionRequest& request) -> void
{
    queue_.adopt(request);
    if (slots_ && slots_->ready(modelName(request.adapter)))
        slots_->pin(modelName(request.adapter), loop_.timers().now());
}

auto ReplicaAgent::started(const AttemptId& attempt) -> void
{
    if (const auto grantedAt = queue_.grantedAt(attempt))
        breaker_.succeeded(*grantedAt, loop_.timers().now());
    queue_.started(attempt, loop_.timers().now());
    act();
}

/// Where the replica has to rest, all entries hear of it at once: what waits here is refused, to be placed elsewhere.
auto ReplicaAgent::noteEnd(const AttemptId& attempt, RunEnd end) -> void
{
    const auto now = loop_.timers().now();
    const auto grantedAt = queue_.grantedAt(attempt);
    if (!grantedAt)
        return;
    if (end == RunEnd::Plain)
        return breaker_.endedWithoutResult(*grantedAt);
    if (end == RunEnd::Failed)
        return breaker_.failed(now);
    const auto rested = breaker_.openUntil();
    breaker_.connectionBroke(now);
    if (breaker_.openUntil() == rested)
        return;
    const auto rest = breaker_.openUntil() - now;
    log::warn("replica rests",
        { { "replica", instance_.str() }, { "rest_ms", std::to_string(rest.count() / microsecondsInMillisecond) } });
    refuseWaiting("replica rests after failures");
    onChange_();
    rest_ = loop_.timers().after(rest, [this] { onChange_(); });
}

auto ReplicaAgent::release(const AttemptId& attempt, RunEnd end) -> void
{
    noteEnd(attempt, end);
    if (const auto adapter = queue_.adapterOf(attempt); adapter && slots_)
        slots_->unpin(modelName(*adapter));
    queue_.release(attempt);
    act();
}

auto ReplicaAgent::decide(const AttemptId& attempt, Decision decision) -> void { onDecision_(attempt, decision); }

auto ReplicaAgent::act() -> void
{
    // A decision may bring a new request or a release at once; the outer call goes on with it.
    if (std::exchange(acting_, true))
        return;
    grant();
    findWanted();
    noteLoads();
    if (report_ && instance_.empty())
        identify();
    const auto resting = loop_.timers().now() < ordersRestUntil_;
    if (!ordering_ && !resting && fence_ == Fence::Held && report_ && !instance_.empty()) {
        if (auto next = nextOrder())
            order(std::move(*next));
    }
    acting_ = false;
}

auto ReplicaAgent::grant() -> void
{
    if (!usable())
        return;
    const auto now = loop_.timers().now();
    if (!breaker_.allows(now))
        return;
    const auto most = breaker_.open() ? std::size_t(1) : queue_.limits().batch;
    for (const auto& request : queue_.grant(isReady(), now, most)) {
        breaker_.requestSent();
        if (!request.adapter.empty())
            slots_->pin(modelName(request.adapter), now);
        decide(request.attempt,
            { .granted = true,
                .version = versionOf(request.adapter),
                .waited = now - request.arrivedAt,
                .waitedForAdapter = request.readyAt - request.arrivedAt });
    }
}

auto ReplicaAgent::resident() const -> std::map<AdapterName, AdapterVersion>
{
    return report_ ? report_->resident : std::map<AdapterName, AdapterVersion>();
}

auto ReplicaAgent::loading() const -> std::vector<AdapterName>
{
    auto adapters = std::vector<AdapterName>();
    for (const auto& wanted : wanted_)
        adapters.push_back(wanted.adapter);
    std::sort(adapters.begin(), adapters.end());
    return adapters;
}

auto ReplicaAgent::spareSlots() const -> std::size_t
{
    if (!slots_ || !report_)
        return 0;
    const auto taken = report_->resident.size() + report_->coming.size();
    auto spare = slotCount_ > taken ? slotCount_ - taken : 0;
    for (const auto& [adapter, version] : report_->resident) {
        if (!slots_->pinned(modelName(adapter)) && !queue_.waits(adapter))
            ++spare;
    }
    return spare;
}

} // namespace eelgrass::serving
