#include "serving/ReplicaAgent.h"

#include "base/DurationText.h"
#include "base/Log.h"
#include "base/Utf8.h"
#include "serving/detail/RunLimits.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;
using detail::rateLimitReason;

// Demand shifts within tens of seconds; an adapter that was last wanted a minute ago may be evicted.
constexpr auto demandHalfLife = Duration(15s);
// Retry delay for requests that are refused because the replica is empty, gone or paused.
constexpr auto retryDelay = Duration(300ms);
constexpr auto silentReason = "replica silent";
constexpr auto expiryInterval = Duration(50ms);
constexpr auto maxRememberedPrompts = std::size_t(512);

} // namespace

ReplicaAgent::ReplicaAgent(wire::MainLoop& loop, const AgentSettings& settings, hosting::Store& store, Hooks hooks)
    : loop_(loop)
    , settings_(settings)
    , store_(store)
    , hooks_(std::move(hooks))
    , replica_(loop.timers(), settings.replica.address, settings.replica.port)
    , versions_([this](Duration age) { hooks_.onVersionInForce("adapter version at agent", age); })
    , prompts_(maxRememberedPrompts)
{
}

auto ReplicaAgent::start() -> void
{
    // If all agents of a new deployment wrote at the same time, the store would refuse most of the writes.
    if (settings_.host.firstStart)
        fencingTimer_ = loop_.timers().after(firstFencingDelay(), [this] { acquireFencingToken(); });
    else
        acquireFencingToken();
    requestReport();
    expiryTimer_ = loop_.timers().every(expiryInterval, [this] {
        for (const auto& refusal : queue_.expire(readinessPredicate(), loop_.timers().now())) {
            reportDecision(refusal.attempt,
                { .adapter = refusal.adapter,
                    .retryAfter = refusal.retryAfter,
                    .reason = refusal.rateLimited ? rateLimitReason : "not in time",
                    .waited = loop_.timers().now() - refusal.arrivedAt,
                    .request = refusal.request });
        }
        // Adapters become entitled to a turn with time.
        if (!turns_.holder().empty() || queue_.queued() > 0)
            runPendingWork();
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

/// Discards everything known about the replica's last start: its adapters, its running requests and its pending orders.
auto ReplicaAgent::resetReplicaState(std::string_view reason) -> void
{
    log::warn("replica lost",
        { { "replica", instance_.str() }, { "birth", std::to_string(startTime().value()) },
            { "reason", std::string(reason) } });
    ++replicaLosses_;
    if (!instance_.empty() && !leaving_)
        lostStart_ = LostStart { .start = { instance_, startTime() } };
    report_.reset();
    instance_ = {};
    nameUncertain_ = false;
    prompts_.clear();
    pendingUnloads_.clear();
    pendingReplacements_.clear();
    pendingLoads_.clear();
    recentAdapters_.clear();
    loadConcurrency_ = {};
    turns_.clear();
    if (slots_)
        slots_->reset({}, loop_.timers().now());
    breaker_ = {};
    leaving_ = false;
    queue_.arrivals() = {};
    refuseQueued("replica lost");
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
    for (const auto& refusal : queue_.drain(retryDelay)) {
        reportDecision(refusal.attempt,
            { .adapter = refusal.adapter,
                .retryAfter = refusal.retryAfter,
                .reason = reason,
                .waited = loop_.timers().now() - refusal.arrivedAt,
                .request = refusal.request });
    }
}

auto ReplicaAgent::divertQueued() -> void
{
    const auto diverted
        = silence_.lasting() ? queue_.drain(retryDelay) : queue_.divert(retryDelay, loop_.timers().now());
    for (const auto& refusal : diverted) {
        reportDecision(refusal.attempt,
            { .adapter = refusal.adapter,
                .retryAfter = refusal.retryAfter,
                .reason = silentReason,
                .late = true,
                .waited = loop_.timers().now() - refusal.arrivedAt,
                .request = refusal.request });
    }
}

auto ReplicaAgent::tokensAhead() const -> Tokens { return queue_.tokensAhead(readinessPredicate()); }

auto ReplicaAgent::tokensWaiting() const -> Tokens { return queue_.tokensWaiting(readinessPredicate()); }

auto ReplicaAgent::acceptsRequests() const -> bool
{
    return isUsable() && !silence_.silent() && !leaving_ && breaker_.allows(loop_.timers().now());
}

auto ReplicaAgent::isUsable() const -> bool { return report_ && report_->hasModel && slots_; }

auto ReplicaAgent::noteRequiredVersion(const AdapterName& adapter, const RequiredVersion& required) -> void
{
    const auto news = AdapterVersions::News { .source = required.source, .namedAfter = required.namedAfter };
    if (versions_.apply({ base_, adapter, required.version }, news, loop_.timers().now()))
        outdated_.insert(adapter);
}

auto ReplicaAgent::observeVersionsInForce() -> void
{
    std::erase_if(outdated_, [this](const AdapterName& adapter) {
        const auto& known = knownVersion(adapter);
        if (residentVersion(adapter) < known.version)
            return false;
        log::info("adapter version held",
            { { "adapter", adapter.str() }, { "version", std::to_string(residentVersion(adapter).value()) } });
        if (known.namedAfter)
            hooks_.onVersionInForce("adapter version at replica", loop_.timers().now() - *known.namedAfter);
        return true;
    });
}

auto ReplicaAgent::admit(decisions::AdmissionRequest request, const RequiredVersion& required,
    std::span<const decisions::SharedPrefix> shared) -> void
{
    const auto attempt = request.attempt;
    if (!isUtf8(request.adapter.view()))
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "adapter name is no text" });
    if (!isUsable())
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica not usable" });
    if (leaving_)
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica leaving" });
    // Not a refusal for good: the entry may wait for this replica if no other one is free.
    if (silence_.silent())
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = silentReason, .late = true });
    if (!acceptsRequests())
        return reportDecision(attempt, { .retryAfter = retryDelay, .reason = "replica rests after failures" });
    if (!request.adapter.empty())
        noteRequiredVersion(request.adapter, required);
    request.unreadTokens = request.promptTokens - std::min(prompts_.tokens(shared), request.promptTokens);
    const auto now = loop_.timers().now();
    const auto adapter = request.adapter;
    if (!adapter.empty() && !isLoaded(adapter)
        && turns_.arriving(adapter, decisions::claimOf(decisions::keysOfAdapter(request.keys), now), now))
        noteTurnBegin();
    const auto load = timeUntilReady(adapter);
    if (const auto refusal = queue_.offer(std::move(request), readinessPredicate(), load, now)) {
        const auto* otherReason = refusal->late ? "late here" : "hopeless here";
        const auto* reason = refusal->rateLimited ? rateLimitReason : otherReason;
        return reportDecision(attempt,
            { .adapter = adapter,
                .retryAfter = refusal->retryAfter,
                .reason = reason,
                .late = refusal->late,
                .assumedLoad = load,
                .request = refusal->request });
    }
    if (!adapter.empty())
        slots_->asked(modelName(adapter), now);
    prompts_.remember(shared);
    runPendingWork();
}

