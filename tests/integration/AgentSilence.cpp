#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

constexpr auto pauses = { Duration(500ms), Duration(1200ms), Duration(2s) };

/// What the first gateway has been told of a replica by its agent.
auto stateOf(ServingWorld& world, std::size_t index) -> const serving::ReplicaSnapshot&
{
    const auto& replicas = world.gateway().directory().all();
    return replicas.at(serving::InstanceId(world.engine(index).instance()))->agent()->state();
}

auto identified(ServingWorld& world, std::size_t index) -> bool
{
    return stateOf(world, index).start.instance.str() == world.engine(index).instance();
}

auto holds(ServingWorld& world, std::size_t index, const std::string& adapter) -> bool
{
    return identified(world, index) && stateOf(world, index).resident.contains(AdapterId(adapter));
}

/// Pauses an engine; returns once it has gone on.
auto pauseOf(ServingWorld& world, std::size_t index, Duration length, const std::function<void()>& meanwhile) -> void
{
    world.engine(index).pauseFor(length);
    (void)world.until([&] {
        meanwhile();
        return !world.engine(index).paused();
    });
}

auto usable(ServingWorld& world, std::size_t index) -> std::function<bool()>
{
    return [&world, index] { return stateOf(world, index).usable; };
}

} // namespace

// Guards against an agent that forgets a replica which does nothing for a while: its name, its adapters, its orders.
BOOST_AUTO_TEST_CASE(replica_that_pauses_keeps_its_name_and_its_adapters)
{
    for (const auto pause : pauses) {
        auto world = ServingWorld(1, 0);
        world.startGateway();
        BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
        BOOST_REQUIRE(world.until([&] { return holds(world, 0, "a1"); }));
        auto forgotten = 0;
        pauseOf(world, 0, pause, [&] { forgotten += holds(world, 0, "a1") ? 0 : 1; });
        BOOST_TEST(world.until(usable(world, 0)));
        BOOST_TEST(forgotten == 0);
        BOOST_TEST(world.ask({ .attempt = "after" }).status == 200);
        BOOST_TEST(world.engine(0).orders().size() == 1U);
    }
}

// Guards against a replica that stays out of use after its pause until a health check names it: that check waits for a
// place in the batch of a busy replica.
BOOST_AUTO_TEST_CASE(replica_is_used_again_after_a_pause_without_a_health_check)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    world.engine(0).behave({ .unhealthy = true });
    pauseOf(world, 0, 2s, [] {});
    BOOST_TEST(world.until(usable(world, 0)));
    BOOST_TEST(world.ask({ .attempt = "after" }).status == 200);
}

// The same for a replica that names no time of birth.
BOOST_AUTO_TEST_CASE(replica_without_a_time_of_birth_is_used_again_after_a_pause)
{
    auto world = ServingWorld(1, 0);
    world.engine(0).hideBirth();
    world.publishReplicas();
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    // A report without a time of birth has been read by then.
    world.wait(600ms);
    world.engine(0).behave({ .unhealthy = true });
    auto forgotten = 0;
    pauseOf(world, 0, 2s, [&] { forgotten += holds(world, 0, "a1") ? 0 : 1; });
    BOOST_TEST(forgotten == 0);
    BOOST_TEST(world.until(usable(world, 0)));
    BOOST_TEST(world.ask({ .attempt = "after" }).status == 200);
}

// Guards against keeping the name of a replica in whose place another instance answers after a silence.
BOOST_AUTO_TEST_CASE(another_instance_after_a_silence_is_noticed_without_a_time_of_birth)
{
    auto world = ServingWorld(1, 0);
    world.engine(0).hideBirth();
    world.publishReplicas();
    world.startGateway();
    BOOST_REQUIRE(world.until([&] { return identified(world, 0); }));
    world.wait(600ms);
    world.engine(0).pauseFor(60s);
    BOOST_REQUIRE(world.until([&] { return !stateOf(world, 0).usable; }));
    world.wait(900ms);
    world.engine(0).restart("engine-0b");
    world.publishReplicas();
    const auto& replicas = world.gateway().directory().all();
    BOOST_TEST(world.until([&] {
        const auto found = replicas.find(serving::InstanceId("engine-0b"));
        return found != replicas.end() && found->second->agent()
            && found->second->agent()->state().start.instance.str() == "engine-0b";
    }));
}

// Guards against requests that are sent to a silent replica although another one is free.
BOOST_AUTO_TEST_CASE(requests_go_to_another_replica_while_one_is_silent)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    world.engine(0).pauseFor(2s);
    BOOST_REQUIRE(world.until([&] { return !stateOf(world, 0).usable; }));
    auto answered = 0;
    for (; world.engine(0).paused(); ++answered)
        BOOST_TEST(world.ask({ .attempt = "at-" + std::to_string(answered) }).status == 200);
    BOOST_TEST(answered > 0);
    BOOST_TEST(world.engine(0).runs().empty());
    BOOST_TEST(world.until(usable(world, 0)));
}

