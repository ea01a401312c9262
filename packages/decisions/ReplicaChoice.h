#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::decisions {

/// One replica as an entry believes it to be.
struct ReplicaView {
    std::string_view id;
    AvailabilityZone zone;
    /// Whether it may get new work at all.
    bool usable = true;
    /// Whether the request's adapter is there, or ordered.
    bool holds = false;
    bool loading = false;
    /// Whether it held the adapter not long ago: it then has the weights at hand.
    bool warm = false;
    /// Whether a process beside it can load what is missing.
    bool canLoad = true;
    std::size_t running = 0;
    std::size_t batch = 1;
    /// Prompt tokens to be read there first, with what this entry sent since the replica's last word.
    std::uint64_t tokensAhead = 0;
    /// Those that wait for other adapters there; ahead only of a request whose adapter must be loaded too.
    std::uint64_t tokensWaiting = 0;
    /// Slots whose adapter gives way to a new one, and adapters that wait for one already, with those that this entry
    /// asked for since the replica's last word.
    std::size_t spareSlots = 0;
    std::size_t loadsWaiting = 0;
    /// Share of the last requests that failed there.
    double failures = 0;
    /// How old the figures are.
    Duration age { 0 };
    /// How much of the shared parts of the prompt it has read, as far as this entry knows.
    std::uint64_t cachedTokens = 0;
    /// What it takes for the same work against its peers; 1 for as fast as they.
    double slowness = 1;
};

/// What placement needs to know of a request.
struct PlacementQuery {
    std::string_view adapter;
    /// Who chooses.
    std::string_view entry;
    AvailabilityZone zone;
    std::uint64_t unreadTokens = 0;
    std::uint64_t sharedTokens = 0;
    /// Names those shared parts together with the adapter.
    std::uint64_t sharedId = 0;
    /// Prompt tokens that a replica of usual speed reads in a millisecond.
    double readRate = 40;
    /// Longest pause between two events of a stream that is still on time.
    Duration pauseLimit = 300ms;
    /// What a request sent to another zone costs, as a time.
    Duration zonePenalty = 20ms;
    /// What each load that waits at a replica adds to the wait for one more.
    Duration waitingLoad = 100ms;
    /// What fetching an adapter costs the others who wait for the weight store, where it could be had without.
    Duration copyCost = 300ms;
};

/// What the request would wait there, with the costs counted as times.
[[nodiscard]] auto expectedStart(const ReplicaView& replica, const PlacementQuery& need) -> Duration;

/// The replica at which the request begins soonest; empty when none may take it.
///
/// Load made for: skewed demand over far more adapters than slots, prompts that share long parts, and reports that are
/// some hundred milliseconds old.
/// Harm prevented: loads that nobody needed, the same adapter loaded at several replicas because several entries asked
/// for it at the same moment, shared parts read anew at each replica, a popular adapter bound to one full replica.
///
/// Where every slot is in use, a load waits for the runs on one of them to end, and behind the loads that wait there
/// already. Counted as one slot's time whatever the queue, ten adapters waited at one replica for slots that stood
/// empty at another.
///
/// The weight store gives all replicas together a few loads at a time, so a load waits for those before it though slots
/// are free, and most of all after a loss of power.
///
/// What is fetched a second time, while one replica holds it, loads it or has it at hand, takes the store from adapters
/// that are nowhere. It counts as the time that it takes others.
///
/// A prompt that is so long, or a replica so slow, that running streams pause for too long while it is read, goes where
/// few of them run.
///
/// The older a replica's figures are, the more requests other entries sent there unseen: such a replica counts as
/// later, and each entry prefers others among those that look alike. Without it all entries chose the same idle holder
/// in the time between two of its reports, and work waited there while engines read a third of the time.
///
/// Among several holders of an adapter each shared part of a prompt has a favourite too. An entry knows only what it
/// sent itself; with many entries the same parts were read anew at every holder.
///
/// An adapter that nobody holds goes to the replica that its name favours, unless that one is much later than others.
/// Entries that do not know of each other then ask the same one, and an adapter that comes back finds its weights still
/// at hand there.
[[nodiscard]] auto chooseReplica(std::span<const ReplicaView> replicas, const PlacementQuery& need)
    -> std::optional<std::size_t>;

} // namespace eelgrass::decisions
