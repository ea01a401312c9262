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

// Guards against a restarted replica that never gets requests again. The replica drains and gets no new requests, then
// restarts under the same name. When entries remembered the name as leaving, the new start stayed unused.
BOOST_AUTO_TEST_CASE(restarted_replica_gets_requests_after_draining)
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

// Guards against applying the state of an earlier start to the next one. A replica that has read a prompt, held an
// adapter and failed restarts under its name, empty and healthy. It is represented by a new `Replica` with a new agent
// session and no known state.
BOOST_AUTO_TEST_CASE(restarted_replica_starts_without_known_state)
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

// Guards against a late order that crashes a restarted replica. An order to load gets no answer. The replica restarts
// under the same name and loads its base model and an adapter. Then the old order arrives: its name and order number
// match, but its token is lower than one seen since, so it is rejected.
BOOST_AUTO_TEST_CASE(late_order_to_an_earlier_start_is_rejected)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "one", .adapter = "a1" }).status == 200);
    BOOST_TEST(world.ask({ .attempt = "two", .adapter = "a2" }).status == 200);
    // Both slots are in use, so the next order unloads an adapter. Its precondition: the replica has accepted 2 orders.
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

// Another writer leaves unreadable bytes in the list, in rows of its own and in that of a running replica. The rows add
// no replica and the other replicas are used. The overwritten replica is used again once its next heartbeat restores
// the row.
BOOST_AUTO_TEST_CASE(unreadable_list_entry_gets_no_requests)
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

// A late heartbeat of an earlier start of a replica does not bring that start back. If an earlier start time persists
// over several heartbeats, it is accepted as a new start on a host whose clock has been set back.
BOOST_AUTO_TEST_CASE(late_heartbeat_of_an_earlier_start_is_ignored)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway();
    const auto earlier = world.engine(0).entry();
    const auto first = engineOf(gateway);
    world.engine(0).restart("engine-0");
    world.publishReplicas();
    BOOST_REQUIRE(world.until([&] { return engineOf(gateway) != first; }));
    const auto current = engineOf(gateway);
    const auto appliesEntry = [&](const std::string& entry) {
        const auto listed = engineOf(gateway)->listedAt();
        world.store().put("servers", "engine-0", entry);
        return world.until([&] { return engineOf(gateway)->listedAt() > listed; });
    };
    BOOST_REQUIRE(appliesEntry(earlier));
    BOOST_TEST(engineOf(gateway) == current);
    BOOST_REQUIRE(appliesEntry(world.engine(0).entry()));
    BOOST_REQUIRE(appliesEntry(earlier));
    BOOST_REQUIRE(appliesEntry(earlier));
    BOOST_TEST(engineOf(gateway) == current);
    BOOST_REQUIRE(appliesEntry(earlier));
    BOOST_TEST(engineOf(gateway) != current);
}
