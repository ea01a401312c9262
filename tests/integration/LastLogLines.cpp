// What a process has logged when it ends.
#include "tests/harness/AgentProcesses.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace eelgrass;
using namespace eelgrass::tests;

// Guards against the last lines of a process, which tell how it ended, being lost because the reader of its log is
// behind.
BOOST_AUTO_TEST_CASE(the_last_log_lines_reach_a_reader_that_is_behind)
{
    constexpr auto requests = 300;
    constexpr auto behind = 10ms;
    auto world = AgentProcesses(1, 0);
    world.agents[0]->pauseReading();
    for (auto count = 0; count < requests; ++count)
        (void)world.world.ask({ .attempt = "fill-" + std::to_string(count) });
    world.agents[0]->signal(SIGTERM);
    std::this_thread::sleep_for(behind);
    world.agents[0]->resumeReading();
    BOOST_TEST(world.agents[0]->wait() == 0);
    const auto log = world.agents[0]->output();
    BOOST_TEST(log.find("fill-" + std::to_string(requests - 1)) != std::string::npos);
    BOOST_TEST(log.find("\"message\": \"stopped\"") != std::string::npos);
}

// Guards against a process that does not end because nobody reads its log.
BOOST_AUTO_TEST_CASE(a_reader_that_has_stopped_hardly_delays_the_end)
{
    constexpr auto requests = 300;
    constexpr auto longest = Duration(1s);
    auto world = AgentProcesses(1, 0);
    world.agents[0]->pauseReading();
    for (auto count = 0; count < requests; ++count)
        (void)world.world.ask({ .attempt = "fill-" + std::to_string(count) });
    const auto stoppedAt = now();
    BOOST_TEST(world.stopAgent(0) == 0);
    BOOST_TEST((now() - stoppedAt < longest));
}
