// What agents have counted when all of them are restarted as planned.
#include "tests/harness/AgentProcesses.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto arrivedAt(const standins::ReplicaStandin& replica, const std::string& attempt) -> bool
{
    const auto& arrivals = replica.arrivals();
    return std::any_of(
        arrivals.begin(), arrivals.end(), [&](const auto& arrival) { return arrival.attempt == attempt; });
}

/// Asks until a request has failed at the first plain replica; whether it was sent to the other one.
auto repeatsFailedRequest(ServingWorld& world, const std::string& prefix) -> bool
{
    constexpr auto mostRequests = 40;
    for (auto count = 0; count < mostRequests; ++count) {
        const auto attempt = prefix + std::to_string(count);
        (void)world.ask({ .path = "/safe/x", .attempt = attempt });
        if (arrivedAt(world.plain(0), attempt))
            return arrivedAt(world.plain(1), attempt);
        world.wait(20ms);
    }
    BOOST_ERROR("no request was sent to the first replica");
    return false;
}

} // namespace

// Guards against requests that fail after a planned stop of the agents although nearly all of the retry budget is left:
// what the agents had granted by then goes on counting, but not more than that.
BOOST_AUTO_TEST_CASE(failed_requests_are_repeated_after_a_planned_restart_of_the_agents)
{
    auto world = AgentProcesses(1, 2);
    world.world.plain(0).behave({ .status = 500 });
    BOOST_TEST(repeatsFailedRequest(world.world, "before-"));
    BOOST_TEST(world.stopAgent(0) == 0);
    world.startAgent(0);
    BOOST_REQUIRE(world.attached(0));
    BOOST_TEST(repeatsFailedRequest(world.world, "after-"));
}
