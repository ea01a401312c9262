#include "serving/ReplicaAgent.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "platform/AnswerHeaders.h"
#include "serving/AvailabilityRecord.h"
#include "serving/detail/RunLimits.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;
using detail::rateLimitReason;

// The replica runs on this host and answers within a millisecond, so a failed call means that the replica has ended.
constexpr auto reportTimeout = Duration(400ms);
// While an adapter is loading, the report is read at intervals of an eighth of the time that the load has taken so far,
// between these bounds, so that requests for the adapter start within one interval of the end of the load. A load from
// the replica's own memory takes some 30 ms, one from the weight store ten times that; each read costs as much as
// generating a token.
constexpr auto minBusyInterval = Duration(15ms);
constexpr auto maxBusyInterval = Duration(50ms);
constexpr auto busyIntervalDivisor = 8;
// The interval between reports when no order is in progress.
constexpr auto idleInterval = Duration(250ms);
// The replica is identified by its answer to a health check, which waits for a place in the replica's batch like any
// request.
constexpr auto identificationTimeout = Duration(1500ms);
// Demand shifts within tens of seconds; an adapter that was last wanted a minute ago may be evicted.
constexpr auto demandHalfLife = Duration(15s);
// How far a report may be out of date when it arrives.
constexpr auto maxReportLag = Duration(500ms);
constexpr auto fencingRetryDelay = Duration(500ms);
constexpr auto fencingTable = "epoch";
constexpr auto microsecondsPerMillisecond = 1000;
constexpr auto failedReportsUntilLost = 2U;
// Retry delay for requests that are refused because the replica is empty, gone or paused.
constexpr auto retryDelay = Duration(300ms);
constexpr auto defaultLoadTime = Duration(300ms);
// The moving average of load times gives the newest one a weight of 1/4.
constexpr auto loadSmoothing = 4;
constexpr auto expiryInterval = Duration(50ms);
constexpr auto maxRememberedPrompts = std::size_t(512);

} // namespace

ReplicaAgent::ReplicaAgent(wire::MainLoop& loop, const AgentSettings& settings, hosting::Store& store,
    OnDecision onDecision, OnChange onChange)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , onDecision_(std::move(onDecision))
    , onChange_(std::move(onChange))
    , replica_(loop.timers(), settings.replica.address, settings.replica.port)
    , prompts_(maxRememberedPrompts)
    , loadTime_(defaultLoadTime)
{
}

