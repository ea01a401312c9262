// Sessions between gateways and agents whose connections go silent without an end, while new ones work.
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

using Behaviour = standins::ReplicaStandin::Behaviour;

/// One engine, whose agent gateways reach through a proxy.
struct ProxiedWorld : ServingWorld {
    ProxiedWorld()
        : ServingWorld(1, 0)
        , proxy(startProxiedAgent(0))
    {
        startGateway();
    }
    auto agentOf(std::size_t gatewayIndex) -> const serving::AgentLink&
    {
        const auto& replicas = gateway(gatewayIndex).directory().all();
        return *replicas.at(serving::InstanceId(engine(0).instance()))->agent();
    }
    /// Connections that are open now carry nothing any more.
    auto silence() -> void { proxy.apply({ { "half_open", true } }); }

    standins::FaultProxy& proxy;
};

} // namespace

// Guards against a gateway that never opens another session once one has gone silent, and refuses all that needs it.
BOOST_AUTO_TEST_CASE(gateway_opens_another_session_when_one_has_gone_silent)
{
    auto world = ProxiedWorld();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    world.silence();
    BOOST_REQUIRE(world.until([&] { return !world.agentOf(0).alive(); }));
    BOOST_TEST(world.until([&] { return world.agentOf(0).alive(); }));
    BOOST_TEST(world.ask({ .attempt = "after", .adapter = "a2" }).status == 200);
}

// Guards against an agent that admits nobody any more, as what it granted to a vanished gateway never ends.
BOOST_AUTO_TEST_CASE(agent_releases_what_a_vanished_gateway_was_granted)
{
    auto world = ProxiedWorld();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    world.engine(0).behave({ .sent = 0, .then = Behaviour::Then::Silence });
    auto lost = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto index = 0; index < 6; ++index) {
        lost.push_back(world.begin({ .path = "/whole/x",
            .attempt = "lost-" + std::to_string(index),
            .body = std::to_string(index),
            .tokenCount = "12000,20" }));
    }
    BOOST_REQUIRE(world.until([&] { return world.engine(0).runs().size() >= 2U; }));
    world.silence();
    world.stopGateway(0);
    lost.clear();
    world.leave();
    world.engine(0).behave({});
    world.startGateway(false);
    BOOST_REQUIRE(world.until([&] { return world.gateway().ready() && world.agentOf(0).alive(); }));
    BOOST_REQUIRE(world.until([&] { return world.agentOf(0).state().entries == 1U; }));
    BOOST_TEST(
        world.ask({ .path = "/whole/x", .attempt = "after", .tokenCount = "12000,20", .gateway = 0 }).status == 200);
}

// Guards against a replica that gets more than it holds: what runs when a session is opened anew still counts once the
// agent has noticed the end of the one before.
BOOST_AUTO_TEST_CASE(run_that_outlasts_its_session_is_counted_in_the_next_one)
{
    auto world = ProxiedWorld();
    auto configuration = nlohmann::json::parse(tests::servingConfiguration(2));
    for (auto& route : configuration["routes"])
        route["timeoutMs"] = 9000;
    world.store().put("op", "config", configuration.dump());
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    BOOST_REQUIRE(world.until([&] { return world.ask({ .path = "/v2/x" }).status != 404; }));
    world.engine(0).behave({ .events = 8, .sent = 8, .eventGap = 600ms });
    auto running = world.begin({ .path = "/whole/x", .attempt = "running", .deadlineMs = 8000 });
    BOOST_REQUIRE(world.until([&] { return world.agentOf(0).state().running == 1U; }));
    world.silence();
    BOOST_REQUIRE(world.until([&] { return world.proxy.accepted() == 2U; }));
    BOOST_REQUIRE(world.until([&] { return world.agentOf(0).alive() && world.agentOf(0).state().entries == 1U; }));
    BOOST_TEST(world.agentOf(0).state().running == 1U);
    BOOST_TEST(world.loop().wait(kj::mv(running)).status == 200);
    BOOST_TEST(world.until([&] { return world.agentOf(0).state().running == 0U; }));
}

// Guards against sessions that end, with all that waits in them, because a process or its host stood still for a
// moment.
BOOST_AUTO_TEST_CASE(session_outlasts_a_pause)
{
    auto world = ProxiedWorld();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    world.proxy.apply({ { "freeze", true } });
    world.wait(1200ms);
    world.proxy.apply({ { "freeze", false } });
    BOOST_REQUIRE(world.until([&] { return world.agentOf(0).alive(); }));
    world.wait(1s);
    BOOST_TEST(world.proxy.accepted() == 1U);
    BOOST_TEST(world.ask({ .attempt = "after", .adapter = "a2" }).status == 200);
}
