// The part of RequestRun that chooses a replica for the request and gets it admitted there.
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// Median prefill rate of the replicas, in tokens per millisecond; 0 while none is known.
auto medianReadRate(const std::vector<ReplicaPtr>& replicas) -> double
{
    auto rates = std::vector<double>();
    for (const auto& replica : replicas) {
        if (replica->agent() && replica->agent()->alive())
            rates.push_back(replica->agent()->state().readRate);
    }
    if (rates.empty())
        return 0;
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

} // namespace

auto RequestRun::zonePenalty() const -> Duration
{
    constexpr auto kibibyte = 1024.0;
    const auto size = static_cast<double>(request_.body.size()) / kibibyte;
    const auto perKiB = std::chrono::duration<double, std::micro>(Duration(gateway_.settings.zonePenaltyPerKiB));
    return Duration(gateway_.settings.zonePenalty) + std::chrono::duration_cast<Duration>(size * perKiB);
}

auto RequestRun::viewOf(const ReplicaPtr& replica, Duration fastest, double readRate) const -> decisions::ReplicaView
{
    auto view = decisions::ReplicaView { .id = replica->id().str(), .zone = replica->record().zone };
    view.batch = replica->record().slots;
    view.running = replica->inFlight();
    const auto* agent = replica->agent();
    if (!agent) {
        view.holds = mayRunOn(replica->heldVersion(metadata_.adapter));
        if (fastest.count() > 0 && replica->meanTime().count() > 0)
            view.slowness = std::min(
                maxSlowness, static_cast<double>(replica->meanTime().count()) / static_cast<double>(fastest.count()));
        return view;
    }
    view.slowness
        = agent->alive() && agent->state().readRate > 0 ? std::min(maxSlowness, readRate / agent->state().readRate) : 1;
    view.cachedTokens = replica->prompts().tokens(sharedPrefixes_);
    if (!agent->alive()) {
        // Without a session with its agent, the platform's list shows what a replica holds.
        view.holds = replica->record().hasBaseModel && mayRunOn(replica->heldVersion(metadata_.adapter));
        view.canLoad = agent->mayOpen();
        if (!view.canLoad)
            return view;
        // The replica is assumed to be idle, as its agent reports at once if it is not. If such replicas were ranked
        // lower, each entry would load the adapter on the replicas that it happens to have sessions with.
        view.loading = replica->hasRequestedLoad(metadata_.adapter);
        view.warm = replica->warm(metadata_.adapter);
        view.spareSlots = 1;
        view.tokensAhead = replica->tokensSent();
        view.loadsWaiting = replica->loadsRequested();
        return view;
    }
    const auto& state = agent->state();
    view.running = std::max(state.running, replica->inFlight());
    const auto held = replica->heldVersion(metadata_.adapter);
    view.holds = mayRunOn(held);
    // A replacement takes the slot of the older version and is ordered with the first request, like a load under way.
    const auto outdated = !view.holds && held != AdapterVersion();
    view.loading
        = outdated || state.loading.contains(metadata_.adapter) || replica->hasRequestedLoad(metadata_.adapter);
    view.warm = !outdated && replica->warm(metadata_.adapter);
    view.tokensAhead = state.tokensAhead + replica->tokensSent();
    view.tokensWaiting = state.tokensWaiting;
    view.spareSlots = state.spareSlots;
    view.age = agent->stateAge();
    view.failures = state.failureShare;
    view.loadsWaiting = state.loadsWaiting + replica->loadsRequested();
    view.permitWait = agent->permitWait();
    return view;
}

auto RequestRun::isCandidate(const Replica& replica, Moment now) const -> bool
{
    return !lateReplicas_.contains(replica.id()) && isEligible(replica, now);
}

auto RequestRun::isEligible(const Replica& replica, Moment now) const -> bool
{
    if (!replica.usable(now) || tried_.contains(replica.id()) || !mayContinueAt(replica))
        return false;
    if (running() && !mayTakeOver(replica, now))
        return false;
    const auto* agent = replica.agent();
    if (!agent || !agent->alive())
        return true;
    // After a restart the old and the new start of a replica are both listed for a while, with the same address and the
    // same agent.
    return agent->state().usable && sameStart(agent->state().start, replica.record().start);
}

