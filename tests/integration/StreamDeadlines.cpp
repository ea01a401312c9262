// Streams that reach the end of their time.
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;

namespace {

struct Fixture {
    Fixture()
    {
        world.startGateway();
        world.engine(0).behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    }
    /// How long it takes until the stream is broken off.
    auto timeUntilBrokenOff(const ServingWorld::Request& request) -> Duration
    {
        const auto began = world.loop().timers().now();
        const auto answer = world.receive(request);
        BOOST_TEST(answer.status == 200);
        BOOST_TEST(answer.body == standins::streamEvents(1, 2));
        BOOST_TEST(!answer.whole);
        return world.loop().timers().now() - began;
    }

    ServingWorld world { 1, 0 };
};

} // namespace

// Guards against a stream that loses its end because it is broken off before its client's deadline.
BOOST_FIXTURE_TEST_CASE(a_stream_under_way_has_all_of_its_clients_time, Fixture)
{
    BOOST_TEST(bool(timeUntilBrokenOff({ .path = "/whole/x", .deadlineMs = 1000 }) >= Duration(1000ms)));
}

// The same where the route allows as much time as the client.
BOOST_FIXTURE_TEST_CASE(a_stream_under_way_has_all_of_its_routes_time, Fixture)
{
    BOOST_TEST(bool(timeUntilBrokenOff({ .path = "/resumable/x", .deadlineMs = 3000 }) >= Duration(3000ms)));
}
