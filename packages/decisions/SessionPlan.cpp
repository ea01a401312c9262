#include "decisions/SessionPlan.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace eelgrass::decisions {

namespace {

// The same at every entry, so that all choose the same hubs.
constexpr auto hubKey = std::uint64_t(0);

using Indices = std::vector<std::size_t>;

/// The `count` agents with the highest rendezvous scores for a key.
auto highestScoring(std::span<const PlannedAgent> agents, Indices indices, std::uint64_t key, std::size_t count)
    -> Indices
{
    const auto size = std::min(count, indices.size());
    std::partial_sort(indices.begin(), indices.begin() + static_cast<std::ptrdiff_t>(size), indices.end(),
        [&](std::size_t left, std::size_t right) {
            return rendezvousScore(key, agents[left].hash) > rendezvousScore(key, agents[right].hash);
        });
    indices.resize(size);
    return indices;
}

} // namespace

auto SessionPlan::of(std::span<const PlannedAgent> agents, std::uint64_t entryHash) -> std::vector<SessionPolicy>
{
    if (agents.size() <= fullMeshLimit)
        return std::vector(agents.size(), SessionPolicy::Hub);
    auto plan = std::vector(agents.size(), SessionPolicy::OnDemand);
    auto all = Indices(agents.size());
    std::iota(all.begin(), all.end(), std::size_t(0));
    for (const auto index : highestScoring(agents, all, entryHash, agentsPerEntry))
        plan[index] = SessionPolicy::Persistent;
    auto zones = std::map<AvailabilityZone, Indices>();
    for (const auto index : all)
        zones[agents[index].zone].push_back(index);
    for (auto& [zone, indices] : zones) {
        for (const auto index : highestScoring(agents, std::move(indices), hubKey, hubsPerZone))
            plan[index] = SessionPolicy::Hub;
    }
    return plan;
}

} // namespace eelgrass::decisions
