// Placement and sessions with more agents than an entry holds persistent sessions with.
#include "decisions/SessionPlan.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using decisions::SessionPlan;
using eelgrass::tests::ServingWorld;

namespace {

constexpr auto engines = SessionPlan::fullMeshLimit + 8;
constexpr auto persistentInOneZone = SessionPlan::hubsPerZone + SessionPlan::agentsPerEntry;

auto openSessions(const serving::GatewayRole& gateway) -> std::size_t
{
    auto count = std::size_t(0);
    for (const auto& [instance, replica] : gateway.directory().all())
        count += replica->agent() && replica->agent()->alive() ? 1 : 0;
    return count;
}

/// Starts entries and waits until their persistent sessions are open.
struct Fleet {
    explicit Fleet(std::size_t entries)
    {
        for (auto index = std::size_t(0); index < entries; ++index) {
            auto& gateway = world.startGateway(false);
            BOOST_REQUIRE(
                world.until([&] { return gateway.ready() && openSessions(gateway) >= persistentInOneZone - 2; }));
        }
    }
    auto ask(const std::string& attempt, const std::string& adapter, std::size_t gateway) -> wire::HttpAnswer
    {
        return world.ask({ .attempt = attempt, .adapter = adapter, .gateway = gateway });
    }
    /// Index of the engine that ran the attempt, or `engines` if none did.
    auto engineOf(const std::string& attempt) -> std::size_t
    {
        for (auto index = std::size_t(0); index < engines; ++index) {
            for (const auto& run : world.engine(index).runs()) {
                if (run.attempt == attempt)
                    return index;
            }
        }
        return engines;
    }

    ServingWorld world { engines, 1 };
};

} // namespace

// Guards against a session with every agent, whose heartbeats and updates overload a small entry.
BOOST_AUTO_TEST_CASE(persistent_sessions_are_bounded)
{
    auto fleet = Fleet(1);
    BOOST_TEST(openSessions(fleet.world.gateway()) <= persistentInOneZone);
    for (auto request = 0; request < 20; ++request) {
        const auto name = std::to_string(request);
        BOOST_TEST(fleet.ask("attempt-" + name, "a" + name, 0).status == 200);
    }
    // At most one further session for each request, plus a margin for retries at another replica.
    BOOST_TEST(openSessions(fleet.world.gateway()) <= persistentInOneZone + 25);
}

// Guards against entries fetching the same adapter to different replicas.
BOOST_AUTO_TEST_CASE(entries_choose_the_same_replica_for_an_unloaded_adapter)
{
    auto fleet = Fleet(2);
    auto same = 0;
    constexpr auto adapters = 10;
    for (auto index = 0; index < adapters; ++index) {
        const auto name = std::to_string(index);
        BOOST_TEST(fleet.ask("first-" + name, "rare-" + name, 0).status == 200);
        BOOST_TEST(fleet.ask("second-" + name, "rare-" + name, 1).status == 200);
        same += fleet.engineOf("first-" + name) == fleet.engineOf("second-" + name) ? 1 : 0;
    }
    BOOST_TEST(same >= adapters - 1);
}

// Guards against losing a request when the agent that would admit it has stopped. The first request opens a session
// with an agent, which then stops, and a second request asks for the same adapter.
BOOST_AUTO_TEST_CASE(a_request_succeeds_when_its_agent_has_stopped)
{
    auto fleet = Fleet(1);
    BOOST_REQUIRE(fleet.ask("before", "rare", 0).status == 200);
    const auto engine = fleet.engineOf("before");
    BOOST_REQUIRE(engine < engines);
    fleet.world.stopAgent(engine);
    BOOST_TEST(fleet.ask("after", "rare", 0).status == 200);
    BOOST_TEST(fleet.engineOf("after") < engines);
}
