#include "tests/harness/ServingWorld.h"

#include "platform/Names.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

auto orderAt(ServingWorld& world, std::size_t index) -> nlohmann::json
{
    return nlohmann::json::parse(world.engine(0).orders().at(index));
}

} // namespace

// More adapters than slots are asked for, one after the other: each is loaded, one makes room, and the replica, which
// crashes when it is ordered to hold one too many, lives.
BOOST_AUTO_TEST_CASE(a_replica_is_never_ordered_to_hold_too_much)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    for (auto count = 0; count < 6; ++count) {
        const auto name = std::to_string(count);
        BOOST_TEST(world.ask({ .attempt = "at-" + name, .adapter = "a" + name }).status == 200);
    }
    BOOST_TEST(!world.engine(0).crashed());
    BOOST_TEST(world.engine(0).runs().size() == 6U);
}

// Every order bears the fencing token and the count of orders before it. The token is the agent's number from the
// store, above the number of the replica's starts that it has seen end.
BOOST_AUTO_TEST_CASE(orders_carry_a_fence_and_a_condition)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    (void)world.ask({ .attempt = "one", .adapter = "a1" });
    (void)world.ask({ .attempt = "two", .adapter = "a2" });
    BOOST_TEST(orderAt(world, 0).at("fencingToken") == 1U << 16U);
    BOOST_TEST(orderAt(world, 1).at("fencingToken") == 1U << 16U);
    BOOST_TEST(orderAt(world, 0).at("precondition") == 0);
    BOOST_TEST(orderAt(world, 1).at("precondition") == 1);
}

// An agent that starts again raises its token, though the answer to its first write was lost after it took effect.
BOOST_AUTO_TEST_CASE(a_restarted_agent_has_a_higher_fence)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    (void)world.ask({ .attempt = "one", .adapter = "a1" });
    const auto before = world.store().value("epoch", world.engine(0).endpoint().str());
    world.stopAgent(0);
    world.store().loseNextWrite();
    world.startAgent(0);
    BOOST_TEST(world.until(
        [&] { return world.ask({ .attempt = "again" + std::to_string(rand()), .adapter = "a2" }).status == 200; }));
    BOOST_TEST(std::stoi(world.store().value("epoch", world.engine(0).endpoint().str())) > std::stoi(before));
}

// The caller waits a little longer, and the replica lives.
// 1. Orders get no answer; the replica carries them out seconds later. 2. The agent orders again, on the same
// condition.
// 3. Whichever comes first changes the count of orders, so that the other one is void: the adapter is loaded once.
BOOST_AUTO_TEST_CASE(a_late_order_does_not_fill_a_slot_twice)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .loseOrders = true });
    auto first = world.begin({ .attempt = "one", .adapter = "a1" });
    BOOST_TEST(world.until([&] { return world.engine(0).orders().size() >= 2; }));
    world.engine(0).behave({});
    BOOST_TEST(world.engine(0).carryOutLost() == 1U);
    BOOST_TEST(world.loop().wait(kj::mv(first)).status == 200);
    for (auto count = 0; count < 4; ++count)
        (void)world.ask({ .attempt = "at-" + std::to_string(count), .adapter = "b" + std::to_string(count) });
    BOOST_TEST(!world.engine(0).crashed());
}

// A replica that starts again is empty: it gets its base model, and requests run there anew.
BOOST_AUTO_TEST_CASE(a_restarted_replica_gets_its_base_model)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    (void)world.ask({ .attempt = "one" });
    world.store().remove("servers", "engine-0");
    world.engine(0).restart("engine-0b");
    world.publishReplicas();
    BOOST_TEST(world.until(
        [&] { return world.ask({ .attempt = "again" + std::to_string(rand()), .adapter = "a3" }).status == 200; }));
}

// Callers are served while the process beside a replica is away, from the adapters that the replica holds.
BOOST_AUTO_TEST_CASE(a_replica_serves_what_it_holds_without_its_agent)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one" }).status == 200);
    world.publishReplicas();
    world.stopAgent(0);
    BOOST_TEST(world.until([&] {
        const auto& replica = gateway.directory().replicasOf(serving::ServiceName("engine")).front();
        return !replica->agent()->alive() && !replica->record().adapters.empty();
    }));
    BOOST_TEST(world.ask({ .attempt = "two" }).status == 200);
    BOOST_TEST(world.ask({ .attempt = "three", .adapter = "unknown" }).status == 503);
}

