#include "standins/ServiceStandin.h"

#include "base/Log.h"

#include <cstdlib>

namespace eelgrass::standins {

namespace {

constexpr auto bodyLimit = std::size_t(8) << 20U;
constexpr auto sleepWord = std::string_view("sleep-");

} // namespace

ServiceStandin::ServiceStandin(wire::MainLoop& loop, const std::string& address, std::uint16_t port)
    : loop_(loop)
    , server_(address, port, bodyLimit, [this](auto& exchange) { handle(exchange); })
{
}

auto ServiceStandin::handle(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->path().starts_with("/standin/"))
        return control(exchange);
    const auto body = std::string(exchange->body());
    log::info("run",
        { { "attempt", exchange->header("X-Attempt-Id") }, { "prompt", body },
            { "at", std::to_string(now().time_since_epoch().count()) } });
    runs_.push_back(
        { { "path", exchange->path() }, { "attempt", exchange->header("X-Attempt-Id") }, { "body", body } });
    if (loseAnswers_ > 0) {
        --loseAnswers_;
        return exchange->abort();
    }
    if (hang_ > 0) {
        --hang_;
        hanging_.push_back(exchange);
        return;
    }
    const auto found = body.find(sleepWord);
    if (found == std::string::npos)
        return run(exchange);
    const auto delay = std::chrono::milliseconds(std::strtol(body.c_str() + found + sleepWord.size(), nullptr, 10));
    loop_.spawn(loop_.sleep(delay).then([this, exchange] { run(exchange); }));
}

auto ServiceStandin::control(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->path() == "/standin/runs")
        return answer(exchange, 200, { { "runs", runs_ } });
    const auto body = bodyOf(exchange);
    loseAnswers_ = body.value("lose_answers", loseAnswers_);
    hang_ = body.value("hang", hang_);
    answer(exchange, 200, Json::object());
}

auto ServiceStandin::run(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->over())
        return;
    const auto status = exchange->query("status");
    answer(exchange, status.empty() ? 200 : std::atoi(status.c_str()),
        { { "run", runs_.size() }, { "path", exchange->path() }, { "body", exchange->body() } });
}

} // namespace eelgrass::standins
