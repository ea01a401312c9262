#include "tests/harness/ServingWorld.h"

#include "platform/Names.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::standins::streamEvents;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

auto runsInAll(ServingWorld& world) -> std::size_t
{
    return world.engine(0).runs().size() + world.engine(1).runs().size();
}

} // namespace

BOOST_AUTO_TEST_CASE(stream_is_complete_and_from_the_requested_adapter)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    const auto answer = world.ask({});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == streamEvents(1, 5));
    BOOST_TEST(runsInAll(world) == 1U);
    const auto& ran = world.engine(0).runs().empty() ? world.engine(1) : world.engine(0);
    BOOST_TEST(ran.runs().front().adapter == "a1");
    BOOST_TEST(ran.runs().front().body == "prompt");
    BOOST_TEST(std::string(answer.fields.get(names::seal)) == "seal-of-" + ran.instance());
}

// A replica sends three of five events and resets the connection. The stream is resumable, so the second replica is
// asked for the events after the third. The client gets every event exactly once.
BOOST_AUTO_TEST_CASE(resumable_stream_continues_at_another_replica)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    const auto once = std::make_shared<int>(1);
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({ .sent = 3, .then = ReplicaStandin::Behaviour::Then::Reset, .times = once });
    const auto whole = world.ask({});
    const auto first = world.engine(0).runs().front().from == 0 ? std::size_t(0) : std::size_t(1);
    BOOST_TEST(whole.status == 200);
    BOOST_TEST(whole.body == streamEvents(1, 5));
    BOOST_TEST(world.engine(1 - first).runs().front().from == 3U);
    BOOST_TEST(std::string(whole.fields.get(names::seal)) == "seal-of-" + world.engine(first).instance());
}

// Guards against an error response within a stream. The only replica sends three events and resets the connection, and
// no other replica can continue. A refusal written then would put a response head among the chunks of the stream and
// claim that the request had not run.
BOOST_AUTO_TEST_CASE(stream_without_another_replica_is_aborted)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .sent = 3, .then = ReplicaStandin::Behaviour::Then::Reset });
    const auto answer = world.ask({});
    BOOST_TEST(answer.status == 0);
    BOOST_TEST(world.engine(0).runs().size() == 1U);
}

// Guards against running a request twice. The replica resets the connection before the first event, so the request may
// have run. The route is not resumable, so the request must not be sent again, nor answered with a 503, which would
// promise that it has not run.
BOOST_AUTO_TEST_CASE(non_resumable_stream_is_not_retried)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({ .sent = 0, .then = ReplicaStandin::Behaviour::Then::Reset });
    const auto answer = world.ask({ .path = "/whole/x" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(runsInAll(world) == 1U);
}

// Guards against one request crashing replica after replica. Each run ends with a reset by the replica, and the client
// keeps sending the request. After three resets without a success in between, the request is not sent to replicas any
// more; other requests are.
BOOST_AUTO_TEST_CASE(request_is_blocked_after_three_breaks)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({ .sent = 0, .then = ReplicaStandin::Behaviour::Then::Reset });
    for (auto count = 0; count < 4; ++count)
        (void)world.ask({ .attempt = "again-" + std::to_string(count), .body = "poison" });
    BOOST_TEST(runsInAll(world) == 3U);
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({});
    BOOST_TEST(world.ask({ .attempt = "other", .body = "harmless" }).status == 200);
    BOOST_TEST(world.ask({ .attempt = "last", .body = "poison" }).status == 502);
}

// A replica aborts the run when the client disconnects in the middle of a stream.
BOOST_AUTO_TEST_CASE(client_disconnect_cancels_the_run)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto left = world.begin({});
    BOOST_TEST(world.until([&] { return world.engine(0).runs().size() == 1; }));
    world.leave();
    BOOST_TEST(world.until([&] { return world.engine(0).cancelled() == 1; }));
}

// Internal headers sent by a client do not reach the replica; those set by the gateway do.
BOOST_AUTO_TEST_CASE(client_cannot_set_internal_headers)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    auto request = ServingWorld::Request {};
    request.more.add("X-Eelgrassrouter-Hold", "h1");
    request.more.add("Kv-From", "10.0.0.1:1/x");
    request.more.add(names::expectInstance, "forged");
    request.more.add("X-Own", "kept");
    BOOST_TEST(world.ask(request).status == 200);
    const auto& fields = world.engine(0).runs().front().fields;
    BOOST_TEST(fields.count("X-Eelgrassrouter-Hold") == 0U);
    BOOST_TEST(fields.count("Kv-From") == 0U);
    BOOST_TEST(fields.get(names::expectInstance) == "engine-0");
    BOOST_TEST(fields.get("X-Own") == "kept");
    BOOST_TEST(wire::decimal(fields.get(names::deadline)).value_or(0) <= 4000U);
}
