#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

const auto longDraft = Json { { "model", "life" }, { "prompt", "draft" }, { "max_tokens", 1000 } };

} // namespace

// The caller waits for a long draft and gets all of it, once.
// In the middle of it the connection between entry and target process goes silent for good while new ones work.
// The entry misses heartbeats, connects anew and resumes at the chunk that it lacks; nothing is run twice.
BOOST_AUTO_TEST_CASE(an_answer_goes_on_when_the_entrys_connection_goes_silent)
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

// The caller waits for a long draft and gets all of it, in order.
// Between target process and entry, chunks of the answer overtake one another.
// The entry puts them back in order by their numbers before the caller sees any.
BOOST_AUTO_TEST_CASE(chunks_that_overtake_one_another_reach_the_caller_in_order)
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
