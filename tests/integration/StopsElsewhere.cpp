// What is open at an agent, or asked of an entry, when it stops as planned. Agents are processes of their own and get
// a real SIGTERM.
#include "tests/harness/AgentProcesses.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

// Guards against a request that fails, or runs twice, because the agent at which it waits is stopped.
BOOST_AUTO_TEST_CASE(an_admission_that_waits_at_a_stopping_agent_is_sought_elsewhere)
{
    auto world = AgentProcesses(2, 0);
    for (auto index = std::size_t(0); index < world.engines; ++index)
        world.world.engine(index).behave({ .loseOrders = true });
    auto answer = world.world.begin({ .path = "/whole/x" });
    auto waitsAt = std::size_t(0);
    BOOST_REQUIRE(world.world.until([&] {
        waitsAt = world.world.engine(1).orders().empty() ? 0 : 1;
        return !world.world.engine(waitsAt).orders().empty();
    }));
    world.world.engine(1 - waitsAt).behave({});
    BOOST_TEST(world.stopAgent(waitsAt) == 0);
    BOOST_TEST(world.world.loop().wait(kj::mv(answer)).status == 200);
    BOOST_TEST(world.runsOfAll() == 1U);
}

// Guards against a stream that is broken off by the stop of its replica's agent, and against an agent that takes a
// place as free which its predecessor has granted.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_when_its_agent_stops_and_the_next_one_counts_it)
{
    auto world = AgentProcesses(1, 0);
    constexpr auto events = std::uint64_t(14);
    world.world.engine(0).behave({ .events = events, .sent = events, .eventGap = 150ms });
    auto answer = world.world.begin({ .path = "/whole/x" });
    BOOST_REQUIRE(world.world.until([&] { return world.runsOfAll() == 1; }));
    BOOST_TEST(world.stopAgent(0) == 0);
    world.startAgent(0);
    BOOST_TEST(world.attached(0));
    BOOST_TEST(world.linkTo(0).state().running == 1U);
    const auto whole = world.world.loop().wait(kj::mv(answer));
    BOOST_TEST(whole.status == 200);
    BOOST_TEST(whole.body == standins::streamEvents(1, events));
    BOOST_TEST(world.runsOfAll() == 1U);
}

// Guards against a platform that goes on sending connections to a stopping entry, and against one that cannot ask.
BOOST_AUTO_TEST_CASE(readiness_of_a_stopping_entry_is_answered_until_its_end)
{
    auto world = AgentProcesses(1, 0);
    constexpr auto events = std::uint64_t(10);
    world.world.engine(0).behave({ .events = events, .sent = events, .eventGap = 150ms });
    auto answer = world.world.begin({ .path = "/whole/x" });
    BOOST_REQUIRE(world.world.until([&] { return world.runsOfAll() == 1; }));
    auto kept = wire::HttpCaller(world.world.loop().timers(), "127.0.0.1", world.world.gateway().readinessPort());
    const auto ask = [&](wire::HttpCaller& caller) {
        return world.world.loop().wait(caller.call({ .method = "GET", .target = "/ready", .timeout = 1s })).status;
    };
    BOOST_TEST(ask(kept) == 200);
    world.world.gateway().stop();
    for (auto count = 0; count < 4; ++count) {
        auto fresh = wire::HttpCaller(world.world.loop().timers(), "127.0.0.1", world.world.gateway().readinessPort());
        BOOST_TEST(ask(kept) == 503);
        BOOST_TEST(ask(fresh) == 503);
        world.world.wait(200ms);
    }
    BOOST_TEST(world.world.loop().wait(kj::mv(answer)).status == 200);
}
