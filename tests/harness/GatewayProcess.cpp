#include "tests/harness/GatewayProcess.h"

#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace eelgrass::tests {

GatewayProcess::GatewayProcess(const Options& options)
    : options_(options)
    , agent_(loop_,
          { .host = { .name = "agent",
                .zone = AvailabilityZone("zone-1"),
                .store = store_.endpoint(),
                .address = "127.0.0.1" },
              .replica = engine_.endpoint(),
              .service = serving::ServiceName("engine") })
{
    auto configuration = nlohmann::json::parse(servingConfiguration(1));
    if (options.configure)
        options.configure(configuration);
    store_.put("op", "config", configuration.dump());
    store_.put("servers", engine_.instance(), engine_.entry());
    store_.put("servers", plain_.instance(), plain_.entry());
    agent_.start();
    process_ = startGateway("gateway", "seeds: []\n");
}

auto GatewayProcess::startGateway(const std::string& name, const std::string& seeds) -> std::unique_ptr<Process>
{
    settings_.push_back("/tmp/eelgrass-" + name + "-process-" + std::to_string(getpid()) + ".yaml");
    std::ofstream(settings_.back()) << "name: " << name << "\navailability_zone: zone-1\naddress: 127.0.0.1\nstore: \""
                                    << store_.endpoint().str()
                                    << "\"\nclients: \"127.0.0.1:0\"\nreadiness: \"127.0.0.1:0\"\npeers: "
                                       "\"127.0.0.1:0\"\nmetrics_port: 0\ngrace_ms: "
                                    << options_.grace.count() << "\nagent_port: " << agent_.port() << "\n"
                                    << seeds;
    return std::make_unique<Process>(
        name, "eelgrassrouterd", std::vector<std::string> { "--role=gateway", "--settings=" + settings_.back() });
}

auto GatewayProcess::addGateway(const std::string& name) -> Process&
{
    const auto peer = std::to_string(process_->listeningPort("peer_port"));
    others_.push_back(startGateway(name, "seeds:\n  - \"127.0.0.1:" + peer + "\"\n"));
    return *others_.back();
}

GatewayProcess::~GatewayProcess()
{
    for (const auto& settings : settings_)
        std::remove(settings.c_str());
}

auto GatewayProcess::until(const std::function<bool()>& done) -> void
{
    while (!done())
        loop_.wait(loop_.sleep(5ms));
}

auto GatewayProcess::beginStop() -> void
{
    stopAt_ = loop_.timers().now();
    process_->signal(SIGTERM);
    killer_ = loop_.timers().after(Duration(options_.grace), [this] { process_->signal(SIGKILL); });
    until([&] { return process_->logged("stopping").has_value(); });
}

auto GatewayProcess::waitUntilAfterStop(Duration time) -> void
{
    const auto left = stopAt_ + time - loop_.timers().now();
    if (left > Duration(0))
        wait(left);
}

auto GatewayProcess::awaitEnd() -> int
{
    until([&] { return !process_->running(); });
    return process_->exitCode();
}

auto RawCall::text() const -> std::string
{
    namespace names = hosting::names;
    auto text = "POST " + path + " HTTP/1.1\r\nHost: users.example\r\n" + names::attemptId + ": " + attempt + "\r\n"
        + names::deadline + ": " + std::to_string(deadlineMs) + "\r\n" + names::model + ": base";
    if (!adapter.empty())
        text += "/" + adapter;
    return text + "\r\n" + fields + names::tokenCount + ": 100,20\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace eelgrass::tests
