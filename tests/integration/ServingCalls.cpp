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

BOOST_AUTO_TEST_CASE(plain_call_returns_the_replicas_body)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    const auto answer = world.ask({ .path = "/once/x?y=1" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.starts_with("body-of-plain-"));
    BOOST_TEST(runsInAll(world) == 1U);
}

BOOST_AUTO_TEST_CASE(request_without_a_route_gets_404)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    BOOST_TEST(world.ask({ .path = "/nowhere/x" }).status == 404);
    BOOST_TEST(runsInAll(world) == 0U);
}

// A full replica answers 503 and marks the request as not run, so even a request that must run only once may be sent to
// the other replica. The next test covers a 503 without the mark.
BOOST_AUTO_TEST_CASE(request_marked_not_run_is_retried_at_another_replica)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    world.plain(0).behave({ .status = 503, .notRun = true });
    for (auto count = 0; count < 4; ++count)
        BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "a" + std::to_string(count) }).status == 200);
    BOOST_TEST(world.plain(0).runs().empty());
    BOOST_TEST(world.plain(1).runs().size() == 4U);
}

// Guards against running a request twice. A replica runs a request that must run only once and answers 503 without the
// mark. If that status were forwarded, the client could send the request again.
BOOST_AUTO_TEST_CASE(unmarked_503_is_not_forwarded)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    behaveAll(world, { .status = 503 });
    BOOST_TEST(world.ask({ .path = "/once/x" }).status == 502);
    BOOST_TEST(runsInAll(world) == 1U);
}

// Guards against handing one member's answer to another. The replica sends an answer to a different request before the
// right one; the wrong answer names another attempt and is skipped.
BOOST_AUTO_TEST_CASE(answer_to_another_request_is_skipped)
{
    auto world = ServingWorld(0, 2);
    world.startGateway();
    behaveAll(world, { .strangerFirst = true });
    const auto answer = world.ask({ .path = "/once/x" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body.starts_with("body-of-plain-"));
}

// An idempotent call that fails at one replica is answered by another one. A replica's own failure is returned only
// when both replicas failed.
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

// Guards against an outage of the store keeping new gateways from serving. A gateway that starts while the store
// refuses it gets the configuration and the replicas from another entry, named in its settings.
BOOST_AUTO_TEST_CASE(gateway_started_during_a_store_outage_asks_its_peers)
{
    auto world = ServingWorld(0, 1);
    world.startGateway();
    world.store().refuseWith(503);
    auto& second = world.startGateway(false);
    BOOST_TEST(world.until([&] { return second.ready(); }));
}

// A newer configuration comes into force, and an older one is ignored afterwards.
BOOST_AUTO_TEST_CASE(older_configuration_is_ignored)
{
    auto world = ServingWorld(1, 2);
    world.startGateway();
    BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "one" }).status == 200);
    // The new configuration routes to a service that has no replica.
    world.configure(5, "nobody");
    BOOST_TEST(world.until([&] { return world.ask({ .path = "/once/x", .attempt = "two" }).status == 503; }));
    world.configure(4);
    world.store().forgetHistory();
    BOOST_TEST(world.ask({ .path = "/once/x", .attempt = "three" }).status == 503);
}