auto ReplicaAgent::start() -> void
{
    // If all agents of a new deployment wrote at the same time, the store would refuse most of the writes.
    if (settings_.firstStart)
        fencingTimer_ = loop_.timers().after(firstFencingDelay(), [this] { acquireFencingToken(); });
    else
        acquireFencingToken();
    requestReport();
    expiryTimer_ = loop_.timers().every(expiryInterval, [this] {
        for (const auto& refusal : queue_.expire(readinessPredicate(), loop_.timers().now()))
            reportDecision(refusal.attempt,
                { .retryAfter = refusal.retryAfter, .reason = refusal.rateLimited ? rateLimitReason : "not in time" });
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
    synchronizeSlots();
    runPendingWork();
}

/// Returns a delay derived from the host name, which spreads the first writes of all agents over time.
auto ReplicaAgent::firstFencingDelay() const -> Duration
{
    constexpr auto maxDelay = milliseconds(3000);
    return milliseconds(decisions::nameHash(settings_.host.name) % static_cast<std::uint64_t>(maxDelay.count()));
}

/// Writes the token without reading the row first, as if it did not exist. If the row exists, the store answers with a
/// conflict that contains the current row.
auto ReplicaAgent::acquireFencingToken() -> void
{
    writeFencingToken({ .table = fencingTable, .key = settings_.replica.str() });
}

auto ReplicaAgent::writeFencingToken(const hosting::Row& row) -> void
{
    fencingState_ = FencingState::Requested;
    const auto token = wire::decimal(row.value).value_or(0) + 1;
    auto next = row;
    next.value = std::to_string(token);
    fencingWork_ = store_.transact({ .conditions = { row }, .writes = { next } })
                       .then([this, token](hosting::StoreAnswer&& written) { fencingTokenWritten(token, written); })
                       .eagerlyEvaluate([](kj::Exception&& error) {
                           log::error("fencing token not acquired", { { "reason", error.getDescription().cStr() } });
                       });
}

/// Continues from a timer, because another store call from here would replace the promise that is running this
/// function.
auto ReplicaAgent::fencingTokenWritten(std::uint64_t token, const hosting::StoreAnswer& answer) -> void
{
    if (answer.outcome == hosting::StoreOutcome::Conflict && !answer.rows.empty()) {
        fencingTimer_
            = loop_.timers().after(Duration(0), [this, row = answer.rows.front()] { writeFencingToken(row); });
        return;
    }
    if (answer.outcome != hosting::StoreOutcome::Done) {
        // The write may have succeeded although its answer was lost. The next attempt then sees the new token and skips
        // a number, which is harmless.
        log::warn("fencing token not acquired", { { "reason", answer.reason } });
        fencingTimer_ = loop_.timers().after(fencingRetryDelay, [this] { acquireFencingToken(); });
        return;
    }
    fencingToken_ = Epoch(token);
    fencingState_ = FencingState::Held;
    log::info("fencing token acquired", { { "token", std::to_string(token) } });
    runPendingWork();
}

auto ReplicaAgent::requestReport() -> void
{
    // The timer of the rest asks when it is over.
    if (resting() || std::exchange(reportInFlight_, true))
        return;
    reportTimer_.cancel();
    reportWork_ = replica_.call(hosting::reportCall(reportTimeout))
                      .then([this](wire::HttpAnswer&& answer) { handleReport(answer); },
                          [this](kj::Exception&& error) { handleReportFailure(error.getDescription().cStr()); })
                      .eagerlyEvaluate([](kj::Exception&& error) {
                          log::error("reading the report failed", { { "reason", error.getDescription().cStr() } });
                      });
}

auto ReplicaAgent::handleReport(const wire::HttpAnswer& answer) -> void
{
    reportInFlight_ = false;
    constexpr auto ok = 200;
    auto read = orElse(
        [&]() -> Result<std::optional<hosting::ReplicaReport>> {
            BOOST_LEAF_AUTO(report, hosting::readReport(answer.body));
            return std::optional(std::move(report));
        },
        [&](const Error& error) -> std::optional<hosting::ReplicaReport> {
            log::error("report not valid", { { "reason", error.message() } });
            return std::nullopt;
        });
    if (answer.status != ok || !read) {
        noteAvailability(answer);
        return handleReportFailure("status " + std::to_string(answer.status));
    }
    if (isFromLaterStart(*read))
        resetReplicaState("started again");
    // The report may be slightly older than the answer to the last order.
    if (report_)
        read->sequence = std::max(read->sequence, report_->sequence);
    reportFailures_ = 0;
    if (!report_)
        log::info("replica available", { { "sequence", std::to_string(read->sequence) } });
    report_ = std::move(read);
    reportedAt_ = loop_.timers().now();
    noteAvailability(answer);
    dropForeignRateLimit();
    synchronizeSlots();
    runPendingWork();
    onChange_();
    reportTimer_ = loop_.timers().after(reportInterval(), [this] { requestReport(); });
}

auto ReplicaAgent::reportInterval() const -> Duration
{
    // A load that waits for a slot needs no report: this agent is notified when the run that frees the slot ends.
    const auto ordersInProgress = !report_->loading.empty() || report_->orderInProgress || !pendingUnloads_.empty()
        || !pendingReplacements_.empty();
    if (!ordersInProgress)
        return idleInterval;
    if (pendingLoads_.empty())
        return minBusyInterval;
    const auto newest = std::max_element(pendingLoads_.begin(), pendingLoads_.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    const auto elapsed = loop_.timers().now() - newest->second.since;
    return std::clamp(Duration(elapsed / busyIntervalDivisor), minBusyInterval, maxBusyInterval);
}

/// A replica may restart under the same name between two reports; it is then empty and counts its orders from 0. If the
/// restart went unnoticed, requests would be sent to adapters that are not loaded, and orders would carry a
/// precondition that never holds.
auto ReplicaAgent::isFromLaterStart(const hosting::ReplicaReport& read) const -> bool
{
    if (!report_)
        return false;
    if (read.startTime != StartTime() && report_->startTime != StartTime())
        return read.startTime != report_->startTime;
    // If a start time is unknown, a lower order count shows a restart, unless the last order is so recent that the
    // report may not include it yet.
    return read.sequence < report_->sequence && loop_.timers().now() - orderCountedAt_ >= maxReportLag;
}

auto ReplicaAgent::handleReportFailure(const std::string& reason) -> void
{
    reportInFlight_ = false;
    if (++reportFailures_ == failedReportsUntilLost) {
        resetReplicaState(reason);
        onChange_();
    }
    reportTimer_ = loop_.timers().after(idleInterval, [this] { requestReport(); });
}

auto ReplicaAgent::identify() -> void
{
    if (identifying_ || healthPath_.empty() || resting())
        return;
    identifying_ = true;
    identityWork_ = replica_.call({ .target = healthPath_, .timeout = identificationTimeout })
                        .then(
                            [this](wire::HttpAnswer&& answer) {
                                noteAvailability(answer);
                                instance_ = hosting::answeredBy(answer);
                                identified(instance_.empty() ? "status " + std::to_string(answer.status) : "");
                            },
                            [this](kj::Exception&& error) { identified(error.getDescription().cStr()); })
                        .eagerlyEvaluate(nullptr);
}

/// Continues from a timer, because asking again from here would replace the promise that is running this function.
auto ReplicaAgent::identified(const std::string& failure) -> void
{
    dropForeignRateLimit();
    if (failure.empty())
        log::info("replica identified", { { "replica", instance_.str() } });
    else
        log::warn("replica not identified", { { "reason", failure } });
    identityTimer_ = loop_.timers().after(failure.empty() ? Duration(0) : idleInterval, [this] {
        identifying_ = false;
        runPendingWork();
    });
}

/// Discards everything known about the replica's last start: its adapters, its running requests and its pending orders.
auto ReplicaAgent::resetReplicaState(std::string_view reason) -> void
{
    log::warn("replica lost",
        { { "replica", instance_.str() }, { "birth", std::to_string(startTime().value()) },
            { "reason", std::string(reason) } });
    ++replicaLosses_;
    report_.reset();
    instance_ = {};
    prompts_.clear();
    pendingUnloads_.clear();
    pendingReplacements_.clear();
    pendingLoads_.clear();
    recentAdapters_.clear();
    loadConcurrency_ = {};
    if (slots_)
        slots_->reset({}, loop_.timers().now());
    breaker_ = {};
    leaving_ = false;
    queue_.arrivals() = {};
    refuseQueued("replica lost");
}

auto ReplicaAgent::noteAvailability(const wire::HttpAnswer& answer) -> void
{
    const auto said = hosting::readAvailability(answer.status, answer.fields);
    recordInvalidAvailability(instance_, said);
    if (said.rest)
        applyRest(*said.rest, "answer");
    if (said.leaving)
        noteLeaving({ instance_, startTime() }, "answer");
}

auto ReplicaAgent::noteHostRest(const ReplicaStart& start, Duration length, std::string_view source) -> void
{
    if (mayBeCurrentStart(start))
        applyRest(length, source);
}

/// Only the calls of this process stop: what other hosts may send is between them and the replica.
auto ReplicaAgent::applyRest(Duration length, std::string_view source) -> void
{
    const auto now = loop_.timers().now();
    const auto extended = rest_.resting(now);
    if (!rest_.ask(length, Duration(0), now))
        return;
    const auto left = *rest_.end() - now;
    recordRest(instance_, left, extended, source);
    onChange_();
    restTimer_ = loop_.timers().after(left, [this, askedAt = now] {
        recordRestEnd(instance_, loop_.timers().now() - askedAt, "over");
        requestReport();
    });
}

auto ReplicaAgent::noteLeaving(const ReplicaStart& start, std::string_view source) -> void
{
    if (leaving_ || !mayBeCurrentStart(start))
        return;
    leaving_ = true;
    log::info("replica leaving",
        { { "replica", start.instance.str() }, { "birth", std::to_string(startTime().value()) },
            { "source", std::string(source) } });
    refuseQueued("replica leaving");
    onChange_();
}

auto ReplicaAgent::noteRateLimit(const ReplicaRateLimit& limit) -> decisions::AnnouncedRateLimit::Change
{
    if (!mayBeCurrentStart(limit.start))
        return decisions::AnnouncedRateLimit::Change::None;
    if (!sameStart(rateLimitOf_, limit.start))
        queue_.arrivals() = {};
    rateLimitOf_ = limit.start;
    const auto change = queue_.arrivals().apply(limit.statement, loop_.timers().now());
    if (change != decisions::AnnouncedRateLimit::Change::None)
        runPendingWork();
    return change;
}

/// Before the replica has been identified, its name is not known here, but to the entries.
auto ReplicaAgent::mayBeCurrentStart(const ReplicaStart& start) const -> bool
{
    return sameStart(start, { instance_.empty() ? start.instance : instance_, startTime() });
}

auto ReplicaAgent::dropForeignRateLimit() -> void
{
    if (!mayBeCurrentStart(rateLimitOf_))
        queue_.arrivals() = {};
}

auto ReplicaAgent::rateLimit() const -> std::optional<ReplicaRateLimit>
{
    const auto& last = queue_.arrivals().announced().last();
    return last ? std::optional(ReplicaRateLimit { rateLimitOf_, *last }) : std::nullopt;
}

auto ReplicaAgent::scheduleNextPermit() -> void
{
    const auto wait = queue_.nextPermit(loop_.timers().now());
    if (wait > Duration(0))
        permitTimer_ = loop_.timers().after(wait, [this] { runPendingWork(); });
    else
        permitTimer_.cancel();
}

auto ReplicaAgent::refuseQueued(const std::string& reason) -> void
{
    for (const auto& refusal : queue_.drain(retryDelay))
        reportDecision(refusal.attempt, { .retryAfter = refusal.retryAfter, .reason = reason });
}

/// Sets the state of the slots from the replica's report.
auto ReplicaAgent::synchronizeSlots() -> void
{
    if (!report_ || !slots_ || orderInFlight_)
        return;
    const auto now = loop_.timers().now();
    auto held = std::vector<ModelName>();
    for (const auto& [adapter, version] : report_->resident)
        held.push_back(modelName(adapter));
    slots_->reset(held, now);
    for (const auto& adapter : report_->loading)
        slots_->loadStarted(modelName(adapter), now);
    prunePendingOrders();
}

auto ReplicaAgent::residentVersion(const AdapterName& adapter) const -> AdapterVersion
{
    if (!report_)
        return {};
    const auto found = report_->resident.find(adapter);
    return found == report_->resident.end() ? AdapterVersion() : found->second;
}

auto ReplicaAgent::isReady(const AdapterName& adapter) const -> bool
{
    if (!isUsable())
        return false;
    if (adapter.empty())
        return true;
    if (!slots_->ready(modelName(adapter)))
        return false;
    const auto wanted = wantedVersions_.find(adapter);
    return wanted == wantedVersions_.end() || residentVersion(adapter) >= wanted->second;
}

auto ReplicaAgent::readinessPredicate() const -> decisions::AdmissionQueue::Ready
{
    return [this](const AdapterName& adapter) { return isReady(adapter); };
}

auto ReplicaAgent::updateWantedAdapters() -> void
{
    wantedAdapters_ = queue_.wanted(readinessPredicate(), defaultLoadTime, loop_.timers().now());
}

auto ReplicaAgent::tokensAhead() const -> Tokens { return queue_.tokensAhead(readinessPredicate()); }

auto ReplicaAgent::tokensWaiting() const -> Tokens { return queue_.tokensWaiting(readinessPredicate()); }

auto ReplicaAgent::loadTime() const -> Duration { return spareSlots() > loadsWaiting() ? defaultLoadTime : loadTime_; }

/// Measures how long adapters take to load, from the first request that needs them.
auto ReplicaAgent::updateLoadTime() -> void
{
    const auto now = loop_.timers().now();
    for (const auto& wanted : wantedAdapters_)
        wantedSince_.try_emplace(wanted.adapter, now);
    std::erase_if(wantedSince_, [&](const auto& entry) {
        if (std::any_of(wantedAdapters_.begin(), wantedAdapters_.end(),
                [&](const auto& wanted) { return wanted.adapter == entry.first; }))
            return false;
        if (isReady(entry.first))
            loadTime_ += (now - entry.second - loadTime_) / loadSmoothing;
        return true;
    });
}

auto ReplicaAgent::acceptsRequests() const -> bool
{
    return isUsable() && !leaving_ && breaker_.allows(loop_.timers().now());
}

auto ReplicaAgent::isUsable() const -> bool { return report_ && report_->hasModel && slots_; }

auto ReplicaAgent::admit(decisions::AdmissionRequest request, AdapterVersion version,
    std::span<const decisions::SharedPrefix> shared) -> void
{
    const auto attempt = request.attempt;
    if (!isUsable())
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica not usable" });
    if (leaving_)
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica leaving" });
    if (!acceptsRequests())
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica rests after failures" });
    if (!request.adapter.empty()) {
        auto& wanted = wantedVersions_[request.adapter];
        wanted = std::max(wanted, version);
    }
    request.unreadTokens = request.promptTokens - std::min(prompts_.tokens(shared), request.promptTokens);
    const auto now = loop_.timers().now();
    const auto adapter = request.adapter;
    const auto load = isReady(adapter) ? Duration(0) : loadTime();
    if (const auto refusal = queue_.offer(std::move(request), readinessPredicate(), load, now)) {
        const auto* otherReason = refusal->late ? "late here" : "hopeless here";
        const auto* reason = refusal->rateLimited ? rateLimitReason : otherReason;
        return reportDecision(attempt, { .retryAfter = refusal->retryAfter, .reason = reason, .late = refusal->late });
    }
    if (!adapter.empty())
        slots_->asked(modelName(adapter), now);
    prompts_.remember(shared);
    runPendingWork();
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
    runPendingWork();
}

/// If the replica is paused because of how the run ended, queued requests are refused so that they can be placed
/// elsewhere, and all entries are notified at once.
auto ReplicaAgent::recordRunEnd(const AttemptId& attempt, RunEnd end) -> void
{
    const auto now = loop_.timers().now();
    const auto grantedAt = queue_.grantedAt(attempt);
    if (!grantedAt)
        return;
    if (end == RunEnd::Plain || end == RunEnd::Unsent)
        return breaker_.endedWithoutResult(*grantedAt);
    if (end == RunEnd::Failed)
        return breaker_.failed(now);
    const auto pausedUntil = breaker_.openUntil();
    breaker_.connectionBroke(now);
    if (breaker_.openUntil() == pausedUntil)
        return;
    const auto pause = breaker_.openUntil() - now;
    log::warn("replica paused",
        { { "replica", instance_.str() }, { "rest_ms", std::to_string(pause.count() / microsecondsPerMillisecond) } });
    refuseQueued("replica rests after failures");
    onChange_();
    pauseTimer_ = loop_.timers().after(pause, [this] { onChange_(); });
}

auto ReplicaAgent::release(const AttemptId& attempt, RunEnd end) -> void
{
    recordRunEnd(attempt, end);
    if (const auto adapter = queue_.adapterOf(attempt); adapter && slots_)
        slots_->unpin(modelName(*adapter));
    if (end == RunEnd::Unsent)
        queue_.withdraw(attempt, loop_.timers().now());
    else
        queue_.release(attempt);
    runPendingWork();
}

auto ReplicaAgent::reportDecision(const AttemptId& attempt, Decision decision) -> void
{
    onDecision_(attempt, decision);
}

auto ReplicaAgent::runPendingWork() -> void
{
    // A decision may lead to a new request or a release in the same call stack; the outer call of this function handles
    // it.
    if (std::exchange(runningPendingWork_, true))
        return;
    grantRequests();
    scheduleNextPermit();
    updateWantedAdapters();
    updateLoadTime();
    if (report_ && instance_.empty())
        identify();
    const auto ordersPaused = leaving_ || resting() || loop_.timers().now() < ordersPausedUntil_;
    if (!orderInFlight_ && !ordersPaused && fencingState_ == FencingState::Held && report_ && !instance_.empty()) {
        if (auto next = nextOrder())
            sendOrder(std::move(*next));
    }
    runningPendingWork_ = false;
}

auto ReplicaAgent::grantRequests() -> void
{
    if (!acceptsRequests())
        return;
    const auto now = loop_.timers().now();
    const auto maxGrants = breaker_.open() ? std::size_t(1) : queue_.limits().batch;
    for (const auto& request : queue_.grant(readinessPredicate(), now, maxGrants)) {
        breaker_.requestSent();
        if (!request.adapter.empty())
            slots_->pin(modelName(request.adapter), now);
        reportDecision(request.attempt,
            { .granted = true,
                .version = residentVersion(request.adapter),
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
    for (const auto& wanted : wantedAdapters_)
        adapters.push_back(wanted.adapter);
    std::sort(adapters.begin(), adapters.end());
    return adapters;
}

auto ReplicaAgent::spareSlots() const -> std::size_t
{
    if (!slots_ || !report_)
        return 0;
    const auto taken = report_->resident.size() + report_->loading.size();
    auto spare = slotCount_ > taken ? slotCount_ - taken : 0;
    for (const auto& [adapter, version] : report_->resident) {
        if (!slots_->pinned(modelName(adapter)) && !queue_.waits(adapter))
            ++spare;
    }
    return spare;
}

} // namespace eelgrass::serving
