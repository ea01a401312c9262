// The way of a request to a replica: the second part of RequestRun.
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// The median of what replicas read in a millisecond; 0 while none is known.
auto usualReadRate(const std::vector<ReplicaPtr>& replicas) -> double
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
        view.holds = true;
        if (fastest.count() > 0 && replica->meanTime().count() > 0)
            view.slowness = std::min(
                slowestFactor, static_cast<double>(replica->meanTime().count()) / static_cast<double>(fastest.count()));
        return view;
    }
    view.slowness = agent->alive() && agent->state().readRate > 0
        ? std::min(slowestFactor, readRate / agent->state().readRate)
        : 1;
    view.cachedTokens = replica->prompts().tokens(shared_);
    if (!agent->alive()) {
        // Without its agent a replica serves what it holds, by the list.
        view.holds = replica->record().hasBaseModel
            && (facts_.adapter.empty() || replica->record().adapters.contains(facts_.adapter));
        view.canLoad = agent->mayOpen();
        if (!view.canLoad)
            return view;
        // Assumed idle; its agent reports at once if it is not. Ranked lower, each entry would load the adapter on
        // whichever replicas it has sessions with.
        view.loading = replica->hasRequestedLoad(facts_.adapter);
        view.warm = replica->warm(facts_.adapter);
        view.spareSlots = 1;
        view.tokensAhead = replica->tokensSent();
        view.loadsWaiting = replica->loadsRequested();
        return view;
    }
    const auto& state = agent->state();
    view.running = std::max(state.running, replica->inFlight());
    view.holds = facts_.adapter.empty() || state.resident.contains(facts_.adapter);
    view.loading = state.loading.contains(facts_.adapter) || replica->hasRequestedLoad(facts_.adapter);
    view.warm = replica->warm(facts_.adapter);
    view.tokensAhead = state.tokensAhead + replica->tokensSent();
    view.tokensWaiting = state.tokensWaiting;
    view.spareSlots = state.spareSlots;
    view.age = agent->stateAge();
    view.failures = state.failureShare;
    view.loadsWaiting = state.loadsWaiting + replica->loadsRequested();
    return view;
}

auto RequestRun::mayTry(const Replica& replica, Moment now) const -> bool
{
    return !late_.contains(replica.id()) && mayTake(replica, now);
}

auto RequestRun::mayTake(const Replica& replica, Moment now) const -> bool
{
    if (!replica.usable(now) || tried_.contains(replica.id()))
        return false;
    const auto* agent = replica.agent();
    if (!agent || !agent->alive())
        return true;
    // After a restart both starts of a replica are listed for a while, at one address and with one agent.
    return agent->state().usable && sameStart(agent->state().start, replica.record().start);
}