/// Filters out unusable replicas before scoring. During an outage every waiting request repeats the choice every 25 ms;
/// with a hundred replicas, scoring all of them took all the processor time of a small entry.
auto RequestRun::chooseReplica() -> std::optional<Choice>
{
    const auto now = gateway_.now();
    const auto sharedId = sharedPrefixes_.empty() ? 0 : sharedPrefixes_.back().id;
    const auto usable = gateway_.directory.candidates(
        { service_, metadata_.adapter, sharedId }, [&](const Replica& replica) { return isCandidate(replica, now); });
    if (usable.empty())
        return std::nullopt;
    auto fastest = Duration::max();
    for (const auto& replica : gateway_.directory.replicasOf(service_)) {
        if (replica->meanTime().count() > 0)
            fastest = std::min(fastest, replica->meanTime());
    }
    const auto readRate = medianReadRate(usable);
    auto views = std::vector<decisions::ReplicaView>();
    views.reserve(usable.size());
    for (const auto& replica : usable)
        views.push_back(viewOf(replica, fastest == Duration::max() ? Duration(0) : fastest, readRate));
    const auto need = decisions::PlacementQuery { .adapter = metadata_.adapter.view(),
        .entry = gateway_.settings.host.name,
        .zone = gateway_.settings.host.zone,
        .unreadTokens = metadata_.promptTokens - std::min(metadata_.promptTokens, sharedTokens()),
        .sharedTokens = sharedTokens(),
        .sharedId = sharedId,
        .pauseLimit = route_->eventGapTarget,
        .zonePenalty = zonePenalty() };
    const auto chosen = decisions::chooseReplica(views, need);
    if (!chosen)
        return std::nullopt;
    return Choice { usable[*chosen], decisions::expectedStart(views[*chosen], need) };
}

auto RequestRun::place() -> void
{
    if (finished_)
        return;
    searching_ = true;
    auto choice = chooseReplica();
    if (!choice && !lateReplicas_.empty()) {
        // Every usable replica would start the request late; a late start is better than a refusal.
        lateReplicas_.clear();
        choice = chooseReplica();
    }
    if (!choice)
        return waitForPlace();
    replica_ = choice->replica;
    proceedAtReplica();
}

/// Requests admission at the chosen replica, after opening a session with its agent if needed. Sends at once to a
/// replica whose agent is absent or cannot be reached.
auto RequestRun::proceedAtReplica() -> void
{
    if (finished_)
        return;
    if (replica_->agent() && replica_->agent()->alive())
        return mustAskServiceKeeper() ? askServiceKeeper() : admit();
    if (replica_->agent() && replica_->agent()->mayOpen())
        return openSession();
    if (RateLimits::needsPermit(*replica_))
        return requestPermit();
    send();
}

/// A request that may have to wait is about to be queued, and some requests were not served lately.
auto RequestRun::mustAskServiceKeeper() const -> bool
{
    if (knownService_ || !gateway_.serviceKeepers.hasUnserved())
        return false;
    return !tried_.empty() || !lateReplicas_.empty()
        || (!metadata_.adapter.empty() && !replica_->agent()->state().resident.contains(metadata_.adapter));
}

auto RequestRun::askServiceKeeper() -> void
{
    watchReplica();
    const auto number = ++admissionCount_;
    admission_ = gateway_.serviceKeepers.find(metadata_.adapter, serviceKeys())
                     .then([this, number](decisions::RequestedKeys&& known) {
                         gateway_.deferred.add([self = shared_from_this(), known = kj::mv(known), number] {
                             if (number != self->admissionCount_)
                                 return;
                             self->knownService_ = known;
                             self->proceedAtReplica();
                         });
                     })
                     .eagerlyEvaluate(nullptr);
}

