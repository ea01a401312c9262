// Replicas that say in their answers that they leave.
#include "platform/Names.h"
#include "tests/harness/AvailabilityRules.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;

namespace {

struct Leaving {
    Leaving(std::size_t engines, std::size_t plain, std::size_t gateways)
        : world(engines, plain)
    {
        for (auto count = std::size_t(0); count < gateways; ++count)
            world.startGateway();
    }
    auto ask(const std::string& path, std::size_t gateway = 0) -> wire::HttpAnswer
    {
        const auto number = ++sent;
        return world.ask({ .path = path,
            .attempt = "attempt-" + std::to_string(number),
            .adapter = "a" + std::to_string(number % 4),
            .gateway = gateway });
    }
    auto known(std::size_t gateway, const ReplicaStandin& replica) -> serving::ReplicaPtr
    {
        const auto& all = world.gateway(gateway).directory().all();
        const auto found = all.find(serving::InstanceId(replica.instance()));
        return found == all.end() ? nullptr : found->second;
    }
    auto knowsLeaving(std::size_t gateway, const ReplicaStandin& replica) -> bool
    {
        const auto found = known(gateway, replica);
        return found && found->leaving();
    }
    /// The replica says that it leaves, and the gateway passes on an answer that says so.
    auto hear(ReplicaStandin& replica, const std::string& path, std::size_t gateway = 0) -> void
    {
        replica.announceLeaving();
        BOOST_REQUIRE(world.until([&] {
            (void)ask(path, gateway);
            return knowsLeaving(gateway, replica);
        }));
    }
    /// How many requests the replica gets while others are asked.
    auto arrivalsWhileAsking(ReplicaStandin& replica, const std::string& path, std::size_t gateway = 0) -> std::size_t
    {
        constexpr auto requests = 12;
        const auto before = replica.arrivals().size();
        for (auto count = 0; count < requests; ++count)
            BOOST_TEST(ask(path, gateway).status == 200);
        return replica.arrivals().size() - before;
    }

    ServingWorld world;
    std::size_t sent = 0;
};

} // namespace

// Guards against requests that are sent to a replica after it has said that it leaves, and are lost when it is gone.
BOOST_AUTO_TEST_CASE(replica_that_said_it_leaves_gets_no_request_whatever_the_list_shows)
{
    for (const auto* path : { "/resumable/x", "/whole/x", "/safe/x", "/once/x" }) {
        auto leaving = Leaving(2, 2, 1);
        auto& replica = path[1] == 'r' || path[1] == 'w' ? leaving.world.engine(0) : leaving.world.plain(0);
        leaving.hear(replica, path);
        BOOST_TEST(leaving.arrivalsWhileAsking(replica, path) == 0U);
        const auto reads = leaving.world.gateway().directory().storeReads();
        leaving.world.publishReplicas();
        BOOST_REQUIRE(
            leaving.world.until([&] { return leaving.world.gateway().directory().storeReads() >= reads + 2; }));
        BOOST_TEST(leaving.arrivalsWhileAsking(replica, path) == 0U);
    }
}

// Guards against an answer that counts only if it is a success, or only when it is complete.
BOOST_AUTO_TEST_CASE(answers_of_any_status_and_the_beginning_of_a_stream_count)
{
    static constexpr auto statuses = std::array { 421, 500, 503 };
    auto leaving = Leaving(2, statuses.size(), 1);
    for (auto index = std::size_t(0); index < statuses.size(); ++index) {
        auto& replica = leaving.world.plain(index);
        replica.behave({ .status = statuses.at(index), .notRun = statuses.at(index) != 500 });
        leaving.hear(replica, "/safe/x");
    }
    auto& engine = leaving.world.engine(0);
    engine.behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    engine.announceLeaving();
    auto streams = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto count = 0; count < 4; ++count) {
        streams.push_back(leaving.world.begin({ .path = "/whole/x",
            .attempt = "stream-" + std::to_string(count),
            .adapter = "a" + std::to_string(count) }));
    }
    BOOST_TEST(leaving.world.until([&] { return leaving.knowsLeaving(0, engine); }));
    BOOST_TEST(engine.cancelled() == 0U);
    streams.clear();
    leaving.world.leave();
    leaving.world.wait(20ms);
}

// Guards against a new start, under the same name, that inherits the leaving of the one before.
BOOST_AUTO_TEST_CASE(a_new_start_under_the_same_name_does_not_leave)
{
    auto leaving = Leaving(1, 0, 1);
    auto& engine = leaving.world.engine(0);
    leaving.hear(engine, "/resumable/x");
    engine.restart("engine-0");
    leaving.world.publishReplicas();
    BOOST_TEST(leaving.world.until([&] { return leaving.ask("/resumable/x").status == 200; }));
}

