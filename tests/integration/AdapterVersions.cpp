#include "standins/FaultProxy.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

constexpr auto requests = 20;

auto agentIsAway(serving::GatewayRole& gateway, const std::string& engine) -> bool
{
    const auto& all = gateway.directory().all();
    const auto& replica = all.at(serving::InstanceId(engine));
    return !replica->agent()->alive() && !replica->record().adapters.empty();
}

auto runsOn(const standins::ReplicaStandin& engine, std::uint64_t version) -> std::ptrdiff_t
{
    const auto& runs = engine.runs();
    return std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.version == version; });
}

/// A world in which one engine, `holder`, has a1 in version 1, its agent is gone, and the gateway knows of version 7.
struct AgentAway {
    explicit AgentAway(std::size_t engines)
        : world(engines, 0)
    {
        world.startGateway();
        BOOST_REQUIRE(
            world.until([&] { return world.ask({ .attempt = "first" + std::to_string(++asked) }).status == 200; }));
        holder = world.engine(0).heldVersion("a1") == 1 ? 0 : 1;
        world.publishReplicas();
        world.stopAgent(holder);
        BOOST_REQUIRE(world.until([&] { return agentIsAway(world.gateway(), "engine-" + std::to_string(holder)); }));
        world.nameVersion("a1", 7);
        BOOST_REQUIRE(world.until([&] { return world.allKnow("a1", 7); }));
        runsBefore = world.engine(holder).runs().size();
    }
    auto askAll() -> std::map<int, int>
    {
        auto statuses = std::map<int, int>();
        for (auto count = 0; count < requests; ++count)
            ++statuses[world.ask({ .attempt = "after" + std::to_string(++asked) }).status];
        return statuses;
    }

    ServingWorld world;
    std::size_t holder = 0;
    std::size_t runsBefore = 0;
    int asked = 0;
};

} // namespace

// Guards against runs on an older version at a replica that is reached without its agent.
BOOST_AUTO_TEST_CASE(no_request_runs_on_an_older_version_without_the_agent)
{
    auto away = AgentAway(1);
    const auto statuses = away.askAll();
    BOOST_TEST(away.world.engine(0).runs().size() == away.runsBefore);
    BOOST_TEST((statuses == std::map<int, int> { { 503, requests } }));
    away.world.startAgent(0);
    BOOST_TEST(away.world.until(
        [&] { return away.world.ask({ .attempt = "back" + std::to_string(++away.asked) }).status == 200; }));
    BOOST_TEST(away.world.engine(0).runs().back().version == 7U);
}

// Guards against a placement that takes a replica with an older version for one that holds the adapter.
BOOST_AUTO_TEST_CASE(requests_go_to_a_replica_that_can_load_the_named_version)
{
    auto away = AgentAway(2);
    const auto statuses = away.askAll();
    BOOST_TEST(away.world.engine(away.holder).runs().size() == away.runsBefore);
    BOOST_TEST((statuses == std::map<int, int> { { 200, requests } }));
    BOOST_TEST(runsOn(away.world.engine(1 - away.holder), 7) == requests);
}

// Guards against runs on an older version under a permit of another agent.
BOOST_AUTO_TEST_CASE(no_request_runs_on_an_older_version_by_permit)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    world.engine(0).announceLimit("50");
    world.engine(1).announceLimit("50");
    BOOST_REQUIRE(world.until([&] {
        for (const auto* path : { "/resumable/x", "/whole/x" })
            (void)world.ask({ .path = path, .attempt = path });
        return world.engine(0).heldVersion("a1") == 1 || world.engine(1).heldVersion("a1") == 1;
    }));
    const auto holder = std::size_t(world.engine(0).heldVersion("a1") == 1 ? 0 : 1);
    world.publishReplicas();
    world.stopAgent(holder);
    BOOST_REQUIRE(world.until([&] { return agentIsAway(world.gateway(), "engine-" + std::to_string(holder)); }));
    const auto permitted = world.ask({ .attempt = "permitted" });
    BOOST_TEST(permitted.status == 200);
    world.nameVersion("a1", 7);
    BOOST_REQUIRE(world.until([&] { return world.allKnow("a1", 7); }));
    const auto before = world.engine(holder).runs().size();
    for (auto count = 0; count < requests; ++count)
        (void)world.ask({ .attempt = "after" + std::to_string(count) });
    BOOST_TEST(world.engine(holder).runs().size() == before);
}

