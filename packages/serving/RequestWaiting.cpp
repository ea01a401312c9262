// The part of RequestRun that waits: for a replica that can be tried, for a session with its agent, for a permit.
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// The moments at which requests that wait for the same rest to end try again, the urgent ones first.
auto urgencyDelay(std::uint32_t priority) -> Duration
{
    constexpr auto step = Duration(2ms);
    return step * std::min(priority, lowestPriority);
}

} // namespace

auto RequestRun::requestPermit() -> void
{
    watchReplica();
    const auto number = ++admissionCount_;
    // Not dropped when the request stops waiting for it, so that the permit can be given back.
    gateway_.loop.spawn(gateway_.rateLimits.take(*replica_, priority(), gateway_.entries)
                            .then([self = shared_from_this(), replica = replica_, number](PermitDecision&& decision) {
                                self->gateway_.deferred.add([self, replica, decision, number] {
                                    if (number == self->admissionCount_ && !self->finished_)
                                        self->onPermitDecision(decision);
                                    else
                                        self->gateway_.rateLimits.giveBack(*replica, decision);
                                });
                            }));
}

auto RequestRun::onPermitDecision(const PermitDecision& decision) -> void
{
    if (decision.granted) {
        permit_ = decision;
        return send();
    }
    replica_->permitRefused(gateway_.now(), decision.askAgainAfter);
    logDecision("permit refused", rateLimitReason);
    place();
}

auto RequestRun::returnPermit() -> void
{
    if (permit_)
        gateway_.rateLimits.giveBack(*replica_, *std::exchange(permit_, std::nullopt));
}

auto RequestRun::openSession() -> void
{
    watchReplica();
    const auto number = ++admissionCount_;
    const auto deferred = [this, number](void (RequestRun::*step)()) {
        gateway_.deferred.add([self = shared_from_this(), number, step] {
            if (number == self->admissionCount_)
                (self.get()->*step)();
        });
    };
    admission_ = replica_->agent()
                     ->open()
                     .then([deferred] { deferred(&RequestRun::sessionOpened); })
                     .eagerlyEvaluate([deferred](kj::Exception&&) { deferred(&RequestRun::sessionFailed); });
    waitTimer_ = gateway_.loop.timers().after(sessionOpenLimit, guarded(&RequestRun::sessionFailed));
}

auto RequestRun::sessionOpened() -> void
{
    waitTimer_.cancel();
    proceedAtReplica();
}

auto RequestRun::sessionFailed() -> void
{
    if (finished_)
        return;
    replica_->agent()->abandonOpening();
    abandonAdmission("agent not reached");
}

auto RequestRun::checkAgent() -> void
{
    if (replica_->agent()->isResponsive(admissionAskedAt_))
        return;
    replica_->agent()->markUnresponsive();
    abandonAdmission("agent silent");
}

/// Withdraws the request when the replica wants no more requests, wherever it waits. Nothing has been sent yet.
auto RequestRun::watchReplica() -> void
{
    // Deferred, because the replica may be told in the middle of a change of the directory.
    replicaClosed_ = replica_->onClosed().add([this, weak = weak_from_this()] {
        gateway_.deferred.add([weak] {
            if (const auto self = weak.lock(); self && self->replicaClosed_)
                self->onReplicaClosed();
        });
    });
}

auto RequestRun::onReplicaClosed() -> void
{
    if (finished_ || replica_->accepts(gateway_.now()))
        return;
    abandonAdmission(replica_->leaving() ? leavingReason : restReason);
}

auto RequestRun::abandonAdmission(std::string_view why) -> void
{
    logDecision("admission abandoned", why);
    withdrawSearch();
    if (finished_)
        return;
    searching_ = true;
    // From the loop: a choice that is abandoned at once, over and over, would exhaust the stack.
    waitTimer_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::nextOpening() const -> std::optional<Opening>
{
    const auto now = gateway_.now();
    auto next = std::optional<Opening>();
    for (const auto& replica : gateway_.directory.replicasOf(service_)) {
        if (!replica->present() || tried_.contains(replica->id()) || !mayContinueAt(*replica))
            continue;
        const auto restEnds = replica->rest().sendsFrom(now);
        const auto at = std::max(restEnds, replica->nextPermitAt());
        if (at <= now)
            return std::nullopt;
        if (!next || at < next->at)
            next = Opening { replica, at, restEnds == at };
    }
    return next;
}

auto RequestRun::firstEndOfRests() const -> std::optional<Moment>
{
    const auto now = gateway_.now();
    auto first = std::optional<Moment>();
    for (const auto& replica : gateway_.directory.replicasOf(service_)) {
        if (!replica->present() || !mayContinueAt(*replica))
            continue;
        if (!replica->rest().resting(now))
            return std::nullopt;
        first = std::min(first.value_or(Moment::max()), replica->rest().sendsFrom(now));
    }
    return first;
}

/// No replica can be tried now. Waits for a short time if one may become usable, and gives up at once otherwise.
auto RequestRun::waitForPlace() -> void
{
    const auto now = gateway_.now();
    const auto& replicas = gateway_.directory.replicasOf(service_);
    if (!canContinue() && origin_)
        return runs_ > 0 ? giveUp(versionGoneReason) : refuseStream(versionGoneReason);
    const auto untried = std::any_of(replicas.begin(), replicas.end(), [&](const ReplicaPtr& replica) {
        return !replica->leaving() && !tried_.contains(replica->id()) && mayContinueAt(*replica);
    });
    if (!untried || sends_ >= maxSends)
        return giveUp(replicas.empty() ? "no replica" : "every replica refused or failed");
    if (const auto opening = nextOpening())
        return waitForOpening(*opening);
    if (noAgentCanLoad())
        return refuse("no replica with the adapter version", agentReturnInterval);
    if (now + placementRetryDelay >= lateAt_)
        return giveUp("no replica free in time");
    waitTimer_ = gateway_.loop.timers().after(placementRetryDelay, guarded(&RequestRun::place));
}

/// Refused at once if the replica opens too late for the request, so that the client can return when it is open.
auto RequestRun::waitForOpening(const Opening& opening) -> void
{
    const auto answerTime = route_->streamed ? minTimeToSend : std::max(minTimeToSend, opening.replica->meanTime());
    if (opening.at + answerTime < std::min(lateAt_, nextEnd())) {
        const auto delay = opening.at - gateway_.now() + (opening.rests ? urgencyDelay(priority()) : Duration(0));
        waitTimer_ = gateway_.loop.timers().after(delay, guarded(&RequestRun::place));
        return;
    }
    if (opening.rests)
        return giveUp(restReason);
    refuse(rateLimitReason, gateway_.rateLimits.retryAfter(*opening.replica));
}

} // namespace eelgrass::serving
