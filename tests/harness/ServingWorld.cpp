#include "tests/harness/ServingWorld.h"

#include "platform/Names.h"
#include "tests/harness/SharedPort.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace eelgrass::tests {

namespace {

using Json = nlohmann::json;
namespace names = hosting::names;

auto engineAddress(std::size_t index) -> std::string { return "127.0.1." + std::to_string(index + 1); }

/// Of the agent beside an engine that gateways reach through a proxy.
auto proxiedAgentAddress(std::size_t index) -> std::string { return "127.0.2." + std::to_string(index + 1); }

auto engineAddresses(std::size_t engines) -> std::vector<std::string>
{
    auto addresses = std::vector<std::string>();
    for (auto index = std::size_t(0); index < engines; ++index)
        addresses.insert(addresses.end(), { engineAddress(index), proxiedAgentAddress(index) });
    return addresses;
}

auto route(const std::string& name, const std::string& kind, const std::string& service, bool resumable, int runs)
    -> Json
{
    return { { "name", name }, { "host", "users.example" }, { "prefix", "/" + name + "/" }, { "kind", kind },
        { "timeoutMs", 3000 }, { "targetLatencyMs", 800 }, { "gapAimMs", 300 }, { "priority", 1 },
        { "service", service }, { "maxAttempts", runs }, { "resumable", resumable } };
}

} // namespace

auto servingConfiguration(std::uint64_t version, const std::string& onceService) -> std::string
{
    const auto engine = Json { { "slots", 8 }, { "kvCapacity", 100000 }, { "adapterSlots", 2 }, { "weightsMb", 1000 },
        { "loadsPerS", 2 }, { "models", { { { "name", "base" } } } } };
    return Json {
        { "version", version },
        { "routes",
            { route("resumable", "stream", "engine", true, 2), route("whole", "stream", "engine", false, 1),
                route("safe", "idempotent", "plain", false, 2), route("once", "non_idempotent", onceService, false, 1),
                route("v" + std::to_string(version), "idempotent", "plain", false, 2) } },
        { "services",
            { { { "name", "engine" }, { "healthPath", "/health" }, { "maxConns", 50 }, { "engine", engine } },
                { { "name", "plain" }, { "healthPath", "/health" }, { "maxConns", 50 } } } },
        { "limits",
            { { "maxHeaderBytes", 4096 }, { "maxBodyBytes", 65536 }, { "headerTimeoutMs", 2000 },
                { "idleTimeoutMs", 5000 } } }
    }.dump();
}

ServingWorld::ServingWorld(std::size_t engines, std::size_t plain)
    : store_(loop_.timers())
{
    for (auto index = std::size_t(0); index < engines; ++index)
        engines_.push_back(std::make_unique<standins::ReplicaStandin>(
            loop_.timers(), engineAddress(index), "engine-" + std::to_string(index), "engine"));
    for (auto index = std::size_t(0); index < plain; ++index)
        plain_.push_back(std::make_unique<standins::ReplicaStandin>(
            loop_.timers(), "127.0.0.1", "plain-" + std::to_string(index), "plain"));
    configure(1);
    publishReplicas();
    for (auto index = std::size_t(0); index < engines; ++index)
        startAgent(index);
}

ServingWorld::~ServingWorld() = default;

auto ServingWorld::configure(std::uint64_t version, const std::string& onceService) -> void
{
    store_.put("op", "config", servingConfiguration(version, onceService));
}

auto ServingWorld::nameVersion(const std::string& adapter, std::uint64_t version) -> void
{
    for (const auto& engine : engines_)
        engine->nameVersion(adapter, version);
    store_.put("op", "version/base." + adapter,
        Json { { "model", "base" }, { "adapter", adapter }, { "version", version } }.dump());
}

auto ServingWorld::allKnow(const std::string& adapter, std::uint64_t version) const -> bool
{
    return std::all_of(gateways_.begin(), gateways_.end(), [&](const auto& gateway) {
        const auto& known = gateway->configuration().versions().of(serving::BaseModel("base"), AdapterId(adapter));
        return known.version == AdapterVersion(version);
    });
}

auto ServingWorld::publishReplicas() -> void
{
    for (const auto& replica : engines_)
        store_.put("servers", replica->instance(), replica->entry());
    for (const auto& replica : plain_)
        store_.put("servers", replica->instance(), replica->entry());
}

auto ServingWorld::hostSettings(const std::string& name, const std::string& address, const std::string& zone) const
    -> serving::HostSettings
{
    return { .name = name,
        .zone = AvailabilityZone(zone),
        .store = store_.endpoint(),
        .address = address,
        .agentPort = agentPort_ };
}

auto ServingWorld::startAgent(std::size_t index) -> void { startAgent(index, engineAddress(index)); }

