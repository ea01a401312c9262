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

} // namespace

BOOST_AUTO_TEST_CASE(whole_and_streamed_answers_come_from_the_requested_adapter_and_version)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEngineTarget("t2");
    deployment.addServiceTarget("s1", "catalogue");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });

    const auto whole = deployment.complete("e1", { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 5 } });
    BOOST_TEST(whole.status == 200);
    BOOST_TEST(Json::parse(whole.body)["choices"][0]["text"] == expected("life@2#bb", "p", 5));

    const auto named = deployment.complete("e1", { { "model", "life@1" }, { "prompt", "p" }, { "max_tokens", 5 } });
    BOOST_TEST(Json::parse(named.body)["choices"][0]["text"] == expected("life@1#aa", "p", 5));

    const auto streamed = deployment.complete(
        "e1", { { "model", "mode" }, { "prompt", "p" }, { "max_tokens", 3 }, { "stream", true } });
    BOOST_TEST(streamed.contentType == "text/event-stream");
    BOOST_TEST(streamed.body.ends_with("data: [DONE]\n\n"));

    const auto service = deployment.call("e1", "/services/catalogue/lookups?bore=25", "6205");
    BOOST_TEST(service.status == 200);
    BOOST_TEST(Json::parse(service.body)["body"] == "6205");

    const auto unauthorized = deployment.call("e1", "/v1/completions", "{}", { { "Authorization", "Bearer wrong" } });
    BOOST_TEST(unauthorized.status == 401);
}
