#include "standins/EngineStandin.h"
#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto expected(const std::string& model, const std::string& prompt, std::size_t tokens) -> std::string
{
    auto text = std::string();
    for (auto index = std::size_t(0); index < tokens; ++index)
        text += standins::expectedToken(model, prompt, index);
    return text;
}

auto textOf(const wire::HttpResponse& answer) -> std::string
{
    BOOST_TEST_INFO(answer.body);
    BOOST_REQUIRE(answer.status == 200);
    return Json::parse(answer.body)["choices"][0]["text"];
}

auto awaitStarted(Deployment& deployment, const std::string& target, std::size_t count) -> void
{
    while (
        deployment.control(deployment.behindUrl(target) + "/standin/state", Json::object())["started"].size() < count)
        deployment.loop.wait(deployment.loop.sleep(5ms));
}

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
    awaitStarted(deployment, "t1", 1);
    deployment.fault("t1", Leg::Target, { { "half_open", true } });
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 1000));
    const auto state = deployment.control(deployment.behindUrl("t1") + "/standin/state", Json::object());
    BOOST_TEST(state["started"].size() == 1U);
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
