#include "serving/Replica.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// Failures in a row after which a replica rests, and for how long: doubled each time, up to the longest.
constexpr auto failuresToRest = 2U;
constexpr auto shortestRest = Duration(300ms);
constexpr auto longestRest = Duration(3s);
// A full replica is asked again when a few of its requests have ended.
constexpr auto restWhenFull = Duration(60ms);
constexpr auto smoothing = 8;

} // namespace

Replica::Replica(TimerService& timers, ReplicaRecord record)
    : record_(std::move(record))
    , idHash_(decisions::nameHash(record_.start.instance.view()))
    , pool_(timers, record_.endpoint)
{
}

auto Replica::requestSent(Tokens tokens) -> void
{
    ++inFlight_;
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
    restsUntil_ = {};
    meanTime_ = meanTime_.count() == 0 ? took : meanTime_ + (took - meanTime_) / smoothing;
}

auto Replica::failed(Moment now) -> void
{
    ++failures_;
    if (failures_ < failuresToRest)
        return;
    constexpr auto mostDoublings = 5U;
    const auto doublings = std::min(failures_ - failuresToRest, mostDoublings);
    restsUntil_ = now + std::min(longestRest, shortestRest * (1U << doublings));
}

auto Replica::reportedFull(Moment now) -> void { restsUntil_ = std::max(restsUntil_, now + restWhenFull); }

auto Replica::usable(Moment now) const noexcept -> bool
{
    if (leaving_ || unreadable_ || superseded_ || now < restsUntil_)
        return false;
    // After a rest one request tries it; the others wait for what becomes of it.
    return failures_ < failuresToRest || inFlight_ == 0;
}

auto Replica::confirmsNewerStart(const StartTime& startTime, std::uint64_t listVersion) -> bool
{
    if (startTime > record_.start.startTime)
        return true;
    // Replicas heartbeat about once a second, and late ones are a second or two late.
    constexpr auto rowsToBelieve = 3U;
    if (std::exchange(earlierVersion_, listVersion) != listVersion)
        ++earlierBirths_;
    return earlierBirths_ >= rowsToBelieve;
}

} // namespace eelgrass::serving
