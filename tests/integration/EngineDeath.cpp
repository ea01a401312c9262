#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto longDraft(const std::string& prompt) -> Json
{
    return { { "model", "life" }, { "prompt", prompt }, { "max_tokens", 1500 } };
}

/// The target whose engine runs something now.
auto busyTarget(Deployment& deployment) -> std::string
{
    auto busy = std::string();
    await(deployment, [&] {
        for (const auto* name : { "t1", "t2" }) {
            if (startedAt(deployment, name).size() == 1)
                busy = name;
        }
        return !busy.empty();
    });
    return busy;
}

} // namespace

// The caller waits for a long draft and gets all of it, as one answer.
// The engine that generates it dies half way. Another engine goes on from the tokens that the caller has already.
// It is not spliced: the second part is generated from the same prompt and the first part, on the same adapter.
BOOST_AUTO_TEST_CASE(an_answer_goes_on_elsewhere_when_its_engine_dies)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto answer = deployment.callLater("e1", "/v1/completions", longDraft("draft").dump());
    const auto busy = busyTarget(deployment);
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.engine(busy).signal(SIGKILL);
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 1500));
    const auto other = busy == "t1" ? "t2" : "t1";
    BOOST_TEST(startedAt(deployment, other).size() == 1U);
}

// The caller of a draft that may run only once hears that it broke off, never a silent end.
// Its engine dies half way: nobody may run it again, so the caller gets an error that says what is known.
BOOST_AUTO_TEST_CASE(a_draft_that_runs_once_ends_with_an_error_when_its_engine_dies)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto body = longDraft("draft");
    body["stream"] = true;
    auto answer = deployment.callLater("e1", "/v1/completions", body.dump(), { { "X-Eelgrass-Repeat", "never" } });
    const auto busy = busyTarget(deployment);
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.engine(busy).signal(SIGKILL);
    const auto broken = deployment.loop.wait(kj::mv(answer));
    BOOST_TEST(broken.body.find("event: error") != std::string::npos);
    BOOST_TEST(broken.body.find("\"run\":\"partial\"") != std::string::npos);
    BOOST_TEST(broken.body.find("[DONE]") == std::string::npos);
    BOOST_TEST(startedAt(deployment, busy == "t1" ? "t2" : "t1").empty());
}

// The caller gets its answer from an engine that restarted unnoticed and lost its adapters.
// The slot table still believes in the adapter; the engine's new incarnation resets it, and the adapter is loaded
// again.
BOOST_AUTO_TEST_CASE(an_engine_that_restarted_unnoticed_gets_its_adapters_again)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    const auto ask = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };
    BOOST_TEST(textOf(deployment.complete("e1", ask)) == expected("life@2#bb", "p", 3));
    deployment.control(deployment.behindUrl("t1") + "/standin/control", { { "forget", true } });
    BOOST_TEST(textOf(deployment.complete("e1", ask)) == expected("life@2#bb", "p", 3));
}

// The caller waits for a long draft and gets all of it although the target process beside the engine is replaced.
// The engine runs on; the new process finds the stream by its attempt and reads on where the caller's answer stands.
BOOST_AUTO_TEST_CASE(a_restarted_target_process_carries_on_what_its_engine_runs)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto body = longDraft("draft");
    body["max_tokens"] = 3000;
    auto answer = deployment.callLater("e1", "/v1/completions", body.dump());
    await(deployment, [&] { return startedAt(deployment, "t1").size() == 1; });
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.restartTarget("t1");
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 3000));
    BOOST_TEST(startedAt(deployment, "t1").size() == 1U);
}

// Callers beside a request that crashes engines all get their answers; its own caller gets a final refusal.
// After the first crash everything that ran is a suspect and runs alone; the innocent finish, the culprit crashes a
// second engine and is quarantined. Sent again and again, it takes no third engine down.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_takes_two_at_most)
{
    auto deployment = Deployment();
    for (const auto* name : { "t1", "t2", "t3" })
        deployment.addEngineTarget(name);
    deployment.addEntry("e1");
    deployment.addEntry("e2");
    deployment.configure({ "e1", "e2" });
    auto innocent = std::vector<kj::Promise<wire::HttpResponse>>();
    for (const auto* prompt : { "a", "b", "c", "d", "e", "f" })
        innocent.push_back(deployment.callLater("e1", "/v1/completions", longDraft(prompt).dump()));
    await(deployment, [&] {
        return startedAt(deployment, "t1").size() + startedAt(deployment, "t2").size()
            + startedAt(deployment, "t3").size()
            == 6;
    });
    const auto culprit = Json { { "model", "life" }, { "prompt", "crash-the-engine" }, { "max_tokens", 5 } };
    const auto first = deployment.complete("e1", culprit);
    BOOST_TEST(first.status == 422);
    BOOST_TEST(errorOf(first)["type"] == "quarantined");
    auto index = std::size_t(0);
    for (const auto* prompt : { "a", "b", "c", "d", "e", "f" })
        BOOST_TEST(textOf(deployment.loop.wait(kj::mv(innocent[index++]))) == expected("life@2#bb", prompt, 1500));
    for (const auto* entry : { "e1", "e2", "e1", "e2" })
        BOOST_TEST(errorOf(deployment.complete(entry, culprit))["type"] == "quarantined");
    auto alive = 0;
    for (const auto* name : { "t1", "t2", "t3" })
        alive += deployment.engine(name).ended() ? 0 : 1;
    BOOST_TEST(alive == 1);
}