auto RequestRun::admit() -> void
{
    watchReplica();
    const auto now = gateway_.now();
    auto* agent = replica_->agent();
    const auto left
        = [&](Moment at) { return std::max(std::chrono::duration_cast<milliseconds>(at - now), milliseconds(0)); };
    auto order = AgentAdmissionRequest { .attempt = metadata_.attempt,
        .adapter = metadata_.adapter,
        .route = route_->name,
        .keys = knownService_.value_or(gateway_.serviceKeepers.own(serviceKeys())),
        .sharedPart = lastSharedPart_,
        .session = session_,
        .version = knownVersion().version,
        .versionNamedAfter = knownVersion().namedAfter,
        .promptTokens = metadata_.promptTokens,
        .shared = sharedPrefixes_,
        .outputTokens = metadata_.outputTokens,
        .priority = priority(),
        .timeUntilLate = left(firstEventSeen_ ? now + Duration(route_->eventGapTarget) : lateAt_),
        .timeUntilGiveUp
        = left(firstEventSeen_ ? std::min(endAt_, lastForwardedAt_ + clientEventTimeout(*route_)) : firstEventBy_),
        .elsewhere = lateRedirects_ < maxLateRedirects && !lateReplicas_.contains(replica_->id()) };
    if (!metadata_.adapter.empty() && !agent->state().resident.contains(metadata_.adapter))
        replica_->noteLoadRequested(metadata_.adapter);
    admittingAgent_ = agent;
    admissionAskedAt_ = now;
    // The answer is handled from the event loop: it may end the request, and a promise must not be destroyed within its
    // own callback.
    const auto number = ++admissionCount_;
    admission_ = agent->admit(order)
                     .then([this, number](AdmitResult&& result) {
                         gateway_.deferred.add([self = shared_from_this(), result, number] {
                             if (number == self->admissionCount_)
                                 self->onAdmitResult(result);
                         });
                     })
                     .eagerlyEvaluate([this, number](kj::Exception&&) {
                         gateway_.deferred.add([self = shared_from_this(), number] {
                             if (number == self->admissionCount_)
                                 self->abandonAdmission("agent lost");
                         });
                     });
    waitTimer_ = gateway_.loop.timers().every(agentCheckInterval, guarded(&RequestRun::checkAgent));
}

auto RequestRun::onAdmitResult(const AdmitResult& result) -> void
{
    waitTimer_.cancel();
    if (result.named)
        gateway_.configuration.noteAdapterVersion({ metadata_.model, metadata_.adapter, result.named->version },
            replica_->agent()->endpoint().str(), result.named->namedAfter);
    if (finished_) {
        if (result.granted)
            replica_->agent()->release(metadata_.attempt, RunEnd::Unsent);
        return;
    }
    // The replica may have asked for rest or begun to drain while the request waited for admission.
    if (!replica_->accepts(gateway_.now()))
        return onReplicaClosed();
    if (result.granted) {
        grantedVersion_ = result.version;
        return send();
    }
    admittingAgent_ = nullptr;
    logDecision("admission refused", result.reason);
    if (result.late)
        return onLateRefusal(result);
    tried_.insert(replica_->id());
    // Another replica may be free, but each query takes time, so only a few replicas are asked.
    if (tried_.size() >= maxSends)
        return refuse(result.reason, result.retryAfter);
    lateReplicas_.clear();
    const auto choice = chooseReplica();
    if (!choice)
        return refuse(result.reason, result.retryAfter);
    replica_ = choice->replica;
    proceedAtReplica();
}

/// The replica's own estimate is exact, while this entry's estimates for other replicas are not. The request is moved
/// only to a replica that is expected to start it sooner, at most twice, and otherwise goes to the one with the
/// earliest start among those already asked.
auto RequestRun::onLateRefusal(const AdmitResult& result) -> void
{
    const auto now = gateway_.now();
    ++lateRedirects_;
    lateReplicas_.insert(replica_->id());
    if (!soonestReplica_ || now + result.retryAfter < soonestStart_) {
        soonestReplica_ = replica_;
        soonestStart_ = now + result.retryAfter;
    }
    const auto choice = chooseReplica();
    const auto better = choice && now + choice->start < soonestStart_;
    if (better)
        replica_ = choice->replica;
    else if (isEligible(*soonestReplica_, now))
        replica_ = soonestReplica_;
    else
        return place();
    proceedAtReplica();
}

} // namespace eelgrass::serving
