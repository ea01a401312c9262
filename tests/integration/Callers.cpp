#include "tests/harness/Deployment.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

struct Fixture {
    Fixture()
    {
        deployment.addEngineTarget("t1");
        deployment.addServiceTarget("s1", "catalogue");
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
    }

    [[nodiscard]] auto longCall(bool stream) const -> std::string
    {
        const auto body
            = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 100000 }, { "stream", stream } };
        return rawRequest("/v1/completions", body.dump());
    }

    /// Attempts that the engine runs or has queued.
    auto streams() -> std::size_t
    {
        const auto answer
            = deployment.loop.wait(deployment.http.fetch({ .url = deployment.behindUrl("t1") + "/v1/models" }));
        return Json::parse(answer.body).at("streams").size();
    }

    auto awaitStreams(std::size_t count) -> void
    {
        while (streams() != count)
            deployment.loop.wait(deployment.loop.sleep(10ms));
    }

    auto engineStep(int milliseconds) -> void
    {
        deployment.control(deployment.behindUrl("t1") + "/standin/control", { { "step_ms", milliseconds } });
    }

    Deployment deployment;
};

auto event(const std::string& answer) -> std::size_t { return answer.find("data: {"); }

} // namespace

// The caller goes away after some tokens. The entry sees the closed connection, cancels the attempt at the target, and
// the target cancels it at the engine: a hundred thousand tokens that nobody reads are not generated.
BOOST_FIXTURE_TEST_CASE(a_caller_that_hangs_up_on_a_stream_cancels_its_attempt_at_the_engine, Fixture)
{
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send(longCall(true));
    caller.receiveUntil("data: {");
    BOOST_TEST(streams() == 1U);
    caller.hangUp();
    awaitStreams(0);
    BOOST_TEST(true);
}

// As above, but nothing was sent to the caller yet: the hang-up must be seen although nothing is written.
BOOST_FIXTURE_TEST_CASE(a_caller_that_hangs_up_on_a_whole_answer_cancels_its_attempt_at_the_engine, Fixture)
{
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send(longCall(false));
    awaitStreams(1);
    caller.hangUp();
    awaitStreams(0);
    BOOST_TEST(true);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_hangs_up_while_it_waits_never_reaches_the_engine, Fixture)
{
    deployment.addEngineTarget("t2", { "--batch=1" }, "batch: 1");
    deployment.list("t1", "gone");
    while (deployment.status("e1")["targets"].dump().find("\"t1\"") != std::string::npos)
        deployment.loop.wait(deployment.loop.sleep(10ms));
    auto busy = RawCaller(deployment.entryUrl("e1"));
    busy.send(longCall(true));
    busy.receiveUntil("data: {");
    auto waiting = RawCaller(deployment.entryUrl("e1"));
    waiting.send(longCall(true));
    waiting.receiveUntil("\n: ");
    waiting.hangUp();
    busy.hangUp();
    const auto control = deployment.behindUrl("t2") + "/standin/control";
    deployment.complete("e1", { { "model", "life" }, { "prompt", "last" }, { "max_tokens", 1 } });
    BOOST_TEST(deployment.control(control, Json::object())["started"].size() == 2U);
}

// Nothing comes from the engine for longer than two seconds. The caller is told so by comment lines, which a client
// library passes over, and then gets its whole answer.
BOOST_FIXTURE_TEST_CASE(a_stream_that_waits_is_never_silent, Fixture)
{
    engineStep(600000);
    auto caller = RawCaller(deployment.entryUrl("e1"));
    const auto body = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 }, { "stream", true } };
    caller.send(rawRequest("/v1/completions", body.dump()));
    const auto waiting = caller.receiveUntil(": ");
    BOOST_TEST(event(waiting) == std::string::npos);
    caller.receiveUntil("\n: ");
    engineStep(1);
    const auto answer = caller.receiveUntil("[DONE]");
    BOOST_TEST(answer.find("\n: ") < event(answer));
}

// The engine dies for good in the middle of an answer. The caller sees an error event that says the answer is partial,
// and a proper end, never a silent cut that could pass for a whole answer.
BOOST_FIXTURE_TEST_CASE(a_broken_stream_ends_with_an_error_event, Fixture)
{
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send(longCall(true));
    caller.receiveUntil("data: {");
    deployment.engine("t1").signal(SIGKILL);
    const auto answer = caller.receiveUntil("\r\n0\r\n\r\n");
    const auto error = answer.find("event: error\ndata: {");
    BOOST_REQUIRE(error != std::string::npos);
    BOOST_TEST(answer.find("\"run\":\"partial\"", error) != std::string::npos);
    BOOST_TEST(answer.find("\"request_id\":\"", error) != std::string::npos);
    BOOST_TEST(answer.find("[DONE]") == std::string::npos);
}

// A caller takes its answer of some megabytes only after a while. Meanwhile more than one chunk waits at the entry for
// room; when the caller reads on, each of them must come, and other callers are served all along.
BOOST_FIXTURE_TEST_CASE(a_caller_that_reads_slowly_gets_its_whole_answer_and_holds_up_nobody, Fixture)
{
    constexpr auto bodySize = std::size_t(4000000);
    constexpr auto smallBuffer = 4096;
    const auto body = std::string(bodySize, 'b') + "end-of-body";
    auto slow = RawCaller(deployment.entryUrl("e1"), smallBuffer);
    slow.send(rawRequest("/services/catalogue/lookups", body, { { "Connection", "close" } }));
    slow.receiveUntil("HTTP/1.1 200");
    constexpr auto others = 20;
    for (auto index = 0; index < others; ++index) {
        const auto answer = deployment.complete("e1", { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 5 } });
        BOOST_TEST(answer.status == 200);
    }
    const auto answer = slow.receiveAll();
    BOOST_TEST(answer.find("end-of-body") != std::string::npos);
    BOOST_TEST(answer.ends_with("\r\n0\r\n\r\n"));
}

BOOST_FIXTURE_TEST_CASE(every_answer_names_its_request_and_a_refusal_says_when_to_come_back, Fixture)
{
    for (const auto* path : { "/v1/completions", "/services/catalogue/x", "/nothing", "/admin/v1/status" }) {
        auto caller = RawCaller(deployment.entryUrl("e1"));
        caller.send(rawRequest(path, R"({"model":"life","prompt":"p","max_tokens":1})", { { "Connection", "close" } }));
        BOOST_TEST(caller.receiveAll().find("X-Request-Id: ") != std::string::npos, path);
    }
    deployment.list("t1", "leaving");
    while (deployment.status("e1")["targets"].dump().find("\"leaving\":true") == std::string::npos)
        deployment.loop.wait(deployment.loop.sleep(10ms));
    auto refused = RawCaller(deployment.entryUrl("e1"));
    refused.send(rawRequest("/v1/completions", R"({"model":"life","prompt":"p"})", { { "Connection", "close" } }));
    const auto answer = refused.receiveAll();
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(answer.find("\"run\":\"not_run\"") != std::string::npos);
}
