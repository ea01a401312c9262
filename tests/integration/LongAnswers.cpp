#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

// The caller reads a draft that streams for longer than the target process bears silence on a session.
// The entry sends no heartbeats while chunks come, since they show that the target lives. The target process must take
// the acknowledgements of its chunks for signs of life too; else it drops the session in the middle of the answer, each
// few seconds anew, and every running answer of that entry must be resumed.
BOOST_AUTO_TEST_CASE(a_session_lasts_as_long_as_the_answer_that_flows_over_it)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1", { "--step_us=20000" });
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    const auto answer = deployment.complete(
        "e1", { { "model", "life" }, { "prompt", "draft" }, { "max_tokens", 400 }, { "stream", true } });
    BOOST_TEST(answer.body.ends_with("data: [DONE]\n\n"));
    const auto log = deployment.target("t1").log();
    const auto first = log.find("session opened");
    BOOST_REQUIRE(first != std::string::npos);
    BOOST_TEST(log.find("session opened", first + 1) == std::string::npos);
}
