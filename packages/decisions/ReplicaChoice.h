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

/// An entry's information about one replica; may be outdated by `age`.
struct ReplicaView {
    std::string_view id;
    AvailabilityZone zone;
    /// Whether the replica may receive new work.
    bool usable = true;
    /// Whether the request's adapter is resident.
    bool holds = false;
    /// Whether a load of the request's adapter is under way.
    bool loading = false;
    /// Whether the replica held the adapter recently and still has its weights in host memory.
    bool warm = false;
    /// Whether the replica has an agent that can load a missing adapter.
    bool canLoad = true;
    std::size_t running = 0;
    std::size_t batch = 1;
    /// Prompt tokens to be processed before this request, including the tokens of requests that this entry sent since
    /// the replica's last report.
    std::uint64_t tokensAhead = 0;
    /// Prompt tokens of requests that wait for other adapters; these requests delay only a request whose adapter must
    /// be loaded too.
    std::uint64_t tokensWaiting = 0;
    /// Slots that are free or hold an adapter that may be evicted.
    std::size_t spareSlots = 0;
    /// Adapters that wait for a slot, including the adapters that this entry requested since the replica's last report.
    std::size_t loadsWaiting = 0;
    /// Share of the latest requests that failed at the replica, from 0 to 1.
    double failures = 0;
    /// Time until the replica's rate limit lets a further request be sent.
    Duration permitWait { 0 };
    /// Age of these values.
    Duration age { 0 };
    /// Tokens of the prompt's shared prefix that the replica has processed, as far as this entry knows.
    std::uint64_t cachedTokens = 0;
    /// Time for the same work relative to the replica's peers; 1 means equally fast.
    double slowness = 1;
};

/// The properties of a request, and of the fleet, that the choice of a replica depends on.
struct PlacementQuery {
    std::string_view adapter;
    /// Name of the entry that chooses.
    std::string_view entry;
    AvailabilityZone zone;
    /// Prompt tokens after the shared prefix.
    std::uint64_t unreadTokens = 0;
    /// Prompt tokens of the shared prefix.
    std::uint64_t sharedTokens = 0;
    /// Identifies the shared prefix together with the adapter.
    std::uint64_t sharedId = 0;
    /// Prompt tokens that a replica of normal speed processes per millisecond.
    double readRate = 40;
    /// Longest acceptable pause between two events of a stream.
    Duration pauseLimit = 300ms;
    /// Cost of sending the request to another zone.
    Duration zonePenalty = 20ms;
    /// Delay that each load waiting at a replica adds to a further load.
    Duration waitingLoadCost = 100ms;
    /// Delay that fetching the adapter causes for other users of the weight store; charged if another replica holds
    /// the adapter, loads it or has it in host memory.
    Duration copyCost = 300ms;
};

/// Expected wait until the request's first event at the replica, including penalties expressed as durations.
[[nodiscard]] auto expectedStart(const ReplicaView& replica, const PlacementQuery& query) -> Duration;

/// Returns the index of the replica with the lowest expected start, or no value if no replica may take the request.
///
/// Designed for skewed demand over far more adapters than slots, prompts that share long prefixes, and reports that are
/// a few hundred milliseconds old. The choice prevents unnecessary loads, the same adapter being loaded at several
/// replicas because several entries requested it at the same moment, shared prefixes being processed anew at each
/// replica, and a popular adapter being confined to one full replica.
///
/// If all slots are in use, a load waits until the requests on one slot end, and behind the loads that already wait at
/// the replica. When this wait was counted as the time until one slot becomes free, regardless of the queue, ten
/// adapters waited at one replica while slots were free at another.
///
/// The weight store serves all replicas together only a few loads at a time. A load therefore waits for earlier loads
/// even if slots are free, above all after a power loss.
///
/// Fetching an adapter that another replica holds, loads or has in host memory delays fetches of adapters that no
/// replica has. This delay is charged as `copyCost`.
///
/// If a prompt is so long, or a replica so slow, that running streams would pause for too long while the prompt is
/// processed, a replica with few running streams is preferred.
///
/// The older the values of a replica are, the more requests other entries may have sent to it since. Its expected start
/// therefore grows with their age, by an amount that differs between entries. Without this difference, all entries
/// chose the same idle holder between two of its reports, and requests waited there while engines were processing
/// prompts for only a third of the time.
///
/// Among several holders of an adapter, each shared prefix has a preferred one. An entry only knows which prefixes it
/// sent itself; without the preference, many entries caused the same prefixes to be processed at every holder.
///
/// An adapter that no replica holds goes to the replica that its name prefers, unless the request would start much
/// later there than at another replica. Entries that do not know of each other then choose the same replica, and an
/// adapter that is loaded again finds its weights still in that replica's host memory.
[[nodiscard]] auto chooseReplica(std::span<const ReplicaView> replicas, const PlacementQuery& query)
    -> std::optional<std::size_t>;

} // namespace eelgrass::decisions
