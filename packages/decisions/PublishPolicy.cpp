#include "decisions/PublishPolicy.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// An entry's view is that much older for each entry that listens.
constexpr auto nearGather = Duration(10ms);
constexpr auto longestNearGather = Duration(400ms);
// Entries of a zone up to which the time grows with their number alone: below, an entry reads a hundred updates a
// second from the agents of its zone.
constexpr auto fewEntries = Duration::rep(6);
// Bytes between zones are paid for, and most requests stay in theirs.
constexpr auto farGather = Duration(50ms);
constexpr auto longestFarGather = Duration(1400ms);
// One who asked has a request that depends on it; the answer itself carries figures too.
constexpr auto longestAskingGather = Duration(400ms);
constexpr auto nearHeartbeat = Duration(500ms);
constexpr auto farHeartbeat = Duration(2000ms);

// What makes a replica of another zone look better or worse than the way there: a tenth of a second's reading, an
// eighth of a batch, two loads.
constexpr auto tokensThatMatter = std::uint64_t(4000);
constexpr auto runsThatMatter = std::size_t(8);
constexpr auto loadsThatMatter = std::size_t(2);
constexpr auto failuresThatMatter = 0.1;

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
        const auto many = std::max(count, fewEntries);
        return std::min(Duration(nearGather * count * many / fewEntries), longestNearGather);
    }
    case Audience::RecentRequester:
        return std::min(Duration(farGather * count), longestAskingGather);
    case Audience::OtherZone:
        break;
    }
    return std::min(Duration(farGather * count), longestFarGather);
}

auto PublishPolicy::shouldPublish(Audience audience, const ReplicaLoad& last, const ReplicaLoad& now) noexcept -> bool
{
    if (audience != Audience::OtherZone || last.usable != now.usable)
        return last != now;
    return difference(last.tokensAhead + last.tokensWaiting, now.tokensAhead + now.tokensWaiting) >= tokensThatMatter
        || difference(last.running, now.running) >= runsThatMatter
        || difference(last.loadsWaiting, now.loadsWaiting) >= loadsThatMatter
        || (last.spareSlots == 0) != (now.spareSlots == 0)
        || difference(last.failures, now.failures) >= failuresThatMatter;
}

auto PublishPolicy::heartbeat(Audience audience) noexcept -> Duration
{
    return audience == Audience::SameZone ? nearHeartbeat : farHeartbeat;
}

} // namespace eelgrass::decisions