// Guards against a request that is sent on the version for which it asked, though a newer one was named while it
// waited.
BOOST_AUTO_TEST_CASE(request_granted_on_an_older_version_is_not_sent)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .loseOrders = true });
    auto waiting = world.begin({ .attempt = "waiting" });
    BOOST_REQUIRE(world.until([&] { return !world.engine(0).orders().empty(); }));
    world.nameVersion("a1", 7);
    BOOST_REQUIRE(world.until([&] { return world.allKnow("a1", 7); }));
    world.engine(0).behave({});
    world.engine(0).nameVersion("a1", 1);
    BOOST_REQUIRE(world.engine(0).carryOutLost() == 1U);
    BOOST_REQUIRE(world.engine(0).heldVersion("a1") == 1U);
    world.engine(0).nameVersion("a1", 7);
    BOOST_TEST(world.loop().wait(kj::mv(waiting)).status == 200);
    BOOST_TEST(runsOn(world.engine(0), 1) == 0);
    BOOST_TEST(runsOn(world.engine(0), 7) == 1);
}

// Guards against an order that waits at the replica for ever, because one entry goes on sending runs of the version
// before.
BOOST_AUTO_TEST_CASE(replacement_gets_its_turn_while_an_entry_goes_round_the_agent)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    BOOST_REQUIRE(world.ask({ .attempt = "first" }).status == 200);
    world.publishReplicas();
    world.engine(0).behave({ .runsFor = 150ms, .runsWhileReplacing = true });
    auto& roundabout = world.startGateway();
    auto over = false;
    auto count = 0;
    // This gateway takes the agent for silent before each of its requests.
    const auto again = [&](auto& self) -> kj::Promise<void> {
        if (over)
            return kj::READY_NOW;
        roundabout.directory().all().begin()->second->agent()->markUnresponsive();
        return world.begin({ .attempt = "round" + std::to_string(++count), .gateway = 1 })
            .then([&](auto&&) { return world.loop().sleep(10ms); })
            .then([&] { return self(self); });
    };
    auto series = std::vector<kj::Promise<void>>();
    for (auto number = 0; number < 3; ++number) {
        series.push_back(again(again).eagerlyEvaluate(nullptr));
        world.wait(50ms);
    }
    world.nameVersion("a1", 7);
    BOOST_REQUIRE(world.until([&] { return world.allKnow("a1", 7); }));
    auto usual = world.begin({ .attempt = "usual" });
    BOOST_TEST(world.until([&] { return world.engine(0).heldVersion("a1") == 7U; }));
    over = true;
    world.loop().wait(kj::mv(usual));
    for (auto& one : series)
        world.loop().wait(kj::mv(one));
}

