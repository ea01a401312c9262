#include "serving/Replica.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// After this many consecutive failures no requests are sent for a pause, which doubles with each further failure.
constexpr auto failuresToPause = 2U;
constexpr auto minPause = Duration(300ms);
constexpr auto maxPause = Duration(3s);
// After this time a full replica has usually finished a few requests and is tried again.
constexpr auto pauseWhenFull = Duration(60ms);
constexpr auto smoothing = 8;

} // namespace

Replica::Replica(TimerService& timers, ReplicaRecord record, ReplicaAnnouncements announced)
    : record_(std::move(record))
    , idHash_(decisions::nameHash(record_.start.instance.view()))
    , pool_(timers, record_.endpoint)
    , leaving_(announced.leaving)
    , announced_(announced)
{
}

auto Replica::setLeaving() -> void
{
    if (!std::exchange(leaving_, true))
        onClosed_.notify();
}

auto Replica::noteRest(Duration length, Duration startDelay, Moment now) -> bool
{
    if (!announced_.rest.ask(length, startDelay, now))
        return false;
    onClosed_.notify();
    return true;
}

auto Replica::requestSent(Tokens tokens, Moment now) -> void
{
    announced_.rest.recordSend(now);
    if (inFlight_++ == 0)
        heardAt_ = now;
    tokensSent_ += tokens;
}

auto Replica::requestEnded() -> void
{
    if (inFlight_ > 0)
        --inFlight_;
}

auto Replica::succeeded(Duration took) -> void
{
    failures_ = 0;
    pausedUntil_ = {};
    meanTime_ = meanTime_.count() == 0 ? took : meanTime_ + (took - meanTime_) / smoothing;
}

auto Replica::failed(Moment now) -> void
{
    // Requests that fail during a pause were sent before it. Counted one by one, the streams that a silence of a second
    // ends at the same time made a pause of three.
    if (failures_ >= failuresToPause && now < pausedUntil_)
        return;
    ++failures_;
    if (failures_ < failuresToPause)
        return;
    constexpr auto maxDoublings = 5U;
    const auto doublings = std::min(failures_ - failuresToPause, maxDoublings);
    pausedUntil_ = now + std::min(maxPause, minPause * (1U << doublings));
}

auto Replica::wentOn() -> void
{
    failures_ = 0;
    pausedUntil_ = {};
}

auto Replica::reportedFull(Moment now) -> void { pausedUntil_ = std::max(pausedUntil_, now + pauseWhenFull); }

auto Replica::usable(Moment now) const noexcept -> bool
{
    if (!present() || !rest().allows(now) || now < pausedUntil_ || now < nextPermitAt_)
        return false;
    // After a pause for failures, one request is sent at a time until one succeeds.
    return failures_ < failuresToPause || inFlight_ == 0;
}

auto Replica::heldVersion(const AdapterName& adapter) const -> AdapterVersion
{
    const auto versionIn = [&](const std::map<AdapterName, AdapterVersion>& adapters) {
        const auto found = adapters.find(adapter);
        return found == adapters.end() ? AdapterVersion() : found->second;
    };
    if (agent_ && agent_->alive())
        return versionIn(agent_->state().resident);
    const auto listed = versionIn(record_.adapters);
    // The list lags behind: the agent may have had the adapter replaced before it went away.
    if (listed != AdapterVersion() && agent_ && sameStart(agent_->state().start, record_.start))
        return std::max(listed, versionIn(agent_->state().resident));
    return listed;
}

auto Replica::confirmsNewerStart(const StartTime& startTime, std::uint64_t listVersion) -> bool
{
    if (startTime > record_.start.startTime)
        return true;
    // Replicas send a heartbeat about once a second, and a late one arrives a second or two late.
    constexpr auto recordsToConfirm = 3U;
    if (std::exchange(earlierStartVersion_, listVersion) != listVersion)
        ++earlierStartRecords_;
    return earlierStartRecords_ >= recordsToConfirm;
}

} // namespace eelgrass::serving