/// Replicas that cannot be tried are left out before anything is worked out: in an outage every waiting request looks
/// again every 25 ms, and at a hundred replicas that was all that a small entry did.
auto RequestRun::choose() -> std::optional<Choice>
{
    const auto now = gateway_.now();
    const auto sharedId = shared_.empty() ? 0 : shared_.back().id;
    const auto usable = gateway_.directory.candidates(
        { service_, facts_.adapter, sharedId }, [&](const Replica& replica) { return mayTry(replica, now); });
    if (usable.empty())
        return std::nullopt;
    auto fastest = Duration::max();
    for (const auto& replica : gateway_.directory.replicasOf(service_)) {
        if (replica->meanTime().count() > 0)
            fastest = std::min(fastest, replica->meanTime());
    }
    const auto readRate = usualReadRate(usable);
    auto views = std::vector<decisions::ReplicaView>();
    views.reserve(usable.size());
    for (const auto& replica : usable)
        views.push_back(viewOf(replica, fastest == Duration::max() ? Duration(0) : fastest, readRate));
    const auto need = decisions::PlacementQuery { .adapter = facts_.adapter.view(),
        .entry = gateway_.settings.host.name,
        .zone = gateway_.settings.host.zone,
        .unreadTokens = facts_.promptTokens - std::min(facts_.promptTokens, sharedTokens()),
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
    if (over_)
        return;
    auto choice = choose();
    if (!choice && !late_.empty()) {
        // Late is better than never.
        late_.clear();
        choice = choose();
    }
    if (!choice)
        return waitForPlace();
    replica_ = choice->replica;
    approach();
}

/// Asks for admission at the chosen replica, or sends at once where nobody gives it.
auto RequestRun::approach() -> void
{
    if (over_)
        return;
    if (replica_->agent() && replica_->agent()->alive())
        return admit();
    if (replica_->agent() && replica_->agent()->mayOpen())
        return openSession();
    send(std::nullopt);
}

auto RequestRun::openSession() -> void
{
    const auto number = ++admissions_;
    const auto deferred = [this, number](void (RequestRun::*step)()) {
        gateway_.deferred.add([self = shared_from_this(), number, step] {
            if (number == self->admissions_)
                (self.get()->*step)();
        });
    };
    admission_ = replica_->agent()
                     ->open()
                     .then([deferred] { deferred(&RequestRun::sessionOpened); })
                     .eagerlyEvaluate([deferred](kj::Exception&&) { deferred(&RequestRun::sessionFailed); });
    wait_ = gateway_.loop.timers().after(sessionOpenLimit, guarded(&RequestRun::sessionFailed));
}

auto RequestRun::sessionOpened() -> void
{
    wait_.cancel();
    approach();
}

auto RequestRun::sessionFailed() -> void
{
    if (over_)
        return;
    replica_->agent()->abandonOpening();
    abandonAdmission("agent not reached");
}

/// No replica can be tried now. Waits a little if one may be soon, and says at once that it is hopeless otherwise.
auto RequestRun::waitForPlace() -> void
{
    const auto now = gateway_.now();
    const auto& replicas = gateway_.directory.replicasOf(service_);
    const auto untried = std::any_of(replicas.begin(), replicas.end(),
        [&](const ReplicaPtr& replica) { return !replica->leaving() && !tried_.contains(replica->id()); });
    if (!untried || sends_ >= mostSends)
        return giveUp(replicas.empty() ? "no replica" : "every replica refused or failed");
    if (now + placeAgain >= lateAt_)
        return giveUp("no replica free in time");
    wait_ = gateway_.loop.timers().after(placeAgain, guarded(&RequestRun::place));
}

auto RequestRun::admit() -> void
{
    const auto now = gateway_.now();
    auto* agent = replica_->agent();
    const auto left
        = [&](Moment at) { return std::max(std::chrono::duration_cast<milliseconds>(at - now), milliseconds(0)); };
    auto order = AgentAdmissionRequest { .attempt = facts_.attempt,
        .adapter = facts_.adapter,
        .version = gateway_.configuration.versionOf(facts_.model, facts_.adapter),
        .promptTokens = facts_.promptTokens,
        .shared = shared_,
        .outputTokens = facts_.outputTokens,
        .priority = urgency(),
        .timeUntilLate = left(firstEventSeen_ ? now + Duration(route_->eventGapTarget) : lateAt_),
        .timeUntilGiveUp = left(firstEventSeen_ ? std::min(endAt_, lastTold_ + patience(*route_)) : firstBy_),
        .elsewhere = sentOn_ < mostSentOn && !late_.contains(replica_->id()) };
    if (!facts_.adapter.empty() && !agent->state().resident.contains(facts_.adapter))
        replica_->noteLoadRequested(facts_.adapter);
    grantedBy_ = agent;
    askedAt_ = now;
    // Answered from the loop: the run may end over the answer, and a promise must not be destroyed within its own call.
    const auto number = ++admissions_;
    admission_ = agent->admit(order)
                     .then([this, number](AdmitResult&& result) {
                         gateway_.deferred.add([self = shared_from_this(), result, number] {
                             if (number == self->admissions_)
                                 self->admitted(result);
                         });
                     })
                     .eagerlyEvaluate([this, number](kj::Exception&&) {
                         gateway_.deferred.add([self = shared_from_this(), number] {
                             if (number == self->admissions_)
                                 self->abandonAdmission("agent lost");
                         });
                     });
    wait_ = gateway_.loop.timers().every(agentCheck, guarded(&RequestRun::checkAgent));
}

auto RequestRun::checkAgent() -> void
{
    if (replica_->leaving())
        return abandonAdmission("replica leaving");
    if (replica_->agent()->isResponsive(askedAt_))
        return;
    replica_->agent()->markUnresponsive();
    abandonAdmission("agent silent");
}

auto RequestRun::admitted(const AdmitResult& result) -> void
{
    wait_.cancel();
    if (over_) {
        if (result.granted)
            replica_->agent()->release(facts_.attempt);
        return;
    }
    // It may have waited there for longer than a replica that leaves may be given work.
    if (replica_->leaving())
        return abandonAdmission("replica leaving");
    if (result.granted) {
        const auto version = facts_.adapter.empty() ? std::nullopt : std::optional(result.version);
        return send(version);
    }
    grantedBy_ = nullptr;
    logDecision("admission refused", result.reason);
    if (result.late)
        return lateThere(result);
    tried_.insert(replica_->id());
    // Another replica may be free, but not many are asked: each answer takes its time.
    if (tried_.size() >= mostSends)
        return refuse(result.reason, result.retryAfter);
    late_.clear();
    const auto choice = choose();
    if (!choice)
        return refuse(result.reason, result.retryAfter);
    replica_ = choice->replica;
    approach();
}

/// What the replica itself says of its queue is true, what is known here of others is not quite: it goes there only for
/// what looks sooner, twice at the most, and stays at the soonest of those that it asked otherwise.
auto RequestRun::lateThere(const AdmitResult& result) -> void
{
    const auto now = gateway_.now();
    ++sentOn_;
    late_.insert(replica_->id());
    if (!soonest_ || now + result.retryAfter < soonestStart_) {
        soonest_ = replica_;
        soonestStart_ = now + result.retryAfter;
    }
    const auto choice = choose();
    const auto better = choice && now + choice->start < soonestStart_;
    if (better)
        replica_ = choice->replica;
    else if (mayTake(*soonest_, now))
        replica_ = soonest_;
    else
        return place();
    approach();
}

auto RequestRun::abandonAdmission(std::string_view why) -> void
{
    logDecision("admission abandoned", why);
    ++admissions_;
    wait_.cancel();
    if (grantedBy_)
        grantedBy_->release(facts_.attempt);
    grantedBy_ = nullptr;
    if (over_)
        return;
    admission_ = nullptr;
    place();
}

} // namespace eelgrass::serving
