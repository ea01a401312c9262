#include "decisions/SessionPlan.h"
#include "decisions/Rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto agentsOf(std::size_t count, std::size_t zones) -> std::vector<PlannedAgent>
{
    auto agents = std::vector<PlannedAgent>();
    for (auto index = std::size_t(0); index < count; ++index)
        agents.push_back({ nameHash("10.0.0." + std::to_string(index) + ":7000"),
            AvailabilityZone("zone-" + std::to_string(index % zones)) });
    return agents;
}

auto planOf(const std::vector<PlannedAgent>& agents, std::size_t entry) -> std::vector<SessionPolicy>
{
    return SessionPlan::of(agents, nameHash("entry-" + std::to_string(entry)));
}

auto countPersistent(const std::vector<SessionPolicy>& plan) -> std::size_t
{
    return plan.size() - static_cast<std::size_t>(std::count(plan.begin(), plan.end(), SessionPolicy::OnDemand));
}

} // namespace

// Guards against a load of updates that grows with the number of agents.
BOOST_AUTO_TEST_CASE(persistent_sessions_do_not_grow_with_the_agents)
{
    constexpr auto zones = std::size_t(5);
    BOOST_TEST(countPersistent(planOf(agentsOf(100, zones), 0)) == 100U);
    for (const auto count : { 200U, 640U, 3000U })
        BOOST_TEST(countPersistent(planOf(agentsOf(count, zones), 0))
            <= zones * SessionPlan::hubsPerZone + SessionPlan::agentsPerEntry);
}

// Guards against miscounting entries and choosing several readers in one zone.
BOOST_AUTO_TEST_CASE(all_entries_choose_the_same_hubs_in_every_zone)
{
    constexpr auto zones = std::size_t(5);
    const auto agents = agentsOf(640, zones);
    const auto first = planOf(agents, 0);
    auto hubsPerZone = std::map<AvailabilityZone, std::size_t>();
    for (auto index = std::size_t(0); index < agents.size(); ++index)
        hubsPerZone[agents[index].zone] += first[index] == SessionPolicy::Hub ? 1 : 0;
    BOOST_TEST(hubsPerZone.size() == zones);
    for (const auto& [zone, hubs] : hubsPerZone)
        BOOST_TEST(hubs == SessionPlan::hubsPerZone);
    for (auto entry = std::size_t(1); entry < 50; ++entry) {
        const auto plan = planOf(agents, entry);
        for (auto index = std::size_t(0); index < agents.size(); ++index)
            BOOST_TEST((plan[index] == SessionPolicy::Hub) == (first[index] == SessionPolicy::Hub));
    }
}

// Guards against agents that receive no limits: after a power loss, the replicas of such agents load no base model.
BOOST_AUTO_TEST_CASE(nearly_every_agent_has_a_persistent_session)
{
    const auto agents = agentsOf(625, 5);
    auto entriesOf = std::vector<std::size_t>(agents.size());
    for (auto entry = std::size_t(0); entry < 357; ++entry) {
        const auto plan = planOf(agents, entry);
        for (auto index = std::size_t(0); index < agents.size(); ++index)
            entriesOf[index] += plan[index] == SessionPolicy::OnDemand ? 0 : 1;
    }
    BOOST_TEST(std::count(entriesOf.begin(), entriesOf.end(), 0U) < 25);
}

// Guards against reconnections across the whole fleet when one agent is lost.
BOOST_AUTO_TEST_CASE(losing_an_agent_moves_only_its_own_sessions)
{
    auto agents = agentsOf(640, 5);
    const auto before = planOf(agents, 7);
    const auto hub
        = static_cast<std::size_t>(std::find(before.begin(), before.end(), SessionPolicy::Hub) - before.begin());
    agents.erase(agents.begin() + static_cast<std::ptrdiff_t>(hub));
    const auto after = planOf(agents, 7);
    auto moved = 0;
    for (auto index = std::size_t(0); index < after.size(); ++index)
        moved += after[index] != before[index < hub ? index : index + 1] ? 1 : 0;
    BOOST_TEST(moved <= 2);
}
