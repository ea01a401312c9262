#include "tests/harness/Deployment.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

constexpr auto prompt = "the-prompt-of-a-member";
constexpr auto serviceBody = "the-body-of-a-member";
constexpr auto query = "the-query-of-a-member";

auto stopAndReadOutput(Process& process) -> std::string
{
    process.signal(SIGTERM);
    process.wait();
    return process.output();
}

/// Causes answers, refusals, a disconnect, a failed service call and an operator's patch.
auto sendVariousRequests(Deployment& deployment) -> void
{
    const auto body = [](const char* model) {
        return Json { { "model", model }, { "prompt", prompt }, { "max_tokens", 3 } };
    };
    BOOST_TEST(deployment.complete("e1", body("life")).status == 200);
    BOOST_TEST(deployment.complete("e1", body("no-such-model")).status == 404);
    BOOST_TEST(deployment.call("e1", "/v1/completions", std::string("{\"prompt\":\"") + prompt).status == 400);
    const auto path = std::string("/services/catalogue/items?name=") + query;
    BOOST_TEST(deployment.call("e1", path, serviceBody).status == 200);
    deployment.engine("s1").signal(SIGKILL);
    deployment.engine("s1").wait();
    BOOST_TEST(deployment.call("e1", path, serviceBody).status >= 500);
    deployment.patch("e1", 1, { { "classes", { { "report", { { "deadline_ms", 5000 } } } } } });
    auto caller = RawCaller(deployment.entryUrl("e1"));
    auto request = body("life");
    request["max_tokens"] = 100000;
    request["stream"] = true;
    caller.send(rawRequest("/v1/completions", request.dump()));
    caller.receiveUntil("data: {");
}

} // namespace

// Logs are read by people who may not see a member's data, and are stored for longer than keys are valid. Whatever
// happens to a request, even the debug log must contain no key, no shared secret and nothing that a caller sent.
BOOST_AUTO_TEST_CASE(debug_logs_contain_no_keys_and_no_request_data)
{
    auto deployment = Deployment();
    deployment.logLevel = "DEBUG";
    deployment.addEngineTarget("t1");
    deployment.addServiceTarget("s1", "catalogue");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    sendVariousRequests(deployment);
    auto logs = std::string();
    for (const auto* name : { "e1", "t1", "s1" })
        logs += stopAndReadOutput(deployment.target(name));
    for (const auto* secret : { callerKey, rivalKey, operatorKey, sharedSecret, prompt, serviceBody, query })
        BOOST_TEST(logs.find(secret) == std::string::npos, secret);
    BOOST_TEST(logs.find("request over") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(log_lines_are_json_with_request_member_adapter_attempt_and_peer)
{
    auto deployment = Deployment();
    deployment.logLevel = "DEBUG";
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    deployment.complete("e1", { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } });
    auto fields = Json::object();
    auto lines = std::istringstream(stopAndReadOutput(deployment.entry("e1")));
    for (auto line = std::string(); std::getline(lines, line);) {
        const auto json = Json::parse(line, nullptr, false);
        BOOST_TEST(json.is_object(), line);
        if (json.is_object() && json.value("message", "") == "request over")
            fields = json.at("context_map");
    }
    BOOST_TEST(fields.value("peer", "") == "t1");
    BOOST_TEST(fields.value("member", "") == "armor-a");
    BOOST_TEST(fields.value("adapter", "") == "life");
    BOOST_TEST(fields.value("step", "") == "relay");
    BOOST_TEST(fields.value("attempt", "").starts_with(fields.value("request_id", "none") + "."));
}
