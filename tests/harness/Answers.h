#pragma once

#include "standins/EngineStandin.h"
#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace eelgrass::tests {

/// The whole text that an engine stand-in answers.
inline auto expected(const std::string& model, const std::string& prompt, std::size_t tokens) -> std::string
{
    auto text = std::string();
    for (auto index = std::size_t(0); index < tokens; ++index)
        text += standins::expectedToken(model, prompt, index);
    return text;
}

/// The text of a whole completion; the test ends if the call was refused.
inline auto textOf(const wire::HttpResponse& answer) -> std::string
{
    BOOST_TEST_INFO(answer.body);
    BOOST_REQUIRE(answer.status == 200);
    return Json::parse(answer.body)["choices"][0]["text"];
}

/// The `error` object of a refusal.
inline auto errorOf(const wire::HttpResponse& answer) -> Json
{
    return Json::parse(answer.body).value("error", Json());
}

/// What the engine behind this target started, in order.
inline auto startedAt(Deployment& deployment, const std::string& target) -> Json
{
    return deployment.control(deployment.behindUrl(target) + "/standin/state", Json::object())["started"];
}

/// The calls that the plain service behind this target ran.
inline auto runsAt(Deployment& deployment, const std::string& target) -> Json
{
    return deployment.control(deployment.behindUrl(target) + "/standin/runs", Json::object())["runs"];
}

/// Waits until `condition` holds; the test's own time limit ends one that never does.
inline auto await(Deployment& deployment, const std::function<bool()>& condition) -> void
{
    while (!condition())
        deployment.loop.wait(deployment.loop.sleep(5ms));
}

} // namespace eelgrass::tests
