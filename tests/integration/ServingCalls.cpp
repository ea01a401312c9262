#include "tests/harness/ServingWorld.h"

#include "platform/Names.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

auto runsInAll(ServingWorld& world) -> std::size_t
{
    return world.plain(0).runs().size() + world.plain(1).runs().size();
}

auto behaveAll(ServingWorld& world, const ReplicaStandin::Behaviour& behaviour) -> void
{
    world.plain(0).behave(behaviour);
    world.plain(1).behave(behaviour);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_plain_call_is_answered_with_the_replicas_own_bytes)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    const auto answer = world.ask({ .path = "/once/x?y=1" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.starts_with("body-of-plain-"));
    BOOST_TEST(runsInAll(world) == 1U);
}

BOOST_AUTO_TEST_CASE(what_no_route_takes_is_not_found)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    BOOST_TEST(world.ask({ .path = "/nowhere/x" }).status == 404);
    BOOST_TEST(runsInAll(world) == 0U);
}

// The caller gets its answer, though the first replica turned the request away.
// 1. A full replica answers 503 and marks the request as not run. 2. So even a request that must run once may go to the
// other one. 3. Without the mark it must not: see the next test.
BOOST_AUTO_TEST_CASE(a_request_that_was_not_run_goes_to_another_replica)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    world.plain(0).behave({ .status = 503, .notRun = true });
    for (auto count = 0; count < 4; ++count)
        BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "a" + std::to_string(count) }).status == 200);
    BOOST_TEST(world.plain(0).runs().empty());
    BOOST_TEST(world.plain(1).runs().size() == 4U);
}

// The caller sees a failure that promises nothing.
// 1. A replica runs a request that must run once and answers 503, without the mark. 2. Passed on, that status would
// tell the caller that it may send the request again, and it would run twice.
BOOST_AUTO_TEST_CASE(a_503_without_its_mark_is_not_passed_on)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    behaveAll(world, { .status = 503 });
    BOOST_TEST(world.ask({ .path = "/once/x" }).status == 502);
    BOOST_TEST(runsInAll(world) == 1U);
}

// The caller gets the answer to its own request.
// 1. A replica sends an extra answer, to somebody else's request, before the right one. 2. Taken for ours, it would
// hand one member's figures to another. 3. It names another attempt, so it is read past.
BOOST_AUTO_TEST_CASE(an_answer_to_another_request_is_read_past)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    behaveAll(world, { .strangerFirst = true });
    const auto answer = world.ask({ .path = "/once/x" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.starts_with("body-of-plain-"));
}

// An idempotent call that a replica fails is answered by another one; the replica's own failure is the last word only
// when both failed.
BOOST_AUTO_TEST_CASE(an_idempotent_call_is_tried_at_a_second_replica)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    world.plain(0).behave({ .status = 500 });
    BOOST_TEST(world.ask({ .path = "/safe/x", .method = "GET", .attempt = "one", .body = "" }).status == 200);
    behaveAll(world, { .status = 500 });
    const auto failed = world.ask({ .path = "/safe/x", .method = "GET", .attempt = "two", .body = "" });
    BOOST_TEST(failed.status == 500);
    BOOST_TEST(std::string(failed.fields.get(names::seal)).starts_with("seal-of-plain-"));
}

BOOST_AUTO_TEST_CASE(a_gateway_without_a_configuration_refuses_and_is_not_ready)
{
    auto world = ServingWorld(0, 1);
    world.store().refuseWith(503);
    auto& gateway = world.startGateway(false);
    const auto answer = world.ask({ .path = "/once/x" });
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!gateway.ready());
    world.store().refuseWith(0);
    BOOST_TEST(world.until([&] { return gateway.ready(); }));
}

// Callers of a gateway that starts while the store is away are served.
// 1. The store turns a host away. 2. A gateway starts there and knows nothing. 3. Another entry, named in its settings,
// tells it the configuration and the replicas.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_in_an_outage_asks_its_peers)
{
    auto world = ServingWorld(0, 1);
    world.startGateway();
    world.store().refuseWith(503);
    auto& second = world.startGateway(false);
    BOOST_TEST(world.until([&] { return second.ready(); }));
}

// A newer configuration is in force at once, and an older one never again.
BOOST_AUTO_TEST_CASE(a_configuration_only_rises)
{
    auto world = ServingWorld(1, 2);
    world.startGateway();
    BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "one" }).status == 200);
    // Moved to a service that has no replica.
    world.configure(5, "nobody");
    BOOST_TEST(world.until([&] { return world.ask({ .path = "/once/x", .attempt = "two" }).status == 503; }));
    world.configure(4);
    world.store().forgetHistory();
    BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "three" }).status == 503);
}
