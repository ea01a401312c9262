#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace eelgrass::decisions {

/// When an entry holds a session with an agent.
enum class SessionPolicy {
    /// Opened for a request and closed when idle.
    OnDemand,
    /// Held open by this entry, which selected the agent by its own hash.
    Persistent,
    /// Held open by every entry; carries state that all entries must share.
    Hub,
};

/// The properties of an agent that the plan depends on.
struct PlannedAgent {
    /// Hash of its address, the same at every entry.
    std::uint64_t hash = 0;
    AvailabilityZone zone;
};

/// Selects the agents with which an entry holds a persistent session.
///
/// Designed for hundreds of entries and hundreds of agents, with a few requests per second at each entry. With a
/// session between every entry and every agent, heartbeats and updates would grow with the number of agents at each
/// entry, and with the product of both numbers across the fleet, until small entries are saturated. The number of an
/// entry's persistent sessions must therefore not grow with the number of agents.
///
/// With few agents an entry holds a session with each, because placement is better when the state of every replica is
/// known. With many agents, all entries share the same hubs in each zone, which count the entries and name the zone's
/// reader (see `SharedReading`); each entry also selects some agents by its own hash, so that nearly every agent
/// receives the configuration from some entry.
///
/// ```cpp
/// const auto keep = SessionPlan::of(agents, nameHash(entry));
/// ```
struct SessionPlan {
    /// Up to this number of agents, an entry holds a session with each of them.
    static constexpr auto fullMeshLimit = std::size_t(128);
    /// Two hubs, so that one remains while the other restarts.
    static constexpr auto hubsPerZone = std::size_t(2);
    static constexpr auto agentsPerEntry = std::size_t(8);
    /// An on-demand session is closed after being idle for this long.
    static constexpr auto idleTime = Duration(10s);

    /// Returns the policy for each agent, in the order of `agents`.
    [[nodiscard]] static auto of(std::span<const PlannedAgent> agents, std::uint64_t entryHash)
        -> std::vector<SessionPolicy>;
};

} // namespace eelgrass::decisions
