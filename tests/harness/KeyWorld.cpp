#include "tests/harness/KeyWorld.h"

#include "platform/Names.h"
#include "tests/harness/CoreLimit.h"
#include "tests/harness/ServingWorld.h"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace eelgrass::tests {

namespace {

using Json = nlohmann::json;
namespace names = hosting::names;

constexpr auto patience = Duration(3s);

} // namespace

KeyWorld::KeyWorld(Options options, TimerService::Clock clock)
    : loop(std::move(clock))
    , store(loop, options.cores)
    , replica(loop.timers(), "127.0.0.1", "plain-0", "plain")
    , options_(options)
    , folder_("/tmp/eelgrass-keys-" + std::to_string(getpid()))
{
    std::filesystem::create_directories(folder_);
    configure({ "key" });
    store.putNow("servers", replica.instance(), replica.entry());
    for (auto index = std::size_t(0); index < options_.gateways; ++index)
        startGateway(index);
    for (auto index = std::size_t(0); index < options_.gateways; ++index) {
        while (askNow(index, "key") != 200)
            wait(20ms);
    }
}

KeyWorld::~KeyWorld() { std::filesystem::remove_all(folder_); }

auto KeyWorld::startGateway(std::size_t index) -> void
{
    const auto name = "gateway-" + std::to_string(index);
    const auto settings = folder_ + "/" + name + ".yaml";
    if (options_.separateStores)
        stores_.push_back(std::make_unique<standins::FaultProxy>(
            loop, standins::FaultProxy::Options { .upstream = store.endpoint().port }));
    const auto storePort = options_.separateStores ? stores_.back()->port() : store.endpoint().port;
    auto seeds = std::string();
    for (const auto port : peerPorts_)
        seeds += "\n  - \"127.0.0.1:" + std::to_string(port) + "\"";
    std::ofstream(settings)
        << "name: " << name << "\navailability_zone: zone-1\naddress: 127.0.0.1\nstore: \"127.0.0.1:" << storePort
        << "\"\nclients: \"127.0.0.1:0\"\nreadiness: \"127.0.0.1:0\"\npeers: \"127.0.0.1:0\"\nseeds:"
        << (seeds.empty() ? " []" : seeds)
        << "\nmetrics_port: 0\nagent_port: 1\nkey_bound_ms: " << options_.keyBound.count() << "\n";
    const auto cores = CoreLimit(options_.cores);
    gateways_.push_back(std::make_unique<Process>(
        name, "eelgrassrouterd", std::vector<std::string> { "--role=gateway", "--settings=" + settings }));
    ports_.push_back(gateways_.back()->listeningPort());
    peerPorts_.push_back(gateways_.back()->listeningPort("peer_port"));
}

auto KeyWorld::configure(const std::vector<std::string>& keys) -> Moment
{
    auto json = Json::parse(servingConfiguration(++version_));
    json["tenants"] = Json::array({ { { "name", "armor" }, { "apiKeys", keys } } });
    return store.putNow("op", "config", json.dump());
}

auto KeyWorld::ask(std::size_t gateway, const std::string& key, const std::string& attempt) -> kj::Promise<int>
{
    auto caller = std::make_unique<wire::HttpCaller>(loop.timers(), "127.0.0.1", ports_.at(gateway));
    auto call = wire::HttpCall { .method = "POST", .target = "/safe/x", .body = "prompt", .timeout = patience };
    call.fields.add("Host", "users.example");
    call.fields.add(names::attemptId, attempt);
    call.fields.add(names::deadline, "2500");
    call.fields.add(names::apiKey, key);
    auto answer = caller->call(std::move(call));
    return answer.then([](wire::HttpAnswer&& got) { return got.status; }, [](kj::Exception&&) { return 0; })
        .attach(std::move(caller));
}

auto KeyWorld::ageToldFor(std::size_t gateway, const std::string& attempt) -> std::chrono::milliseconds
{
    // The line is written by another thread.
    for (auto tries = 0; tries < 100; ++tries) {
        auto lines = std::istringstream(gateways_.at(gateway)->log());
        for (auto line = std::string(); std::getline(lines, line);) {
            if (line.find("request over") == std::string::npos || line.find('"' + attempt + '"') == std::string::npos)
                continue;
            const auto fields = Json::parse(line).at("context_map");
            return std::chrono::milliseconds(std::stoll(fields.at("configuration_age_ms").get<std::string>()));
        }
        wait(10ms);
    }
    throw std::runtime_error("no line of " + attempt);
}

} // namespace eelgrass::tests
