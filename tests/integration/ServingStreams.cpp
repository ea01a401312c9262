#include "tests/harness/ServingWorld.h"

#include "platform/Names.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

auto events(std::uint64_t from, std::uint64_t to) -> std::string
{
    auto text = std::string();
    for (auto event = from; event <= to; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + std::to_string(event) + "\n\n";
    return text;
}

auto runsInAll(ServingWorld& world) -> std::size_t
{
    return world.engine(0).runs().size() + world.engine(1).runs().size();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_stream_comes_whole_from_the_adapter_that_was_asked_for)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    const auto answer = world.ask({});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == events(1, 5));
    BOOST_TEST(runsInAll(world) == 1U);
    const auto& ran = world.engine(0).runs().empty() ? world.engine(1) : world.engine(0);
    BOOST_TEST(ran.runs().front().adapter == "a1");
    BOOST_TEST(ran.runs().front().body == "prompt");
    BOOST_TEST(std::string(answer.fields.get(names::seal)) == "seal-of-" + ran.instance());
}

// The caller sees one whole stream.
// 1. A replica sends three of five events and resets the connection. 2. The request may go on elsewhere, so the second
// replica is asked for what comes after the third event. 3. Its events follow, none twice, none missing.
BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_at_another_replica)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    const auto once = std::make_shared<int>(1);
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({ .sent = 3, .then = ReplicaStandin::Behaviour::Then::Reset, .times = once });
    const auto whole = world.ask({});
    const auto first = world.engine(0).runs().front().from == 0 ? std::size_t(0) : std::size_t(1);
    BOOST_TEST(whole.status == 200);
    BOOST_TEST(whole.body == events(1, 5));
    BOOST_TEST(world.engine(1 - first).runs().front().from == 3U);
    BOOST_TEST(std::string(whole.fields.get(names::seal)) == "seal-of-" + world.engine(first).instance());
}

// The caller sees a stream that visibly breaks off, and no second answer within it.
// 1. The only replica sends three events and resets. 2. No other replica can take the stream over. 3. Writing a refusal
// then would put an answer's head among the pieces of the first one, and would claim that nothing had run.
BOOST_AUTO_TEST_CASE(a_stream_that_nobody_can_take_over_breaks_off)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .sent = 3, .then = ReplicaStandin::Behaviour::Then::Reset });
    const auto answer = world.ask({});
    BOOST_TEST(answer.status == 0);
    BOOST_TEST(world.engine(0).runs().size() == 1U);
}

// The caller sees a failure, and its request has run once.
// 1. The replica resets the connection before the first event. 2. The route says that the stream cannot go on
// elsewhere, so it may have run and must not run again. 3. Saying 503 would promise that it has not.
BOOST_AUTO_TEST_CASE(a_stream_that_must_run_once_is_not_tried_again)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    for (auto index : { std::size_t(0), std::size_t(1) })
        world.engine(index).behave({ .sent = 0, .then = ReplicaStandin::Behaviour::Then::Reset });
    const auto answer = world.ask({ .path = "/whole/x" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(runsInAll(world) == 1U);
}

// The caller of a request that crashes whatever runs it gets a failure, and the replicas are left alone.
// 1. Each run of the request ends with its replica's reset. 2. The caller sends it again and again. 3. After three runs
// that broke off with no success between them it is not sent any more; other requests are.
BOOST_AUTO_TEST_CASE(a_request_that_breaks_off_everywhere_is_not_sent_for_ever)
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

// The replica stops its work when the caller leaves in the middle of a stream.
BOOST_AUTO_TEST_CASE(a_caller_that_leaves_ends_the_run)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto left = world.begin({});
    BOOST_TEST(world.until([&] { return world.engine(0).runs().size() == 1; }));
    world.leave();
    BOOST_TEST(world.until([&] { return world.engine(0).cancelled() == 1; }));
}

// Headers with which a client could steer replicas do not get through; the system's own do.
BOOST_AUTO_TEST_CASE(a_client_cannot_steer_a_replica)
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
