#include "tests/harness/CrashWorld.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace eelgrass::tests {

CrashWorld::CrashWorld(Options options)
    : options_(std::move(options))
    , processes_(options_.engines, options_.plain)
{
    auto configuration = nlohmann::json::parse(servingConfiguration(2));
    configuration["services"][0]["engine"]["slots"] = options_.slots;
    world().store().put("op", "config", configuration.dump());
    for (auto index = std::size_t(0); index < replicas(); ++index) {
        replica(index).crashUnder(options_.crash, [this, index] {
            crashes_.push_back(world().loop().timers().now());
            crash(index);
        });
    }
    for (auto count = world().gateways(); count < options_.gateways; ++count)
        world().startGateway();
    (void)world().until([this] {
        for (auto index = std::size_t(0); index < world().gateways(); ++index) {
            if (world().gateway(index).configuration().configuration()->version != ConfigVersion(2))
                return false;
        }
        return true;
    });
}

auto CrashWorld::replica(std::size_t index) -> standins::ReplicaStandin&
{
    return index < options_.engines ? world().engine(index) : world().plain(index - options_.engines);
}

auto CrashWorld::publish(std::size_t index) -> void
{
    world().store().put("servers", replica(index).instance(), replica(index).entry());
}

auto CrashWorld::crash(std::size_t index) -> void
{
    auto& crashed = replica(index);
    if (!crashed.ended())
        crashed.end(options_.crash.silent);
    if (options_.listed == Listed::NotAtAll)
        world().store().remove("servers", crashed.instance());
    starts_.push_back(world().loop().timers().after(options_.downFor, [this, index] { startAgain(index); }));
}

auto CrashWorld::startAgain(std::size_t index) -> void
{
    auto& back = replica(index);
    const auto name = back.instance();
    if (options_.withAgents && index < options_.engines)
        restartAgent(index);
    back.restart(name.substr(0, name.find('.')) + "." + std::to_string(++startCount_));
    world().store().remove("servers", name);
    publish(index);
}

auto CrashWorld::agent(std::size_t engine) -> serving::AgentLink&
{
    const auto instance = serving::InstanceId(world().engine(engine).instance());
    return *world().gateway().directory().all().at(instance)->agent();
}

auto CrashWorld::restartAgent(std::size_t engine) -> void
{
    processes_.agents.at(engine)->end(SIGKILL);
    processes_.startAgent(engine);
}

auto CrashWorld::sendFor(Duration time, const ServingWorld::Request& request) -> void
{
    const auto until = world().loop().timers().now() + time;
    while (world().loop().timers().now() < until) {
        auto next = request;
        next.gateway = sent_ % world().gateways();
        next.attempt = request.attempt + "-" + std::to_string(++sent_);
        pending_.push_back(world()
                               .begin(next)
                               .then([this](wire::HttpAnswer&& answer) { statuses_.push_back(answer.status); })
                               .eagerlyEvaluate(nullptr));
        world().wait(requestInterval);
    }
}

auto CrashWorld::sendUntilJudged(ServingWorld::Request request) -> void
{
    constexpr auto crashesToJudge = std::size_t(3);
    constexpr auto longest = 40;
    request.body = options_.crash.body;
    for (auto count = 0; count < longest && crashes_.size() < crashesToJudge; ++count)
        sendFor(requestInterval, request);
    sendFor(noticeTime + requestInterval * (2 * maxLateRuns + 4), request);
}

auto CrashWorld::lateRuns() -> std::size_t
{
    constexpr auto third = std::size_t(2);
    if (crashes_.size() <= third)
        return 0;
    auto late = std::size_t(0);
    for (auto index = std::size_t(0); index < replicas(); ++index) {
        for (const auto& run : replica(index).runs())
            late += run.body == options_.crash.body && run.at > crashes_[third] + noticeTime ? 1 : 0;
    }
    return late;
}

} // namespace eelgrass::tests