// Guards against requests that wait for their adapter at a silent replica until they are late.
BOOST_AUTO_TEST_CASE(requests_that_wait_at_a_silent_replica_go_elsewhere)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    world.engine(0).pauseFor(60s);
    auto waiting = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (const auto* adapter : { "a1", "a2", "a3", "a4" })
        waiting.push_back(world.begin({ .attempt = adapter, .adapter = adapter }));
    for (auto& answer : waiting)
        BOOST_TEST(world.loop().wait(kj::mv(answer)).status == 200);
    BOOST_TEST(world.engine(1).runs().size() == 4U);
}

// Guards against a load that is ordered twice because the replica paused before it answered the order.
BOOST_AUTO_TEST_CASE(order_that_a_pause_delays_is_not_repeated)
{
    for (const auto pause : pauses) {
        auto world = ServingWorld(1, 0);
        world.startGateway();
        world.engine(0).pauseFor(pause);
        auto early = world.begin({ .attempt = "early" });
        BOOST_REQUIRE(world.until([&] { return !world.engine(0).paused(); }));
        (void)world.loop().wait(kj::mv(early));
        BOOST_TEST(world.until([&] { return holds(world, 0, "a1"); }));
        BOOST_TEST(world.ask({ .attempt = "after" }).status == 200);
        BOOST_TEST(world.engine(0).orders().size() == 1U);
    }
}

// Guards against a refusal of requests whose only replicas all pause and go on in time.
BOOST_AUTO_TEST_CASE(request_that_arrives_while_all_replicas_are_silent_is_served_when_they_go_on)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    for (const auto* adapter : { "a1", "a2" })
        BOOST_TEST(world.ask({ .attempt = adapter, .adapter = adapter }).status == 200);
    for (const auto index : { 0U, 1U })
        world.engine(index).behave({ .unhealthy = true });
    for (const auto index : { 0U, 1U })
        world.engine(index).pauseFor(60s);
    BOOST_REQUIRE(world.until([&] { return !stateOf(world, 0).usable && !stateOf(world, 1).usable; }));
    for (const auto index : { 0U, 1U })
        world.engine(index).pauseFor(200ms);
    BOOST_TEST(world.ask({ .attempt = "meanwhile" }).status == 200);
}

// Guards against taking a replica for silent when the agent itself has not run: the answer waits to be read.
BOOST_AUTO_TEST_CASE(suspended_agent_does_not_take_its_replica_for_silent)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).pauseFor(500ms);
    // A report is asked for by now.
    world.wait(300ms);
    std::this_thread::sleep_for(1s);
    auto unusable = 0;
    for (auto count = 0; count < 50; ++count) {
        world.wait(5ms);
        unusable += stateOf(world, 0).usable ? 0 : 1;
    }
    BOOST_TEST(unusable == 0);
}

// Guards against keeping the adapters of a start that ended while the replica was silent.
BOOST_AUTO_TEST_CASE(replica_that_restarts_in_its_silence_is_empty)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "before" }).status == 200);
    world.engine(0).pauseFor(5s);
    BOOST_REQUIRE(world.until([&] { return !stateOf(world, 0).usable; }));
    world.engine(0).restart(world.engine(0).instance());
    world.publishReplicas();
    BOOST_TEST(world.until([&] { return world.ask({ .attempt = "again" }).status == 200; }));
    BOOST_TEST(!world.engine(0).crashed());
    BOOST_TEST(world.engine(0).runs().back().adapter == "a1");
}

// Guards against keeping what is known of a replica that never goes on, and of one whose host refuses connections.
BOOST_AUTO_TEST_CASE(replica_that_has_gone_dark_or_away_is_forgotten)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    BOOST_REQUIRE(world.until([&] { return identified(world, 0) && identified(world, 1); }));
    world.engine(0).pauseFor(60s);
    world.engine(1).server().close();
    BOOST_TEST(world.until([&] { return stateOf(world, 1).start.instance.empty(); }));
    BOOST_TEST(world.until([&] { return stateOf(world, 0).start.instance.empty(); }));
}

// Guards against blocking a request because a replica that broke its stream off then paused, as if it had crashed.
BOOST_AUTO_TEST_CASE(stream_that_broke_off_before_a_pause_is_not_taken_for_a_crash)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_REQUIRE(world.until([&] { return identified(world, 0); }));
    world.engine(0).behave({ .sent = 1, .then = standins::ReplicaStandin::Behaviour::Then::Reset });
    (void)world.receive({ .path = "/whole/x", .attempt = "broken" });
    pauseOf(world, 0, 2s, [] {});
    BOOST_REQUIRE(world.until(usable(world, 0)));
    world.wait(100ms);
    BOOST_TEST(stateOf(world, 0).crashes.empty());
}

// Guards against missing the crash of a replica whose host then answers nothing.
BOOST_AUTO_TEST_CASE(stream_that_broke_off_at_a_replica_that_went_dark_is_suspect)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_REQUIRE(world.until([&] { return identified(world, 0); }));
    world.engine(0).behave({ .sent = 1, .then = standins::ReplicaStandin::Behaviour::Then::Reset });
    (void)world.receive({ .path = "/whole/x", .attempt = "broken" });
    world.engine(0).pauseFor(60s);
    BOOST_TEST(world.until([&] { return !stateOf(world, 0).crashes.empty(); }));
}
