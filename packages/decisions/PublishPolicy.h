#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// What entries place requests by, of one replica.
struct ReplicaLoad {
    bool usable = false;
    std::size_t running = 0;
    std::size_t queued = 0;
    /// Prompt tokens to be read there before a request that comes now, and those that wait for their adapters.
    std::uint64_t tokensAhead = 0;
    std::uint64_t tokensWaiting = 0;
    std::uint64_t memoryUsed = 0;
    std::size_t spareSlots = 0;
    std::size_t loadsWaiting = 0;
    /// Prompt tokens that it reads in a millisecond.
    double readRate = 0;
    /// Share of the last requests that failed there.
    double failures = 0;

    [[nodiscard]] auto operator==(const ReplicaLoad&) const -> bool = default;
};

/// Entries by what a replica's figures are to them.
enum class Audience {
    /// In the replica's zone: most of its requests come from these.
    SameZone,
    /// In another zone, with a request there in the last seconds.
    RecentRequester,
    /// In another zone, with none.
    OtherZone,
};

/// When the process beside a replica publishes its state to entries.
///
/// Load made for: a hundred agents and more, each with a dozen changes a second, and as many entries, the smallest of
/// which have a tenth of a core.
/// Harm prevented: with an update for every change an entry reads three hundred a second whatever it serves, which at
/// 70 us each is a quarter of a tenth of a core, and its requests wait behind them. Reason for the limits: the updates
/// that an entry reads grow with the number of agents divided by the time for which changes are gathered, so that time
/// grows with the fleet too, by its square in a zone. An entry that has a request there is sent more, and each answer
/// to it carries the figures: who places much there knows more.
struct PublishPolicy {
    /// How long changes are gathered before they are published to `entries` of that audience.
    [[nodiscard]] static auto batchingDelay(Audience audience, std::size_t entries) noexcept -> Duration;
    /// Whether they are published at all; names and heartbeats are in any case.
    [[nodiscard]] static auto shouldPublish(Audience audience, const ReplicaLoad& last, const ReplicaLoad& now) noexcept
        -> bool;
    /// Longest time between two updates.
    [[nodiscard]] static auto heartbeat(Audience audience) noexcept -> Duration;
    /// After a request from an entry of another zone it counts as one that asks.
    static constexpr auto requesterWindow = Duration(2s);
};

} // namespace eelgrass::decisions
