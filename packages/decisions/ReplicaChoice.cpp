#include "decisions/ReplicaChoice.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// From the order to the adapter's being there, by an engine's own report: from the weight store, and from the engine's
// host memory. What a replica needs beyond is the wait for a slot.
constexpr auto fetchTime = Duration(300ms);
constexpr auto warmTime = Duration(60ms);
// Until one of a replica's slots is free for the next load when all are in use: runs of two seconds and more on seven
// slots, some of them shared.
constexpr auto slotTurn = Duration(400ms);
// Each place of the batch that is taken slows all tokens a little; counted so that idle replicas come first.
constexpr auto fullBatch = Duration(60ms);
// Pause of a running stream while a prompt is read, on a replica of usual speed: an event holds seven or eight tokens,
// a step makes one of each stream's, reads a thousand of the prompt's and looks back at all that were read before. With
// the engines' own figures 27 ms a step, and 0.75 ms more for each thousand tokens.
constexpr auto readingPause = Duration(200ms);
constexpr auto pausePerThousand = Duration(5500us);
// What it costs to make one stream's pause too long.
constexpr auto disturbance = Duration(60ms);
// Until one of many runs ends.
constexpr auto runTime = Duration(500ms);
// A request that fails is lost, or begins anew elsewhere at best. Where all replicas fail alike it changes nothing.
constexpr auto failureCost = Duration(500ms);
// How much of their age figures may be wrong by: for all entries alike, and more for the replicas that an entry favours
// less.
constexpr auto ageShare = 0.1;
constexpr auto entryShare = 0.2;
// How much of a shared part's reading the holder that it favours most is spared: other entries sent it there before.
constexpr auto readElsewhere = 0.6;
// How far the favourite of an adapter's name may be behind the soonest: where the adapter is there or at hand, and
// where it must be fetched. A fetch elsewhere costs all who wait for the store, so the favourite may be a good deal
// later.
constexpr auto favour = Duration(20ms);
constexpr auto favourForFetch = Duration(300ms);

auto share(double fraction, Duration whole) -> Duration
{
    return std::chrono::duration_cast<Duration>(fraction * std::chrono::duration<double, std::micro>(whole));
}

auto readTime(std::uint64_t tokens, double rate) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / rate));
}

/// From 0 for the replica that the name favours most, up to 1.
auto disfavour(std::uint64_t name, std::string_view replica) -> double
{
    const auto hash = rendezvousScore(name, nameHash(replica));
    constexpr auto shift = 11U;
    return 1 - static_cast<double>(hash >> shift) / static_cast<double>(std::uint64_t(1) << (64U - shift));
}

auto pauseWhileReading(std::uint64_t tokens) -> Duration
{
    constexpr auto thousand = 1000.0;
    return readingPause + share(static_cast<double>(tokens) / thousand, pausePerThousand);
}

/// How likely the shared part of the prompt was never read there, when this entry did not send it.
auto unreadChance(const ReplicaView& replica, const PlacementQuery& need) -> double
{
    return replica.holds ? 1 - readElsewhere * (1 - disfavour(need.sharedId, replica.id)) : 1;
}

/// Until an adapter is there that is not now.
auto loadWait(const ReplicaView& replica, const PlacementQuery& need) -> Duration
{
    auto wait = replica.warm ? warmTime : fetchTime;
    wait += need.waitingLoad * replica.loadsWaiting;
    if (replica.loadsWaiting >= replica.spareSlots)
        wait += slotTurn * (replica.loadsWaiting - replica.spareSlots + (replica.loading ? 0 : 1));
    // It was asked for some time ago.
    return replica.loading ? wait / 2 : wait;
}

} // namespace

auto expectedStart(const ReplicaView& replica, const PlacementQuery& need) -> Duration
{
    const auto load = replica.holds ? Duration(0) : loadWait(replica, need);
    const auto ahead = readTime(replica.tokensAhead + (replica.holds ? 0 : replica.tokensWaiting), need.readRate);
    const auto full
        = static_cast<double>(replica.running) / static_cast<double>(std::max<std::size_t>(replica.batch, 1));
    auto start = std::max(load, ahead) + share(full, fullBatch);
    // A full batch starts nothing until a run ends.
    if (full >= 1)
        start += runTime;
    const auto unknown = need.sharedTokens - std::min(need.sharedTokens, replica.cachedTokens);
    if (unknown > 0)
        start += share(unreadChance(replica, need), readTime(unknown, need.readRate));
    if (share(replica.slowness, pauseWhileReading(need.unreadTokens + need.sharedTokens)) > need.pauseLimit)
        start += disturbance * replica.running;
    start += share(replica.failures, failureCost);
    start += share(ageShare + entryShare * disfavour(nameHash(need.entry), replica.id), replica.age);
    if (replica.zone != need.zone)
        start += need.zonePenalty;
    return share(replica.slowness, start + Duration(1ms));
}

auto chooseReplica(std::span<const ReplicaView> replicas, const PlacementQuery& need) -> std::optional<std::size_t>
{
    const auto hadWithout = std::any_of(replicas.begin(), replicas.end(), [](const ReplicaView& replica) {
        return replica.usable && (replica.holds || replica.loading || replica.warm);
    });
    auto best = std::optional<std::size_t>();
    auto bestCost = Duration::max();
    for (auto index = std::size_t(0); index < replicas.size(); ++index) {
        const auto& replica = replicas[index];
        if (!replica.usable || (!replica.holds && !replica.loading && !replica.canLoad))
            continue;
        const auto fetch = !replica.holds && !replica.loading && !replica.warm;
        const auto cost = expectedStart(replica, need) + (fetch && hadWithout ? need.copyCost : Duration(0))
            + share(disfavour(nameHash(need.adapter), replica.id), fetch ? favourForFetch : favour);
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace eelgrass::decisions