// Requests that come after a newer version of their adapter was named run on it, and the order that brings it is given
// once while the replica works on it.
BOOST_AUTO_TEST_CASE(a_newer_version_is_loaded_before_requests_run)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one" }).status == 200);
    world.store().put("op", "version/base.a1", R"({"model":"base","adapter":"a1","version":7})");
    BOOST_TEST(world.until([&] {
        (void)world.ask({ .attempt = "at" + std::to_string(rand()) });
        return world.engine(0).runs().back().fields.get(hosting::names::expectVersion) == "7";
    }));
    BOOST_TEST(world.engine(0).orders().size() == 2U);
}

// The replica takes each request and breaks it off before the first event; its report looks well. Callers of the first
// gateway lose three requests. The second gateway, which sent none, hears that the replica rests and sends nothing.
BOOST_AUTO_TEST_CASE(a_replica_that_breaks_off_rests_for_every_gateway)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    auto& other = world.startGateway();
    BOOST_TEST(world.ask({ .path = "/whole/x", .attempt = "well" }).status == 200);
    world.engine(0).behave({ .sent = 0, .then = standins::ReplicaStandin::Behaviour::Then::Reset });
    for (auto count = 0; count < 3; ++count)
        (void)world.ask({ .path = "/whole/x", .attempt = "lost-" + std::to_string(count) });
    const auto& replicas = other.directory().replicasOf(serving::ServiceName("engine"));
    BOOST_TEST(world.until([&] { return !replicas.at(0)->agent()->state().usable; }));
    world.engine(0).behave({});
    BOOST_TEST(world.until([&] { return replicas.at(0)->agent()->state().usable; }));
}

// A replica started anew at its old address, and the list still names its last start. What is sent to that one comes
// back unrun, and each such send is paid from the retry budget.
BOOST_AUTO_TEST_CASE(the_last_start_of_a_replica_gets_nothing)
{
    auto world = ServingWorld(0, 1);
    auto& gateway = world.startGateway();
    world.plain(0).restart("plain-0-again");
    world.publishReplicas();
    const auto& replicas = gateway.directory().all();
    const auto listed = [&] { return replicas.size() == 2; };
    BOOST_REQUIRE(world.until(listed));
    const auto now = world.loop().timers().now();
    BOOST_TEST(!replicas.at(serving::InstanceId("plain-0"))->usable(now));
    BOOST_TEST(replicas.at(serving::InstanceId("plain-0-again"))->usable(now));
}

// Gateways of other zones hear less often of a replica, and hear of it all the same.
BOOST_AUTO_TEST_CASE(a_gateway_of_another_zone_is_told_of_changes)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway(true, "zone-2");
    BOOST_TEST(world.ask({ .attempt = "one", .adapter = "a7" }).status == 200);
    const auto& replicas = gateway.directory().replicasOf(serving::ServiceName("engine"));
    BOOST_TEST(world.until([&] { return replicas.at(0)->agent()->state().resident.contains(AdapterId("a7")); }));
}

// A replica starts anew and its health check answers, but does not say which instance it is. The agent asks again until
// it does, and lives: asking from within the answer to the last question ended the process.
BOOST_AUTO_TEST_CASE(a_replica_that_does_not_say_who_it_is_is_asked_again)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    world.engine(0).behave({ .unhealthy = true });
    world.engine(0).restart("engine-0b");
    world.publishReplicas();
    for (auto count = 0; count < 20; ++count)
        world.loop().wait(world.loop().sleep(30ms));
    BOOST_TEST(world.engine(0).orders().empty());
    world.engine(0).behave({});
    BOOST_TEST(world.until([&] {
        const auto& replicas = gateway.directory().replicasOf(serving::ServiceName("engine"));
        return std::any_of(replicas.begin(), replicas.end(), [](const serving::ReplicaPtr& replica) {
            return replica->id().str() == "engine-0b" && replica->agent()->state().usable;
        });
    }));
}
