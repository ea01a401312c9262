#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

const auto lifeRequest = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };
const auto modeRequest = Json { { "model", "mode" }, { "prompt", "p" }, { "max_tokens", 3 } };

/// Sends a request, and sends it again after each 503 that reports it as not run.
auto completeWithRetry(Deployment& deployment, const Json& body) -> std::string
{
    auto answer = deployment.complete("e1", body);
    while (answer.status == 503) {
        BOOST_REQUIRE(errorOf(answer)["run"] == "not_run");
        deployment.loop.wait(deployment.loop.sleep(100ms));
        answer = deployment.complete("e1", body);
    }
    return textOf(answer);
}

/// Suspends a target process, lets another process take over its target, and resumes the first one.
auto testTakeover(const std::vector<std::string>& engineFlags, const std::string& settings) -> void
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1", engineFlags, settings);
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    BOOST_TEST(textOf(deployment.complete("e1", lifeRequest)) == expected("life@2#bb", "p", 3));
    deployment.target("t1").signal(SIGSTOP);
    deployment.replaceTarget("t1");
    // With two adapters and one slot, an order of the old owner would unload the adapter that the new owner uses.
    BOOST_TEST(completeWithRetry(deployment, modeRequest) == expected("mode@1#cc", "p", 3));
    auto& old = deployment.target("t1-old");
    old.signal(SIGCONT);
    BOOST_TEST(completeWithRetry(deployment, lifeRequest) == expected("life@2#bb", "p", 3));
    // The old owner verifies its epoch before its next order, and exits.
    await(deployment, [&] { return old.ended(); });
    BOOST_TEST(old.wait() == 3);
    BOOST_TEST(completeWithRetry(deployment, modeRequest) == expected("mode@1#cc", "p", 3));
}

} // namespace

// Two processes believe that they own the same engine: the first was suspended, replaced and resumed. The first process
// must not send orders to the engine, and callers must get correct answers. This engine itself refuses orders with an
// old epoch.
BOOST_AUTO_TEST_CASE(a_replaced_owner_is_fenced_by_an_engine_that_checks_epochs)
{
    testTakeover({ "--slots=1", "--fence=true" }, "slots: 1, honours_fence: true");
}

// An engine that ignores epochs does not refuse the orders of a replaced owner, so the old owner itself must detect
// that it was replaced.
BOOST_AUTO_TEST_CASE(a_replaced_owner_stops_itself_if_the_engine_ignores_epochs)
{
    testTakeover({ "--slots=1", "--fence=false" }, "slots: 1, honours_fence: false");
}

// A target process is suspended with a start request in its socket. The entry closes the session and uses another
// target. When the process resumes, it pings the entry before it starts the attempt, and must drop the attempt because
// the session is closed.
BOOST_AUTO_TEST_CASE(a_start_received_by_a_suspended_process_is_not_run)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    BOOST_TEST(textOf(deployment.complete("e1", lifeRequest)) == expected("life@2#bb", "p", 3));
    const auto first = startedAt(deployment, "t1").size() == 1 ? std::string("t1") : std::string("t2");
    deployment.target(first).signal(SIGSTOP);
    BOOST_TEST(textOf(deployment.complete("e1", lifeRequest)) == expected("life@2#bb", "p", 3));
    deployment.target(first).signal(SIGCONT);
    // The entry's next session to this target opens after the messages of the old session were read.
    await(deployment, [&] { return deployment.status("e1")["targets"].size() == 2; });
    deployment.loop.wait(deployment.loop.sleep(1500ms));
    BOOST_TEST(startedAt(deployment, first).size() == 1U);
}
