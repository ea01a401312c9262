#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;

namespace {

auto queuedAtAgent(ServingWorld& world) -> std::size_t
{
    const auto& replicas = world.gateway().directory().replicasOf(serving::ServiceName("engine"));
    return replicas.empty() || !replicas.front()->agent() ? 0 : replicas.front()->agent()->state().queued;
}

/// More streams than the replica takes at a time, none of which ends; returns when some run and some wait at its agent.
auto openAdmissions(ServingWorld& world) -> std::vector<kj::Promise<wire::HttpAnswer>>
{
    constexpr auto streams = 14;
    world.engine(0).behave({ .sent = 1, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto open = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto count = 0; count < streams; ++count)
        open.push_back(world.begin({ .attempt = "attempt-" + std::to_string(count) }));
    BOOST_TEST(world.until([&] { return queuedAtAgent(world) > 0 && !world.engine(0).runs().empty(); }));
    return open;
}

} // namespace

// Guards against an agent's session that outlives the agent because one of its calls is open: it took itself off the
// lists of an agent that was gone, and the process was aborted.
BOOST_AUTO_TEST_CASE(agent_ends_while_a_request_waits_for_its_admission)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    const auto open = openAdmissions(world);
    world.stopAgent(0);
    world.wait(20ms);
}

// The same where the process ends before the session's calls have been cancelled.
BOOST_AUTO_TEST_CASE(process_ends_while_a_request_waits_for_its_admission)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    const auto open = openAdmissions(world);
}

// Guards against requests that are never destroyed because they and their connections hold each other: the event loop
// then ended with their events in its queue, which ended the process.
BOOST_AUTO_TEST_CASE(gateway_that_ends_closes_the_connections_of_open_requests)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    auto open = openAdmissions(world);
    world.stopGateway(0);
    for (auto& answer : open)
        BOOST_TEST(world.loop().wait(kj::mv(answer)).status == 0);
}
