#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

const auto longDraft = Json { { "model", "life" }, { "prompt", "draft" }, { "max_tokens", 1000 } };

} // namespace

// In the middle of a long answer, the connection between entry and target process goes silent for good, while new
// connections work. The entry must notice the missing heartbeats, reconnect and resume at the first missing chunk. The
// caller must get the whole answer, and the request must run only once.
BOOST_AUTO_TEST_CASE(an_answer_continues_after_the_connection_to_its_target_goes_silent)
{
    auto deployment = Deployment({ Leg::Target });
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto answer = deployment.callLater("e1", "/v1/completions", longDraft.dump());
    await(deployment, [&] { return startedAt(deployment, "t1").size() == 1; });
    deployment.fault("t1", Leg::Target, { { "half_open", true } });
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 1000));
    BOOST_TEST(startedAt(deployment, "t1").size() == 1U);
}

// Chunks of a long answer arrive at the entry out of order. The entry must restore the order by their numbers before it
// writes them to the caller.
BOOST_AUTO_TEST_CASE(reordered_chunks_reach_the_caller_in_order)
{
    auto deployment = Deployment({ Leg::Target });
    deployment.addEngineTarget("t1");
    deployment.fault("t1", Leg::Target, { { "reorder", true } });
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    const auto answer = deployment.complete("e1", longDraft);
    BOOST_TEST(textOf(answer) == expected("life@2#bb", "draft", 1000));
    BOOST_TEST(deployment.fault("t1", Leg::Target, Json::object())["swapped"].get<int>() > 0);
}
