#include "decisions/ReplicaChoice.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Time from ordering a load until the engine reports the adapter as loaded: from the weight store, and from the
// engine's host memory. Excludes the wait for a slot.
constexpr auto fetchTime = Duration(300ms);
constexpr auto warmTime = Duration(60ms);
// Time until one slot of a replica becomes free when all slots are in use: requests run for two seconds or more on
// seven slots, some of which are shared.
constexpr auto slotReleaseTime = Duration(400ms);
// Cost of a full batch, charged in proportion to how full the batch is. Each running request slows all others slightly,
// so idle replicas are preferred.
constexpr auto fullBatchCost = Duration(60ms);
// Pause of a running stream while a prompt is processed, on a replica of normal speed. An event holds seven or eight
// tokens; one step generates one token of each stream, processes a thousand prompt tokens and attends to all earlier
// tokens. By the engines' own figures a step takes 27 ms, plus 0.75 ms for each thousand earlier tokens.
constexpr auto prefillPause = Duration(200ms);
constexpr auto pausePerThousand = Duration(5500us);
// Cost of each running stream whose pause would exceed the limit.
constexpr auto pausedStreamCost = Duration(60ms);
// Time until one of many running requests ends.
constexpr auto batchReleaseTime = Duration(500ms);
// Cost of a failure, charged in proportion to its probability: a failed request is lost or, at best, starts again at
// another replica. If all replicas fail at the same rate, the choice does not change.
constexpr auto failureCost = Duration(500ms);
// Share of the age of a replica's values that is added to its expected start: one part that is equal for all entries,
// and one that grows as the choosing entry prefers the replica less.
constexpr auto ageShare = 0.1;
constexpr auto entryShare = 0.2;
// Probability that the holder which a shared prefix prefers most has already processed it for another entry.
constexpr auto prefixCachedChance = 0.6;
// How much later than at the best replica a request may start at the replica that the adapter's name prefers most: the
// first margin applies if the adapter is resident, being loaded or in host memory, the second if it must be fetched. A
// fetch at another replica delays all users of the weight store, so the second margin is larger.
constexpr auto preferenceMargin = Duration(20ms);
constexpr auto preferenceMarginForFetch = Duration(300ms);

auto scaled(double factor, Duration duration) -> Duration
{
    return std::chrono::duration_cast<Duration>(factor * std::chrono::duration<double, std::micro>(duration));
}

auto prefillTime(std::uint64_t tokens, double rate) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / rate));
}

/// Rank of the replica for the hashed name, from 0 (most preferred) to 1.
auto dispreference(std::uint64_t name, std::string_view replica) -> double
{
    const auto hash = rendezvousScore(name, nameHash(replica));
    constexpr auto shift = 11U;
    return 1 - static_cast<double>(hash >> shift) / static_cast<double>(std::uint64_t(1) << (64U - shift));
}

auto pauseDuringPrefill(std::uint64_t tokens) -> Duration
{
    constexpr auto thousand = 1000.0;
    return prefillPause + scaled(static_cast<double>(tokens) / thousand, pausePerThousand);
}

/// Probability that the replica has not processed the shared prefix, given that this entry did not send it there.
auto unreadChance(const ReplicaView& replica, const PlacementQuery& query) -> double
{
    return replica.holds ? 1 - prefixCachedChance * (1 - dispreference(query.sharedId, replica.id)) : 1;
}

/// Expected time until an adapter that is not resident has been loaded.
auto loadWait(const ReplicaView& replica, const PlacementQuery& query) -> Duration
{
    auto wait = replica.warm ? warmTime : fetchTime;
    wait += query.waitingLoadCost * replica.loadsWaiting;
    if (replica.loadsWaiting >= replica.spareSlots)
        wait += slotReleaseTime * (replica.loadsWaiting - replica.spareSlots + (replica.loading ? 0 : 1));
    // The load was ordered some time ago, so on average half of the wait has passed.
    return replica.loading ? wait / 2 : wait;
}

} // namespace

auto expectedStart(const ReplicaView& replica, const PlacementQuery& query) -> Duration
{
    const auto load = replica.holds ? Duration(0) : loadWait(replica, query);
    const auto ahead = prefillTime(replica.tokensAhead + (replica.holds ? 0 : replica.tokensWaiting), query.readRate);
    const auto fill
        = static_cast<double>(replica.running) / static_cast<double>(std::max<std::size_t>(replica.batch, 1));
    auto start = std::max({ load, ahead, replica.permitWait }) + scaled(fill, fullBatchCost);
    // A full batch starts no request until a running one ends.
    if (fill >= 1)
        start += batchReleaseTime;
    const auto unknownTokens = query.sharedTokens - std::min(query.sharedTokens, replica.cachedTokens);
    if (unknownTokens > 0)
        start += scaled(unreadChance(replica, query), prefillTime(unknownTokens, query.readRate));
    if (scaled(replica.slowness, pauseDuringPrefill(query.unreadTokens + query.sharedTokens)) > query.pauseLimit)
        start += pausedStreamCost * replica.running;
    start += scaled(replica.failures, failureCost);
    start += scaled(ageShare + entryShare * dispreference(nameHash(query.entry), replica.id), replica.age);
    if (replica.zone != query.zone)
        start += query.zonePenalty;
    return scaled(replica.slowness, start + Duration(1ms));
}

auto chooseReplica(std::span<const ReplicaView> replicas, const PlacementQuery& query) -> std::optional<std::size_t>
{
    const auto availableWithoutFetch = std::any_of(replicas.begin(), replicas.end(), [](const ReplicaView& replica) {
        return replica.usable && (replica.holds || replica.loading || replica.warm);
    });
    auto best = std::optional<std::size_t>();
    auto bestCost = Duration::max();
    for (auto index = std::size_t(0); index < replicas.size(); ++index) {
        const auto& replica = replicas[index];
        if (!replica.usable || (!replica.holds && !replica.loading && !replica.canLoad))
            continue;
        const auto mustFetch = !replica.holds && !replica.loading && !replica.warm;
        const auto cost = expectedStart(replica, query)
            + (mustFetch && availableWithoutFetch ? query.copyCost : Duration(0))
            + scaled(dispreference(nameHash(query.adapter), replica.id),
                mustFetch ? preferenceMarginForFetch : preferenceMargin);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace eelgrass::decisions