auto ServingWorld::startProxiedAgent(std::size_t index) -> standins::FaultProxy&
{
    stopAgent(index);
    startAgent(index, proxiedAgentAddress(index));
    proxies_.push_back(std::make_unique<standins::FaultProxy>(loop_,
        standins::FaultProxy::Options { .address = engineAddress(index),
            .port = agentPort_,
            .upstream = agentPort_,
            .upstreamAddress = proxiedAgentAddress(index) }));
    return *proxies_.back();
}

auto ServingWorld::startAgent(std::size_t index, const std::string& address) -> void
{
    const auto firstStart = index >= agents_.size();
    agents_.resize(std::max(agents_.size(), index + 1));
    if (agentPort_ == 0)
        agentPort_ = findSharedPort(engineAddresses(engines_.size()));
    auto host = hostSettings("agent-" + std::to_string(index), address);
    host.firstStart = firstStart;
    agents_[index] = std::make_unique<serving::AgentRole>(loop_,
        serving::AgentSettings { .host = std::move(host),
            .replica = engines_[index]->endpoint(),
            .service = serving::ServiceName("engine"),
            .firstWriteSpread = {} });
    agents_[index]->start();
}

auto ServingWorld::stopAgent(std::size_t index) -> void { agents_[index].reset(); }

auto ServingWorld::stopGateway(std::size_t index) -> void
{
    gateways_.erase(gateways_.begin() + static_cast<std::ptrdiff_t>(index));
}

auto ServingWorld::startGateway(bool wait, const std::string& zone, const std::string& address) -> serving::GatewayRole&
{
    auto settings = settings_;
    settings.host = hostSettings("gateway", address, zone);
    settings.host.firstStart = clientPort_ == 0;
    if (settings_.host.store.port != 0)
        settings.host.store = settings_.host.store;
    settings.clients = settings.readiness = settings.peers = { "127.0.0.1", 0 };
    for (const auto& gateway : gateways_)
        settings.seeds.push_back({ "127.0.0.1", gateway->peerPort() });
    gateways_.push_back(std::make_unique<serving::GatewayRole>(loop_, settings));
    auto& gateway = *gateways_.back();
    gateway.start();
    if (clientPort_ == 0)
        clientPort_ = gateway.clientPort();
    const auto usable = [](const serving::ReplicaPtr& replica) {
        return replica->agent() && replica->agent()->alive() && replica->agent()->state().usable;
    };
    const auto settled = [&] {
        const auto& replicas = gateway.directory().replicasOf(serving::ServiceName("engine"));
        const auto all = std::all_of(replicas.begin(), replicas.end(), usable);
        return gateway.ready() && all && replicas.size() == engines_.size();
    };
    if (wait)
        until(settled);
    return gateway;
}

auto ServingWorld::portOf(const Request& request) const -> std::uint16_t
{
    return request.gateway ? gateways_.at(*request.gateway)->clientPort() : clientPort_;
}

auto ServingWorld::callOf(const Request& request) -> wire::HttpCall
{
    origins_[request.attempt] = { std::to_string(request.gateway.value_or(0)), loop_.timers().now() };
    auto call
        = wire::HttpCall { .method = request.method, .target = request.path, .body = request.body, .timeout = 5s };
    call.fields = request.more;
    call.fields.add("Host", "users.example");
    call.fields.add(names::attemptId, request.attempt);
    call.fields.add(names::deadline, std::to_string(request.deadlineMs));
    const auto model = request.path.starts_with("/resumable/") || request.path.starts_with("/whole/");
    if (model) {
        call.fields.add(names::model, "base/" + request.adapter);
        call.fields.add(names::tokenCount, request.tokenCount);
        call.fields.add(names::promptPrefix, request.prefix);
    }
    return call;
}

auto ServingWorld::begin(const Request& request) -> kj::Promise<wire::HttpAnswer>
{
    callers_.push_back(std::make_unique<wire::HttpCaller>(loop_.timers(), "127.0.0.1", portOf(request)));
    return callers_.back()->call(callOf(request)).catch_([](kj::Exception&&) { return wire::HttpAnswer {}; });
}

auto ServingWorld::receive(const Request& request, const std::string& leaveAfter) -> ReceivedAnswer
{
    auto caller = StreamCaller(loop_.timers(), portOf(request));
    return loop_.wait(caller.call(callOf(request), leaveAfter));
}

auto ServingWorld::ask(const Request& request) -> wire::HttpAnswer { return loop_.wait(begin(request)); }

auto ServingWorld::until(const std::function<bool()>& done) -> bool
{
    constexpr auto step = Duration(5ms);
    constexpr auto most = 1000;
    for (auto count = 0; count < most; ++count) {
        if (done())
            return true;
        loop_.wait(loop_.sleep(step));
    }
    return done();
}

} // namespace eelgrass::tests
