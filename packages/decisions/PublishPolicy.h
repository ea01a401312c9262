#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// The state of one replica on which entries base the placement of requests.
struct ReplicaLoad {
    bool usable = false;
    std::size_t running = 0;
    std::size_t queued = 0;
    /// Prompt tokens to be processed before a request that arrives now.
    std::uint64_t tokensAhead = 0;
    /// Prompt tokens of requests that wait for their adapters.
    std::uint64_t tokensWaiting = 0;
    std::uint64_t memoryUsed = 0;
    std::size_t spareSlots = 0;
    std::size_t loadsWaiting = 0;
    /// Prompt tokens processed per millisecond.
    double readRate = 0;
    /// Share of the latest requests that failed at the replica, from 0 to 1.
    double failures = 0;
    /// Time until a request that arrives now may be sent under the replica's rate limit.
    Duration permitWait { 0 };

    [[nodiscard]] auto operator==(const ReplicaLoad&) const -> bool = default;
};

/// Groups of entries by how much they depend on the state of a replica.
enum class Audience {
    /// Entries in the replica's zone, which send most of its requests.
    SameZone,
    /// Entries in other zones that sent the replica a request within `PublishPolicy::requesterWindow`.
    RecentRequester,
    /// All other entries in other zones.
    OtherZone,
};

/// Decides when the agent of a replica publishes its state to entries.
///
/// Designed for a hundred or more agents, each with a dozen changes per second, and as many entries, the smallest of
/// which have a tenth of a core. With an update for every change, each entry would read three hundred updates per
/// second regardless of the requests that it serves. At 70 us for each update, reading them takes a quarter of a tenth
/// of a core, and requests would wait behind the updates.
///
/// The number of updates that an entry reads is proportional to the number of agents divided by the batching delay. The
/// delay therefore grows with the fleet, and within a zone with the square of the zone's entries. An entry that
/// recently sent a request to the replica is sent more updates, and each answer to the entry contains the state too, so
/// that entries which send many requests to a replica have more recent data.
struct PublishPolicy {
    /// How long changes are batched before they are published to the `entries` entries of the audience.
    [[nodiscard]] static auto batchingDelay(Audience audience, std::size_t entries) noexcept -> Duration;
    /// Whether a change of the state is published at all; changes of names and heartbeats always are.
    [[nodiscard]] static auto shouldPublish(Audience audience, const ReplicaLoad& last, const ReplicaLoad& now) noexcept
        -> bool;
    /// Longest time between two updates.
    [[nodiscard]] static auto heartbeat(Audience audience) noexcept -> Duration;
    /// An entry that answers none of the updates between so many heartbeats in a row is gone. Counted in heartbeats,
    /// not in time, since the agent itself may have been suspended.
    [[nodiscard]] static auto maxUnansweredHeartbeats(Audience audience) noexcept -> unsigned;
    /// How long an entry of another zone counts as `Audience::RecentRequester` after a request.
    static constexpr auto requesterWindow = Duration(2s);
};

} // namespace eelgrass::decisions
