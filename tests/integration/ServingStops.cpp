#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;

// The caller gets its whole answer, and knows that the connection ends with it.
// 1. A request runs. 2. Its entry is told to stop. 3. The answer comes whole and says that the connection closes; a
// request sent on it afterwards would be cut when the entry ends.
BOOST_AUTO_TEST_CASE(a_stop_cuts_no_answer_and_closes_behind_it)
{
    auto world = ServingWorld(0, 1);
    auto& gateway = world.startGateway();
    gateway.stop();
    BOOST_TEST(!gateway.ready());
    const auto answer = world.ask({ .path = "/once/x" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.fields.get("Connection") == "close");
}

// A caller that comes late to a stopping entry is turned away at once and tries another one.
// 1. No other entry of the zone is ready, so the platform goes on sending connections to the stopping one. 2. Taken, a
// long stream would be cut at the end of the time for a stop, seconds after it began. 3. So the entry stops listening.
BOOST_AUTO_TEST_CASE(a_stopping_entry_takes_no_late_connection)
{
    auto world = ServingWorld(1, 1);
    auto& gateway = world.startGateway();
    world.engine(0).behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto running = world.begin({ .path = "/whole/x" });
    BOOST_TEST(world.until([&] { return world.engine(0).runs().size() == 1; }));
    gateway.stop();
    auto count = 0;
    BOOST_TEST(world.until(
        [&] { return world.ask({ .path = "/once/x", .attempt = "late-" + std::to_string(count++) }).status == 0; }));
}