// Guards against runs on an older version by an entry that hears of the newer one from an agent only.
BOOST_AUTO_TEST_CASE(entry_without_the_store_learns_of_a_version_from_an_agent)
{
    auto world = ServingWorld(1, 0);
    auto proxy = standins::FaultProxy(world.loop(), { .upstream = world.store().port() });
    world.startGateway();
    world.settings().host.store = { "127.0.0.1", proxy.port() };
    auto& behind = world.startGateway();
    BOOST_REQUIRE(world.ask({ .attempt = "first" }).status == 200);
    proxy.apply({ { "silent", "both" } });
    world.nameVersion("a1", 7);
    const auto known = [&](serving::GatewayRole& gateway) {
        return gateway.configuration().versions().of(serving::BaseModel("base"), AdapterId("a1")).version;
    };
    BOOST_REQUIRE(world.until([&] { return known(world.gateway(0)) == AdapterVersion(7); }));
    BOOST_TEST(world.ask({ .attempt = "newer" }).status == 200);
    BOOST_TEST((known(behind) == AdapterVersion(1)));
    BOOST_TEST(world.ask({ .attempt = "behind", .gateway = 1 }).status == 200);
    BOOST_TEST((known(behind) == AdapterVersion(7)));
    BOOST_TEST(world.engine(0).runs().back().version == 7U);
}

// Guards against an agent that, after its restart, has the replica load a version older than the newest.
BOOST_AUTO_TEST_CASE(restarted_agent_orders_no_older_version)
{
    auto world = ServingWorld(1, 0);
    auto proxy = standins::FaultProxy(world.loop(), { .upstream = world.store().port() });
    world.settings().host.store = { "127.0.0.1", proxy.port() };
    world.startGateway();
    proxy.apply({ { "silent", "both" } });
    world.nameVersion("a1", 7);
    world.stopAgent(0);
    world.startAgent(0);
    auto asked = 0;
    BOOST_TEST(world.until([&] { return world.ask({ .attempt = "at" + std::to_string(++asked) }).status == 200; }));
    BOOST_TEST(runsOn(world.engine(0), 1) == 0);
}

// Guards against a stream that goes on at another replica on the version before.
BOOST_AUTO_TEST_CASE(resumed_stream_runs_on_the_named_version)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    BOOST_REQUIRE(world.ask({ .attempt = "first" }).status == 200);
    auto holder = std::size_t(world.engine(0).runs().empty() ? 1 : 0);
    auto times = std::make_shared<int>(1);
    for (auto index = std::size_t(0); index < 2; ++index)
        world.engine(index).behave(
            { .sent = 2, .then = standins::ReplicaStandin::Behaviour::Then::Silence, .times = times });
    auto stream = world.begin({ .attempt = "resumed" });
    BOOST_REQUIRE(world.until([&] { return *times == 0; }));
    world.nameVersion("a1", 7);
    BOOST_REQUIRE(world.until([&] { return world.allKnow("a1", 7); }));
    BOOST_TEST(world.loop().wait(kj::mv(stream)).status == 200);
    auto versions = std::vector<std::uint64_t>();
    for (auto index : { holder, 1 - holder }) {
        for (const auto& run : world.engine(index).runs()) {
            if (run.attempt == "resumed")
                versions.push_back(run.version);
        }
    }
    BOOST_TEST(versions == std::vector<std::uint64_t>({ 1, 7 }), boost::test_tools::per_element());
}

// Guards against versions that are lost behind the first page of the store's table.
BOOST_AUTO_TEST_CASE(versions_beyond_the_first_page_are_known)
{
    auto world = ServingWorld(0, 0);
    constexpr auto rows = 1200;
    for (auto row = 0; row < rows; ++row)
        world.nameVersion("b" + std::to_string(row), 2);
    world.nameVersion("z9", 7);
    world.startGateway();
    BOOST_TEST(world.until([&] { return world.allKnow("z9", 7) && world.allKnow("b1199", 2); }));
}

// Guards against a version that is named while the store forgets its history, and against one that is named beside a
// row that cannot be read.
BOOST_AUTO_TEST_CASE(versions_beside_a_lost_history_and_an_unreadable_row_are_known)
{
    auto world = ServingWorld(0, 0);
    world.startGateway();
    for (auto version = std::uint64_t(2); version < 6; ++version) {
        world.nameVersion("a1", version);
        world.store().forgetHistory();
        world.store().put("op", "version/base.a0", "{");
        BOOST_TEST(world.until([&] { return world.allKnow("a1", version); }));
    }
}