auto ReplicaAgent::adopt(const decisions::AdmissionRequest& request) -> void
{
    const auto known = queue_.adapterOf(request.attempt).has_value();
    queue_.adopt(request);
    if (!known && slots_ && slots_->ready(modelName(request.adapter)))
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
    log::warn("replica paused", { { "replica", instance_.str() }, { "rest_ms", millisecondsText(pause) } });
    refuseQueued("replica rests after failures");
    hooks_.onChange();
    pauseTimer_ = loop_.timers().after(pause, [this] { hooks_.onChange(); });
}

auto ReplicaAgent::release(const AttemptId& attempt, RunEnd end) -> void
{
    recordRunEnd(attempt, end);
    // A queued request is released when its entry or its client has stopped waiting.
    if (const auto* queued = queue_.findQueued(attempt))
        hooks_.onWithdrawn(*queued);
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
    hooks_.onDecision(attempt, decision);
}

auto ReplicaAgent::runPendingWork() -> void
{
    // A decision may lead to a new request or a release in the same call stack; the outer call of this function handles
    // it.
    if (std::exchange(runningPendingWork_, true))
        return;
    // Whatever is thrown: an agent that never works again would serve nobody until it is restarted.
    const auto done = kj::defer([this] { runningPendingWork_ = false; });
    updateTurns();
    grantRequests();
    scheduleNextPermit();
    updateWantedAdapters();
    updateLoadTime();
    if (report_ && (instance_.empty() || nameUncertain_))
        identify();
    const auto ordersPaused = silence_.silent() || leaving_ || resting() || loop_.timers().now() < ordersPausedUntil_;
    if (!orderInFlight_ && !ordersPaused && fencingState_ == FencingState::Held && report_ && !instance_.empty()) {
        if (auto next = nextOrder())
            sendOrder(std::move(*next));
    }
}

auto ReplicaAgent::grantRequests() -> void
{
    if (!acceptsRequests())
        return;
    const auto now = loop_.timers().now();
    const auto maxGrants = breaker_.open() ? std::size_t(1) : queue_.limits().batch;
    for (const auto& request : queue_.grant(readinessPredicate(), now, maxGrants)) {
        breaker_.requestSent();
        if (!request.adapter.empty()) {
            slots_->pin(modelName(request.adapter), now);
            if (turns_.granted(request.adapter))
                noteTurnEnd(request.adapter, decisions::AdapterTurns::End::Served);
        }
        reportDecision(request.attempt,
            { .granted = true,
                .adapter = request.adapter,
                .version = residentVersion(request.adapter),
                .waited = now - request.arrivedAt,
                .request = request });
    }
}

} // namespace eelgrass::serving