// Guards against a replica whose registration lapses, and which is used again when the same start is listed anew.
BOOST_AUTO_TEST_CASE(what_a_replica_said_holds_when_it_is_listed_again)
{
    auto leaving = Leaving(0, 3, 1);
    auto& left = leaving.world.plain(0);
    auto& resting = leaving.world.plain(1);
    leaving.hear(left, "/safe/x");
    resting.askForRest("60");
    BOOST_REQUIRE(leaving.world.until([&] {
        (void)leaving.ask("/safe/x");
        return leaving.known(0, resting)->rest().end().has_value();
    }));
    resting.askForRest({});
    leaving.world.store().remove("servers", left.instance());
    leaving.world.store().remove("servers", resting.instance());
    BOOST_REQUIRE(leaving.world.until([&] { return !leaving.known(0, left) && !leaving.known(0, resting); }));
    leaving.world.publishReplicas();
    BOOST_REQUIRE(leaving.world.until([&] { return leaving.known(0, left) && leaving.known(0, resting); }));
    BOOST_TEST(leaving.arrivalsWhileAsking(left, "/safe/x") == 0U);
    BOOST_TEST(leaving.arrivalsWhileAsking(resting, "/safe/x") == 0U);
}

// Guards against a replica that only the list showed as leaving, and that stays unused when it is listed as ready anew:
// without a time of birth its next start cannot be told from the one before.
BOOST_AUTO_TEST_CASE(what_only_the_list_said_ends_with_its_entry)
{
    auto leaving = Leaving(0, 2, 1);
    auto& replica = leaving.world.plain(0);
    leaving.world.store().put("servers", replica.instance(), replica.entry("draining"));
    BOOST_REQUIRE(leaving.world.until([&] { return leaving.knowsLeaving(0, replica); }));
    leaving.world.store().remove("servers", replica.instance());
    BOOST_REQUIRE(leaving.world.until([&] { return !leaving.known(0, replica); }));
    leaving.world.publishReplicas();
    BOOST_REQUIRE(leaving.world.until([&] { return leaving.known(0, replica) != nullptr; }));
    BOOST_TEST(!leaving.known(0, replica)->leaving());
}

// Guards against an entry that forgets it, or does not learn of it, because the store does not answer.
BOOST_AUTO_TEST_CASE(it_holds_without_the_store)
{
    auto leaving = Leaving(2, 2, 1);
    leaving.world.store().refuseWith(503);
    BOOST_REQUIRE(
        leaving.world.until([&] { return leaving.world.gateway().directory().storeLostSince().has_value(); }));
    leaving.hear(leaving.world.plain(0), "/safe/x");
    leaving.hear(leaving.world.engine(0), "/resumable/x");
    leaving.world.store().refuseWith(0);
    BOOST_REQUIRE(
        leaving.world.until([&] { return !leaving.world.gateway().directory().storeLostSince().has_value(); }));
    BOOST_TEST(leaving.arrivalsWhileAsking(leaving.world.plain(0), "/safe/x") == 0U);
    BOOST_TEST(leaving.arrivalsWhileAsking(leaving.world.engine(0), "/resumable/x") == 0U);
}

// Guards against entries that go on until they read it in the list: the replica's agent tells all of them.
BOOST_AUTO_TEST_CASE(the_agent_tells_entries_that_have_heard_nothing)
{
    auto leaving = Leaving(2, 0, 3);
    leaving.world.engine(0).announceLeaving();
    BOOST_TEST(leaving.world.until([&] {
        auto all = true;
        for (auto gateway = std::size_t(0); gateway < 3; ++gateway)
            all = all && leaving.knowsLeaving(gateway, leaving.world.engine(0));
        return all;
    }));
    BOOST_TEST(leaving.arrivalsWhileAsking(leaving.world.engine(0), "/resumable/x", 2) == 0U);
}

// Guards against requests that wait at the agent of a replica that leaves until their time is up.
BOOST_AUTO_TEST_CASE(requests_that_wait_at_its_agent_go_elsewhere_at_once)
{
    auto leaving = Leaving(1, 0, 1);
    auto& engine = leaving.world.engine(0);
    engine.behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
    constexpr auto batch = std::size_t(8);
    for (auto count = std::size_t(0); count < batch; ++count)
        running.push_back(leaving.world.begin({ .path = "/whole/x", .attempt = "running-" + std::to_string(count) }));
    BOOST_REQUIRE(leaving.world.until([&] { return engine.runs().size() == batch; }));
    auto waiting = leaving.world.begin({ .path = "/whole/x", .attempt = "waiting" });
    const auto replica = leaving.known(0, engine);
    BOOST_REQUIRE(leaving.world.until([&] { return replica->agent()->state().queued >= 1; }));
    engine.announceLeaving();
    BOOST_TEST(leaving.world.loop().wait(kj::mv(waiting)).status == 503);
    BOOST_TEST(engine.arrivals().size() == batch);
    running.clear();
    leaving.world.leave();
    leaving.world.wait(20ms);
}
