#include "tests/harness/Deployment.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

/// One engine target and one entry. Tests end with a valid call, since invalid input must not affect other callers.
struct Fixture {
    Fixture()
    {
        deployment.addEngineTarget("t1");
        deployment.addEntry("e1");
        deployment.configure({ "e1" });
    }

    auto refusalOf(const std::string& body, std::vector<std::pair<std::string, std::string>> headers = {})
        -> std::pair<int, std::string>
    {
        const auto answer = deployment.call("e1", "/v1/completions", body, std::move(headers));
        const auto json = Json::parse(answer.body, nullptr, false);
        BOOST_REQUIRE_MESSAGE(json.is_object() && json.contains("error"), body + " got " + answer.body);
        BOOST_TEST(json["error"]["run"] == "not_run");
        BOOST_TEST(!json["error"]["request_id"].get<std::string>().empty());
        BOOST_TEST(!json["error"]["step"].get<std::string>().empty());
        BOOST_TEST(!json["error"]["message"].get<std::string>().empty());
        return { answer.status, json["error"]["type"].get<std::string>() };
    }

    auto expectOthersAreServed() -> void
    {
        const auto good = deployment.complete("e1", { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 2 } });
        BOOST_TEST(good.status == 200);
    }

    Deployment deployment;
};

using Refusal = std::pair<int, std::string>;

const auto validBody = std::string(R"({"model":"life","prompt":"p","max_tokens":2})");

} // namespace

BOOST_FIXTURE_TEST_CASE(an_invalid_body_is_refused_as_invalid_request, Fixture)
{
    const auto invalid = Refusal(400, "invalid_request");
    const auto bodies = std::vector<std::string> { "", "{", "null", "[1,2]", "\xff\xfe", R"({"model":7,"prompt":"p"})",
        R"({"model":"life"})", R"({"model":"life","prompt":["p"]})", R"({"model":"life","prompt":"p","max_tokens":-1})",
        R"({"model":"life","prompt":"p","max_tokens":0})", R"({"model":"life","prompt":"p","max_tokens":1.5})",
        R"({"model":"life","prompt":"p","max_tokens":1e99})", R"({"model":"life","prompt":"p","max_tokens":131073})",
        R"({"model":"life","prompt":"p","stream":"yes"})" };
    for (const auto& body : bodies)
        BOOST_TEST((refusalOf(body) == invalid), body);
    const auto chat = deployment.call("e1", "/v1/chat/completions", R"({"model":"life","messages":[{"role":"user"}]})");
    BOOST_TEST(chat.status == 400);
    expectOthersAreServed();
}

// A body with 100,000 nested brackets would overflow the stack of a recursive parser and crash the process.
BOOST_FIXTURE_TEST_CASE(a_deeply_nested_body_is_refused_before_it_is_parsed, Fixture)
{
    constexpr auto depth = std::size_t(100000);
    const auto nested = R"({"model":"life","prompt":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    BOOST_TEST((refusalOf(nested) == Refusal(400, "invalid_request")));
    const auto quoted = R"({"model":"life","max_tokens":1,"prompt":")" + std::string(depth, '[') + R"("})";
    BOOST_TEST(deployment.call("e1", "/v1/completions", quoted).status == 200);
}

BOOST_FIXTURE_TEST_CASE(unknown_names_and_keys_are_refused, Fixture)
{
    BOOST_TEST((refusalOf(R"({"model":"none","prompt":"p"})") == Refusal(404, "unknown_model")));
    BOOST_TEST((refusalOf(R"({"model":"life@9","prompt":"p"})") == Refusal(404, "unknown_version")));
    BOOST_TEST((refusalOf(R"({"model":"life@-1","prompt":"p"})") == Refusal(404, "unknown_version")));
    BOOST_TEST((refusalOf(validBody, { { "Authorization", "Bearer wrong" } }) == Refusal(401, "invalid_key")));
    BOOST_TEST((refusalOf(validBody, { { "Authorization", callerKey } }) == Refusal(401, "invalid_key")));
    const auto rival = Refusal(404, "unknown_model");
    BOOST_TEST((refusalOf(validBody, { { "Authorization", std::string("Bearer ") + rivalKey } }) == rival));
    BOOST_TEST(deployment.call("e1", "/services/none/x", "").status == 404);
    BOOST_TEST(deployment.call("e1", "/nothing/here", "").status == 404);
    expectOthersAreServed();
}

