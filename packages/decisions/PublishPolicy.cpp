#include "decisions/PublishPolicy.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Batching delay for each subscribed entry of the zone. The entries' views are older by this delay.
constexpr auto sameZoneDelay = Duration(10ms);
constexpr auto maxSameZoneDelay = Duration(400ms);
// Number of entries of a zone up to which the delay grows linearly. Below this number, an entry reads a hundred updates
// per second from the agents of its zone.
constexpr auto linearDelayEntries = Duration::rep(6);
// Batching delay for each subscribed entry of another zone; longer than within a zone, since traffic between zones
// costs money and most requests stay in their zone.
constexpr auto otherZoneDelay = Duration(50ms);
constexpr auto maxOtherZoneDelay = Duration(1400ms);
// Upper bound of the delay for an entry that recently sent a request and therefore depends on the state; the answer to
// its request contains the state too.
constexpr auto maxRecentRequesterDelay = Duration(400ms);
constexpr auto sameZoneHeartbeat = Duration(500ms);
constexpr auto otherZoneHeartbeat = Duration(2000ms);

// Changes that outweigh the cost of sending a request to another zone: a tenth of a second of prompt processing, an
// eighth of a batch, two loads.
constexpr auto significantTokens = std::uint64_t(4000);
constexpr auto significantRuns = std::size_t(8);
constexpr auto significantLoads = std::size_t(2);
constexpr auto significantFailures = 0.1;
constexpr auto significantWait = Duration(200ms);

template <typename Number> auto difference(Number left, Number right) -> Number
{
    return left > right ? left - right : right - left;
}

} // namespace

auto PublishPolicy::batchingDelay(Audience audience, std::size_t entries) noexcept -> Duration
{
    const auto count = static_cast<Duration::rep>(entries);
    switch (audience) {
    case Audience::SameZone: {
        const auto multiplier = std::max(count, linearDelayEntries);
        return std::min(Duration(sameZoneDelay * count * multiplier / linearDelayEntries), maxSameZoneDelay);
    }
    case Audience::RecentRequester:
        return std::min(Duration(otherZoneDelay * count), maxRecentRequesterDelay);
    case Audience::OtherZone:
        break;
    }
    return std::min(Duration(otherZoneDelay * count), maxOtherZoneDelay);
}

auto PublishPolicy::shouldPublish(Audience audience, const ReplicaLoad& last, const ReplicaLoad& now) noexcept -> bool
{
    if (audience != Audience::OtherZone || last.usable != now.usable)
        return last != now;
    return difference(last.tokensAhead + last.tokensWaiting, now.tokensAhead + now.tokensWaiting) >= significantTokens
        || difference(last.running, now.running) >= significantRuns
        || difference(last.loadsWaiting, now.loadsWaiting) >= significantLoads
        || (last.spareSlots == 0) != (now.spareSlots == 0)
        || difference(last.failures, now.failures) >= significantFailures
        || difference(last.permitWait, now.permitWait) >= significantWait;
}

auto PublishPolicy::heartbeat(Audience audience) noexcept -> Duration
{
    return audience == Audience::SameZone ? sameZoneHeartbeat : otherZoneHeartbeat;
}

auto PublishPolicy::maxUnansweredHeartbeats(Audience audience) noexcept -> unsigned
{
    constexpr auto sameZone = 5U;
    // Two beats may follow at once when the agent itself was suspended.
    constexpr auto otherZone = 3U;
    return audience == Audience::SameZone ? sameZone : otherZone;
}

} // namespace eelgrass::decisions
