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

// Guards against loading more adapters than the replica has slots, which crashes it. More adapters than slots are
// requested one after the other; each is loaded after another one has been unloaded.
BOOST_AUTO_TEST_CASE(replica_is_never_ordered_to_load_more_adapters_than_slots)
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

// Every order carries the fencing token and the number of orders before it. The token has the agent's number from the
// store in its upper bits, and the number of replica starts whose end the agent has seen in its lower bits.
BOOST_AUTO_TEST_CASE(orders_carry_fencing_token_and_precondition)
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

// A restarted agent gets a higher token even if the answer to its first write is lost after the write took effect.
BOOST_AUTO_TEST_CASE(restarted_agent_has_higher_fencing_token)
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

// Guards against a crash of the replica caused by a slot that is filled twice. Orders get no answer, and the replica
// carries them out seconds later. The agent repeats the order with the same precondition. Whichever of the two arrives
// first changes the number of accepted orders, so that the other has no effect: the adapter is loaded once, and the
// caller only waits a little longer.
BOOST_AUTO_TEST_CASE(delayed_order_does_not_fill_a_slot_twice)
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

// A restarted replica is empty. It gets its base model loaded, and requests run there again.
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

// While the agent of a replica is away, requests for the adapters that the replica holds are still served.
BOOST_AUTO_TEST_CASE(replica_serves_loaded_adapters_without_its_agent)
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

// Requests that arrive after a newer version of their adapter was announced run on that version. The order to load the
// new version is sent only once while the replica is carrying it out.
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

// The replica accepts each request and aborts it before the first event, while its report looks healthy. Callers of the
// first gateway lose three requests. The second gateway has sent none; it learns from the agent that the replica is
// paused, and sends nothing.
BOOST_AUTO_TEST_CASE(replica_that_breaks_off_is_paused_for_every_gateway)
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

// A replica has restarted at the same address, and the list still contains its earlier start. Guards against sending
// requests to the earlier start: they would be returned without having run, and each would use up part of the retry
// budget.
BOOST_AUTO_TEST_CASE(earlier_start_of_a_replica_receives_no_requests)
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

// Gateways in other zones receive updates on a replica too, though less often.
BOOST_AUTO_TEST_CASE(gateway_in_another_zone_receives_updates)
{
    auto world = ServingWorld(1, 0);
    auto& gateway = world.startGateway(true, "zone-2");
    BOOST_TEST(world.ask({ .attempt = "one", .adapter = "a7" }).status == 200);
    const auto& replicas = gateway.directory().replicasOf(serving::ServiceName("engine"));
    BOOST_TEST(world.until([&] { return replicas.at(0)->agent()->state().resident.contains(AdapterId("a7")); }));
}

// A replica restarts, and its health check answers without stating its instance. The agent repeats the check until an
// answer states the instance. Guards against a crash of the agent that occurred when it repeated the check from within
// the handler of the previous answer.
BOOST_AUTO_TEST_CASE(replica_that_does_not_state_its_instance_is_asked_again)
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

// Guards against one caller that stops an agent for all: the order for a name that is no text cannot be written.
BOOST_AUTO_TEST_CASE(adapter_name_that_is_no_text_is_refused_and_stops_nobody)
{
    const auto noText = std::string("a\xff\xfe");
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_TEST(world.ask({ .attempt = "bad", .adapter = noText }).status == 400);
    // Another gateway may let it pass.
    const auto& replicas = world.gateway().directory().all();
    auto& agent = *replicas.at(serving::InstanceId(world.engine(0).instance()))->agent();
    const auto result = world.loop().wait(agent.admit({ .attempt = AttemptId("worse"),
        .adapter = AdapterId(noText),
        .promptTokens = 10,
        .timeUntilLate = 1000ms,
        .timeUntilGiveUp = 2000ms }));
    BOOST_TEST(!result.granted);
    BOOST_TEST(world.ask({ .attempt = "good" }).status == 200);
}