BOOST_FIXTURE_TEST_CASE(invalid_header_values_are_refused, Fixture)
{
    const auto invalid = Refusal(400, "invalid_request");
    for (const auto* deadline : { "-5", "0", "soon", "1.5", "3600001", "99999999999999999999" })
        BOOST_TEST((refusalOf(validBody, { { "X-Eelgrass-Deadline-Ms", deadline } }) == invalid), deadline);
    BOOST_TEST((refusalOf(validBody, { { "X-Eelgrass-Repeat", "sometimes" } }) == invalid));
    BOOST_TEST((refusalOf(validBody, { { "Idempotency-Key", std::string(256, 'k') } }) == invalid));
    expectOthersAreServed();
}

// A caller declares a body of 1 GB in its Content-Length, or sends an endless body in chunks. The entry must refuse the
// request on reading the header, or as soon as the limit is exceeded, and must not store any bytes of the body that
// arrive after the refusal.
BOOST_FIXTURE_TEST_CASE(an_oversized_body_is_refused_before_it_is_buffered, Fixture)
{
    auto announced = RawCaller(deployment.entryUrl("e1"));
    announced.send(rawRequest("/v1/completions", "", { { "Content-Length", "1073741824" } }));
    const auto refused = announced.receiveUntil("body_too_large");
    BOOST_TEST(refused.starts_with("HTTP/1.1 413"));
    BOOST_TEST(refused.find("X-Request-Id: ") != std::string::npos);

    auto endless = RawCaller(deployment.entryUrl("e1"));
    endless.send(rawRequest("/v1/completions", "", { { "Transfer-Encoding", "chunked" } }));
    constexpr auto chunkSize = std::size_t(65536);
    constexpr auto chunks = 80;
    const auto chunk = "10000\r\n" + std::string(chunkSize, 'x') + "\r\n";
    for (auto sent = 0; sent < chunks && endless.send(chunk); ++sent) { }
    endless.send("0\r\n\r\n");
    BOOST_TEST(endless.receiveUntil("body_too_large").starts_with("HTTP/1.1 413"));
    expectOthersAreServed();
}

BOOST_FIXTURE_TEST_CASE(oversized_headers_close_only_their_own_connection, Fixture)
{
    constexpr auto size = std::size_t(4) << 20U;
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send(rawRequest("/v1/completions", validBody, { { "X-Large", std::string(size, 'h') } }));
    const auto answer = caller.receiveAll();
    BOOST_TEST((answer.empty() || answer.starts_with("HTTP/1.1 4")));
    expectOthersAreServed();
}

BOOST_FIXTURE_TEST_CASE(non_http_input_closes_only_its_own_connection, Fixture)
{
    auto caller = RawCaller(deployment.entryUrl("e1"));
    caller.send("\x16\x03\x01\x02 not http at all\r\n\r\n");
    const auto answer = caller.receiveAll();
    BOOST_TEST(answer.find(" 200 ") == std::string::npos, answer);
    expectOthersAreServed();
}

// A caller that begins a request and never completes it may occupy only its connection. The entry must close the
// connection after the idle time that the settings allow.
BOOST_FIXTURE_TEST_CASE(an_incomplete_request_times_out_and_delays_no_other_caller, Fixture)
{
    deployment.addEntry("e2", "caller_silence_s: 1\n");
    auto headers = RawCaller(deployment.entryUrl("e2"));
    headers.send("POST /v1/completions HTTP/1.1\r\nHost: a");
    auto body = RawCaller(deployment.entryUrl("e2"));
    body.send(rawRequest("/v1/completions", R"({"model":)", { { "Content-Length", "400" } }));
    expectOthersAreServed();
    BOOST_TEST(
        deployment.complete("e2", { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 2 } }).status == 200);
    BOOST_TEST(body.receiveAll().find("200 OK") == std::string::npos);
    BOOST_TEST(headers.receiveAll().find("200 OK") == std::string::npos);
}
