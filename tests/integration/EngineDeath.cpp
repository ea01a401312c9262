#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto longDraft(const std::string& prompt) -> Json
{
    return { { "model", "life" }, { "prompt", prompt }, { "max_tokens", 1500 } };
}

/// Waits for an engine to run an attempt, and returns the name of its target.
auto runningTarget(Deployment& deployment) -> std::string
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

// An engine dies in the middle of a long answer, and the caller must still get the whole answer. Another engine
// continues after the tokens already delivered: it generates the second part from the same prompt and the first part,
// on the same adapter, so the two parts are not taken from unrelated answers.
BOOST_AUTO_TEST_CASE(an_answer_continues_on_another_engine_when_its_engine_dies)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto answer = deployment.callLater("e1", "/v1/completions", longDraft("draft").dump());
    const auto busy = runningTarget(deployment);
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.engine(busy).signal(SIGKILL);
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 1500));
    const auto other = busy == "t1" ? "t2" : "t1";
    BOOST_TEST(startedAt(deployment, other).size() == 1U);
}

// Guards against an answer whose second part another software version writes, or one that is not known.
BOOST_AUTO_TEST_CASE(an_answer_does_not_continue_on_another_software_version)
{
    for (const auto* other : { "2.0", "" }) {
        auto deployment = Deployment();
        deployment.addEngineTarget("t1", { "--software=1.0" });
        deployment.addEngineTarget("t2", { std::string("--software=") + other });
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
        auto body = longDraft("draft");
        body["stream"] = true;
        auto answer = deployment.callLater("e1", "/v1/completions", body.dump());
        const auto busy = runningTarget(deployment);
        deployment.loop.wait(deployment.loop.sleep(300ms));
        deployment.engine(busy).signal(SIGKILL);
        const auto broken = deployment.loop.wait(kj::mv(answer));
        BOOST_TEST(broken.body.find("event: error") != std::string::npos);
        BOOST_TEST(broken.body.find("[DONE]") == std::string::npos);
    }
}

// Guards against an answer that is given up though an engine of its software version is left.
BOOST_AUTO_TEST_CASE(an_answer_continues_on_its_own_software_version)
{
    auto deployment = Deployment();
    for (const auto* target : { "t1", "t2" })
        deployment.addEngineTarget(target, { "--software=1.0" });
    for (const auto* target : { "t3", "t4" })
        deployment.addEngineTarget(target, { "--software=2.0" });
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto answer = deployment.callLater("e1", "/v1/completions", longDraft("draft").dump());
    auto busy = std::string();
    const auto targets = std::vector<std::string> { "t1", "t2", "t3", "t4" };
    await(deployment, [&] {
        for (const auto& target : targets) {
            if (startedAt(deployment, target).size() == 1)
                busy = target;
        }
        return !busy.empty();
    });
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.engine(busy).signal(SIGKILL);
    BOOST_TEST(textOf(deployment.loop.wait(kj::mv(answer))) == expected("life@2#bb", "draft", 1500));
    const auto partner
        = std::map<std::string, std::string> { { "t1", "t2" }, { "t2", "t1" }, { "t3", "t4" }, { "t4", "t3" } };
    for (const auto& target : targets) {
        if (target != busy)
            BOOST_TEST(startedAt(deployment, target).size() == (target == partner.at(busy) ? 1U : 0U));
    }
}

// An engine dies in the middle of a non-repeatable answer. No other engine may run the request, so the stream must end
// with an error that reports a partial run, not as if the answer were complete.
BOOST_AUTO_TEST_CASE(a_non_repeatable_draft_ends_with_an_error_when_its_engine_dies)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    auto body = longDraft("draft");
    body["stream"] = true;
    auto answer = deployment.callLater("e1", "/v1/completions", body.dump(), { { "X-Eelgrass-Repeat", "never" } });
    const auto busy = runningTarget(deployment);
    deployment.loop.wait(deployment.loop.sleep(300ms));
    deployment.engine(busy).signal(SIGKILL);
    const auto broken = deployment.loop.wait(kj::mv(answer));
    BOOST_TEST(broken.body.find("event: error") != std::string::npos);
    BOOST_TEST(broken.body.find("\"run\":\"partial\"") != std::string::npos);
    BOOST_TEST(broken.body.find("[DONE]") == std::string::npos);
    BOOST_TEST(startedAt(deployment, busy == "t1" ? "t2" : "t1").empty());
}

// An engine restarts unnoticed and loses its adapters while the slot table still lists one as loaded. The engine's new
// incarnation must reset the slot table, so that the adapter is loaded again and the caller gets its answer.
BOOST_AUTO_TEST_CASE(adapters_are_reloaded_after_an_unnoticed_engine_restart)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    const auto request = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };
    BOOST_TEST(textOf(deployment.complete("e1", request)) == expected("life@2#bb", "p", 3));
    deployment.control(deployment.behindUrl("t1") + "/standin/control", { { "forget", true } });
    BOOST_TEST(textOf(deployment.complete("e1", request)) == expected("life@2#bb", "p", 3));
}

// A target process is replaced while its engine generates a long answer. The engine continues, and the new process must
// find the stream by its attempt ID and continue where the caller's answer stopped.
BOOST_AUTO_TEST_CASE(a_restarted_target_process_resumes_running_streams)
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

// A request crashes the engine that runs it, together with the other requests there. After the first crash each of
// these requests is a suspect and runs alone. The other requests must complete; the crashing one crashes a second
// engine, is quarantined, and must not crash a third engine however often it is sent.
BOOST_AUTO_TEST_CASE(a_request_that_crashes_engines_crashes_at_most_two)
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

// Guards against weights that crash every engine which runs them, under requests of which no two are alike.
BOOST_AUTO_TEST_CASE(requests_for_weights_that_crash_engines_are_refused)
{
    auto deployment = Deployment();
    const auto targets = std::vector<std::string> { "t1", "t2", "t3", "t4", "t5", "t6", "t7" };
    for (const auto& target : targets)
        deployment.addEngineTarget(target, { "--crash_model=mode" });
    deployment.addEntry("e1");
    deployment.addEntry("e2");
    deployment.configure({ "e1", "e2" });
    const auto alive = [&] {
        return std::count_if(targets.begin(), targets.end(),
            [&](const std::string& target) { return !deployment.engine(target).ended(); });
    };
    auto number = 0;
    const auto ask = [&](const std::string& model) {
        const auto entry = ++number % 2 == 0 ? "e1" : "e2";
        return deployment.complete(
            entry, { { "model", model }, { "prompt", "prompt " + std::to_string(number) }, { "max_tokens", 5 } });
    };
    const auto refuses = [&](const char* entry) {
        const auto error = errorOf(deployment.complete(
            entry, { { "model", "mode" }, { "prompt", "prompt " + std::to_string(++number) }, { "max_tokens", 5 } }));
        return error["message"] == "requests with these weights crash engines";
    };
    // Each request crashes two engines at the most before it is refused itself.
    for (auto count = 0; count < 6 && !(refuses("e1") && refuses("e2")); ++count)
        deployment.loop.wait(deployment.loop.sleep(1200ms));
    const auto left = alive();
    BOOST_TEST(left >= 1);
    for (auto count = 0; count < 6; ++count) {
        const auto refused = ask("mode");
        BOOST_TEST(refused.status == 422);
        BOOST_TEST(errorOf(refused)["type"] == "quarantined");
        BOOST_TEST(ask("life").status == 200);
    }
    BOOST_TEST(alive() == left);
}
