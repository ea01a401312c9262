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

    /// Number of attempts that the engine runs or has queued.
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

auto firstEvent(const std::string& answer) -> std::size_t { return answer.find("data: {"); }

} // namespace

// The caller disconnects after some tokens. The entry must notice the closed connection and cancel the attempt at the
// target, and the target at the engine, so that the engine does not generate 100,000 tokens for nobody.
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

// The caller disconnects before anything was sent to it. The entry must notice the closed connection without a write.
BOOST_FIXTURE_TEST_CASE(a_caller_that_hangs_up_on_a_non_streamed_answer_cancels_its_attempt_at_the_engine, Fixture)
{
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send(longCall(false));
    awaitStreams(1);
    caller.hangUp();
    awaitStreams(0);
    BOOST_TEST(true);
}

BOOST_FIXTURE_TEST_CASE(a_queued_request_whose_caller_hangs_up_is_never_started, Fixture)
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

// The engine sends nothing for more than two seconds. The caller must get comment lines, which client libraries skip,
// and then its whole answer.
BOOST_FIXTURE_TEST_CASE(a_waiting_stream_gets_comment_lines, Fixture)
{
    engineStep(600000);
    auto caller = RawCaller(deployment.entryUrl("e1"));
    const auto body = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 }, { "stream", true } };
    caller.send(rawRequest("/v1/completions", body.dump()));
    const auto waiting = caller.receiveUntil(": ");
    BOOST_TEST(firstEvent(waiting) == std::string::npos);
    caller.receiveUntil("\n: ");
    engineStep(1);
    const auto answer = caller.receiveUntil("[DONE]");
    BOOST_TEST(answer.find("\n: ") < firstEvent(answer));
}

// The engine dies in the middle of an answer and does not return. The caller must get an error event with the run state
// `partial` and a complete HTTP response. A bare disconnect could be taken for a whole answer.
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

// A caller reads its answer of 4 MB only after a while. Meanwhile several chunks wait in the entry for free buffer
// space. When the caller reads on, every chunk must arrive, and other callers must be served throughout.
BOOST_FIXTURE_TEST_CASE(a_slow_reader_gets_its_whole_answer_and_delays_no_other_caller, Fixture)
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

BOOST_FIXTURE_TEST_CASE(responses_have_a_request_id_and_refusals_a_retry_after, Fixture)
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
