#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

// An answer streams for longer than the idle time after which a target process drops a session. The entry sends no
// heartbeats while chunks arrive, since the chunks show that the target is alive. The target process must therefore
// count the acknowledgements of its chunks as activity. Otherwise it drops the session every few seconds, and all
// running answers of that entry have to be resumed.
BOOST_AUTO_TEST_CASE(a_session_stays_open_while_chunks_are_sent_on_it)
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
