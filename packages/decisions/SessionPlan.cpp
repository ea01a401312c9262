#include "decisions/SessionPlan.h"

#include "decisions/FirstByRendezvous.h"

#include <map>

namespace eelgrass::decisions {

namespace {

// Key by which hubs are selected; the same at every entry, so that all entries choose the same hubs.
constexpr auto hubKey = std::uint64_t(0);

} // namespace

auto SessionPlan::of(std::span<const PlannedAgent> agents, std::uint64_t entryHash) -> std::vector<SessionPolicy>
{
    if (agents.size() <= fullMeshLimit)
        return std::vector(agents.size(), SessionPolicy::Hub);
    auto plan = std::vector(agents.size(), SessionPolicy::OnDemand);
    auto own = FirstByRendezvous<std::size_t>(entryHash, agentsPerEntry);
    auto hubs = std::map<AvailabilityZone, FirstByRendezvous<std::size_t>>();
    for (auto index = std::size_t(0); index < agents.size(); ++index) {
        own.offer(index, agents[index].hash);
        hubs.try_emplace(agents[index].zone, hubKey, hubsPerZone).first->second.offer(index, agents[index].hash);
    }
    for (const auto index : own.nodes())
        plan[index] = SessionPolicy::Persistent;
    for (const auto& [zone, first] : hubs) {
        for (const auto index : first.nodes())
            plan[index] = SessionPolicy::Hub;
    }
    return plan;
}

} // namespace eelgrass::decisions
