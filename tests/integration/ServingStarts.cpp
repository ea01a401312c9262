#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

auto engineOf(serving::GatewayRole& gateway) -> serving::ReplicaPtr
{
    const auto& replicas = gateway.directory().replicasOf(serving::ServiceName("engine"));
    return replicas.empty() ? nullptr : replicas.front();
}

auto usable(ServingWorld& world, const serving::ReplicaPtr& replica) -> bool
{
    return replica && replica->usable(world.loop().timers().now());
}

} // namespace

// Callers are served by a replica that left and came back.
// 1. The replica says that it drains, and gets nothing new. 2. It starts again under the same name. 3. Remembered as
// leaving by its name, it got nothing for good.
BOOST_AUTO_TEST_CASE(a_replica_that_drained_and_started_again_is_served_again)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one" }).status == 200);
    world.store().put("servers", "engine-0", world.engine(0).entry("draining"));
    BOOST_REQUIRE(world.until([&] { return engineOf(gateway)->leaving(); }));
    world.engine(0).restart("engine-0");
    world.publishReplicas();
    auto count = 0;
    BOOST_TEST(world.until([&] { return world.ask({ .attempt = "again-" + std::to_string(count++) }).status == 200; }));
}

// Nothing that was known of the earlier start counts for the next one.
// 1. A replica has read a prompt, held an adapter and failed. 2. It starts again under its name: empty, and well. 3. It
// is another `Replica`, with another session beside it, and the entry knows nothing of it yet.
BOOST_AUTO_TEST_CASE(the_next_start_under_a_name_begins_unknown)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one" }).status == 200);
    const auto before = engineOf(gateway);
    BOOST_REQUIRE(world.until([&] { return before->warm(AdapterId("a1")); }));
    world.engine(0).restart("engine-0");
    world.publishReplicas();
    BOOST_REQUIRE(world.until([&] { return engineOf(gateway) != before; }));
    BOOST_TEST(before->leaving());
    BOOST_TEST(!engineOf(gateway)->warm(AdapterId("a1")));
    BOOST_TEST(!engineOf(gateway)->leaving());
}

// A late order of the earlier start does nothing to the next one: the replica lives.
// 1. An order to load gets no answer. 2. The replica starts again under the same name and is given its base model and
// an adapter. 3. The old order arrives; name and count of orders fit, but its token is lower than the one seen since.
BOOST_AUTO_TEST_CASE(a_late_order_of_the_earlier_start_is_void)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one", .adapter = "a1" }).status == 200);
    BOOST_TEST(world.ask({ .attempt = "two", .adapter = "a2" }).status == 200);
    // Two slots, both in use: the next order, of condition 2, unloads one.
    world.engine(0).behave({ .loseOrders = true });
    const auto lost = world.engine(0).orders().size();
    auto third = world.begin({ .attempt = "three", .adapter = "a3", .deadlineMs = 500 });
    BOOST_REQUIRE(world.until([&] { return world.engine(0).orders().size() > lost; }));
    (void)world.loop().wait(kj::mv(third));
    world.engine(0).restart("engine-0");
    world.engine(0).behave({});
    world.publishReplicas();
    auto count = 0;
    BOOST_REQUIRE(world.until(
        [&] { return world.ask({ .attempt = "again-" + std::to_string(count++), .adapter = "b1" }).status == 200; }));
    BOOST_TEST(world.engine(0).carryOutLost() == 0U);
    BOOST_TEST(!world.engine(0).crashed());
}

// Another writer's bytes stand in the list: in a row of their own and in a living replica's. They name no replica, the
// others are served, and the one whose row is readable again with its next heartbeat is served too.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_names_no_replica)
{
    auto world = ServingWorld(1, 1);
    auto& gateway = world.startGateway();
    auto number = 0;
    for (const auto* bytes : { "\xff\xfe{", "[]", "", R"({"service":"plain"})" })
        world.store().put("servers", "stranger-" + std::to_string(number++), bytes);
    world.store().put("servers", "engine-0", R"({"service":"engine","state":"ready","slots":-1})");
    BOOST_REQUIRE(world.until([&] { return !usable(world, engineOf(gateway)); }));
    BOOST_TEST(gateway.directory().all().size() == 2U);
    BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "plain" }).status == 200);
    world.publishReplicas();
    BOOST_TEST(world.until([&] { return usable(world, engineOf(gateway)); }));
    BOOST_TEST(world.ask({ .attempt = "back" }).status == 200);
}

// A late heartbeat of the earlier start does not bring that start back; a birth that stays does, though it is earlier:
// the host's time of day has jumped back.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_the_earlier_start_is_passed_over)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    const auto earlier = world.engine(0).entry();
    const auto first = engineOf(gateway);
    world.engine(0).restart("engine-0");
    world.publishReplicas();
    BOOST_REQUIRE(world.until([&] { return engineOf(gateway) != first; }));
    const auto current = engineOf(gateway);
    const auto readings = [&](const std::string& entry) {
        const auto listed = engineOf(gateway)->listedAt();
        world.store().put("servers", "engine-0", entry);
        return world.until([&] { return engineOf(gateway)->listedAt() > listed; });
    };
    BOOST_REQUIRE(readings(earlier));
    BOOST_TEST(engineOf(gateway) == current);
    BOOST_REQUIRE(readings(world.engine(0).entry()));
    BOOST_REQUIRE(readings(earlier));
    BOOST_REQUIRE(readings(earlier));
    BOOST_TEST(engineOf(gateway) == current);
    BOOST_REQUIRE(readings(earlier));
    BOOST_TEST(engineOf(gateway) != current);
}
