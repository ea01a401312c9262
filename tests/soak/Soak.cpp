#include "tests/soak/Soak.h"

#include "platform/Names.h"
#include "tests/harness/CoreLimit.h"
#include "tests/harness/ServingWorld.h"
#include "tests/harness/SharedPort.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

namespace eelgrass::soak {

namespace {

using Json = nlohmann::json;
namespace names = hosting::names;

// Clients wait for so long beyond their deadline.
constexpr auto patience = std::chrono::milliseconds(1500);
constexpr auto turnPeriod = Duration(20ms);
// In runs with releases, so that streams last for long enough to be broken.
constexpr auto eventGap = Duration(40ms);
// In runs with pauses, so that many of them come between two events.
constexpr auto wideEventGap = Duration(300ms);
// So that streams last for half of a stop.
constexpr auto widestEventGap = Duration(800ms);
constexpr auto members = std::size_t(4);
// So that a request outlasts the runs that hold the slots.
constexpr auto demandDeadline = std::chrono::milliseconds(4000);
constexpr auto keyBound = std::chrono::duration_cast<std::chrono::milliseconds>(tests::MemberKeys::bound);

/// Where gateways find an engine and its agent, and where the agent itself listens.
auto engineAddress(std::size_t index) -> std::string { return "127.0.3." + std::to_string(index + 1); }
auto agentAddress(std::size_t index) -> std::string { return "127.0.4." + std::to_string(index + 1); }

} // namespace

auto Soak::clientAddress() -> std::string
{
    constexpr auto base = 64;
    constexpr auto byte = 256;
    const auto pid = static_cast<int>(getpid());
    return "127." + std::to_string(base + pid / byte % base) + "." + std::to_string(pid % byte) + ".1";
}

Soak::Soak(std::uint64_t seed, Size size, std::string folder)
    : random_(seed)
    , limitRandom_(~seed)
    , availabilityRandom_(~seed * 3)
    , versionRandom_(~seed * 5)
    , streamRandom_(~seed * 7)
    , keyRandom_(~seed * 11)
    , crashRandom_(~seed * 13)
    , demandRandom_(~seed * 17)
    , size_(size)
    , folder_(std::move(folder))
    , store_(loop_.timers())
    , keys_(members)
{
    std::filesystem::create_directories(folder_);
    if (size_.releases)
        usual_.eventGap = eventGap;
    if (size_.retries)
        usual_ = { .status = 500, .runsOneOf = 3 };
    plannedStops_ = seed % 2 == 0;
    longStreams_ = plannedStops_ && seed % 4 != 0;
    if (size_.pauses)
        usual_.eventGap = longStreams_ ? widestEventGap : wideEventGap;
    if (size_.keys) {
        sparesFirst_ = seed % 2 == 1;
        storeProcess_ = std::make_unique<tests::StoreProcess>(loop_);
        storeProcess_->settle();
    }
    configure();
    keys_.acknowledgedFirst(loop_.timers().now());
    for (auto index = std::size_t(0); index < size_.plain; ++index)
        plain_.push_back(std::make_unique<standins::ReplicaStandin>(
            loop_.timers(), "127.0.0.1", "plain-" + std::to_string(index), "plain"));
    for (const auto& replica : plain_)
        replica->behave(usual_);
    for (auto index = std::size_t(0); size_.pauses && index < size_.plain; ++index)
        plainLegs_.push_back(std::make_unique<standins::FaultProxy>(
            loop_, standins::FaultProxy::Options { .upstream = plain_[index]->port() }));
    silences_.resize(size_.engines + size_.plain);
    engines_.resize(size_.engines);
    agents_.resize(size_.engines);
    openSessions();
    for (auto index = std::size_t(0); index < size_.engines; ++index)
        startEngine(index);
    if (size_.crashes)
        prepareCrashes();
    if (size_.demand)
        prepareDemand();
    if (size_.prompts > 0)
        preparePrompts();
    publish();
    gateways_.resize(size_.gateways);
    for (auto index = std::size_t(0); index < size_.gateways; ++index) {
        auto& node = gateways_[index];
        node.name = "gateway-" + std::to_string(index);
        node.role = "gateway";
        node.store
            = std::make_unique<standins::FaultProxy>(loop_, standins::FaultProxy::Options { .upstream = storePort() });
        startNode(node);
    }
}

Soak::~Soak() { std::filesystem::remove_all(folder_); }

/// Gateways look for each agent at its engine's address and at one port for all. The ports come before all others of
/// the run, which could take it on one of the addresses.
auto Soak::openSessions() -> void
{
    auto addresses = std::vector<std::string>();
    for (auto index = std::size_t(0); index < size_.engines; ++index) {
        addresses.push_back(engineAddress(index));
        addresses.push_back(agentAddress(index));
    }
    agentPort_ = tests::findSharedPort(addresses);
    for (auto index = std::size_t(0); index < size_.engines; ++index) {
        engines_[index].session = std::make_unique<standins::FaultProxy>(loop_,
            standins::FaultProxy::Options { .address = engineAddress(index),
                .port = agentPort_,
                .upstream = agentPort_,
                .upstreamAddress = agentAddress(index) });
    }
}

auto Soak::startEngine(std::size_t index) -> void
{
    auto& engine = engines_[index];
    const auto name = std::to_string(index);
    engine.replica
        = std::make_unique<standins::ReplicaStandin>(loop_.timers(), "127.0.0.1", "engine-" + name, "engine");
    if (size_.releases)
        engine.replica->setSoftware(softwareVersions.at(index % 2));
    engine.replica->behave(usual_);
    engine.served.push_back({ engine.replica->software(), loop_.timers().now() });
    engine.leg = std::make_unique<standins::FaultProxy>(
        loop_, standins::FaultProxy::Options { .address = engineAddress(index), .upstream = engine.replica->port() });
    auto& node = agents_[index];
    node.name = "agent-" + name;
    node.role = "agent";
    node.store
        = std::make_unique<standins::FaultProxy>(loop_, standins::FaultProxy::Options { .upstream = storePort() });
    startNode(node);
}

auto Soak::writeSettings(Node& node, const std::string& address, const std::string& text) -> void
{
    node.settings = folder_ + "/" + node.name + ".yaml";
    std::ofstream(node.settings) << "name: " << node.name << "\navailability_zone: zone-1\naddress: " << address
                                 << "\nstore: \"127.0.0.1:" << node.store->port()
                                 << "\"\nmetrics_port: 0\ngrace_ms: " << grace().count()
                                 << "\nagent_port: " << agentPort_ << "\n"
                                 << text;
}

auto Soak::retrySettings() const -> std::string
{
    const auto window = std::chrono::duration_cast<std::chrono::milliseconds>(rule().window);
    return "retry_ratio: " + std::to_string(rule().ratio) + "\nretry_slack: " + std::to_string(rule().slack)
        + "\nretry_window_ms: " + std::to_string(window.count()) + "\n";
}

auto Soak::startNode(Node& node) -> void
{
    if (node.role == "agent") {
        const auto index = static_cast<std::size_t>(&node - agents_.data());
        const auto& engine = engines_[index];
        // An agent notices a pause of its replica too.
        const auto replica
            = size_.pauses ? Endpoint { engineAddress(index), engine.leg->port() } : engine.replica->endpoint();
        writeSettings(node, agentAddress(index),
            "replica: \"" + replica.str() + "\"\nservice: engine\n"
                + (node.disturbances.empty() ? "first_start: true\nfirst_write_spread_ms: 0\n" : ""));
    } else {
        auto seeds = std::string();
        for (const auto& gateway : gateways_)
            seeds += gateway.peerPort == 0 ? "" : "  - \"127.0.0.1:" + std::to_string(gateway.peerPort) + "\"\n";
        writeSettings(node, "127.0.0.1",
            retrySettings() + (size_.keys ? "key_bound_ms: " + std::to_string(keyBound.count()) + "\n" : "")
                + "clients: \"" + clientAddress() + ":0\"\nreadiness: \"127.0.0.1:0\"\npeers: \"127.0.0.1:0\"\n"
                + (seeds.empty() ? std::string("seeds: []\n") : "seeds:\n" + seeds));
    }
    judgeLog(node);
    if (node.process)
        node.earlierLog += node.process->log();
    const auto cores = tests::CoreLimit(size_.cores);
    node.process = std::make_unique<tests::Process>(node.name, "eelgrassrouterd",
        std::vector<std::string> { "--role=" + node.role, "--settings=" + node.settings });
    node.port = node.process->listeningPort();
    if (node.role == "gateway")
        node.peerPort = node.process->listeningPort("peer_port");
    node.frozen = node.stopping = false;
    disturbed(node);
}

auto Soak::disturbed(Node& node) -> void
{
    node.disturbedAt = loop_.timers().now();
    node.disturbances.push_back(node.disturbedAt);
}

auto Soak::listEntry(std::size_t replica) const -> std::string
{
    auto entry = Json::parse(replicas().at(replica)->entry());
    if (replica < engines_.size())
        entry["address"] = engineAddress(replica) + ":" + std::to_string(leg(replica).port());
    else if (size_.pauses)
        entry["address"] = "127.0.0.1:" + std::to_string(leg(replica).port());
    if (size_.pauses)
        entry["zone"] = "zone-" + std::to_string(1 + replica % 2);
    return entry.dump();
}

auto Soak::publish() -> void
{
    const auto all = replicas();
    for (auto index = std::size_t(0); index < all.size(); ++index)
        putRow("servers", all[index]->instance(), listEntry(index));
}

auto Soak::putRow(const std::string& table, const std::string& key, const std::string& value) -> void
{
    storeProcess_ ? storeProcess_->put(table, key, value) : store_.put(table, key, value);
}

auto Soak::storePort() const -> std::uint16_t { return storeProcess_ ? storeProcess_->endpoint().port : store_.port(); }

auto Soak::configuration() -> std::string
{
    auto json = Json::parse(tests::servingConfiguration(++version_));
    if (size_.keys)
        json["tenants"] = keys_.json();
    if (size_.pauses)
        vary(json);
    if (size_.prompts > 0)
        addPromptRoutes(json);
    return json.dump();
}

auto Soak::configure() -> void { putRow("op", "config", configuration()); }

auto Soak::number(int least, int most) -> int { return std::uniform_int_distribution<>(least, most)(random_); }

auto Soak::chance(double probability) -> bool { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

auto Soak::later(Duration delay, std::function<void()> step) -> void
{
    steps_.push_back(loop_.timers().after(delay, std::move(step)));
}

auto Soak::requestFor(const std::string& attempt, const std::string& path, const std::string& adapter,
    const std::string& body, std::chrono::milliseconds deadline) -> wire::HttpCall
{
    auto request = wire::HttpCall { .method = "POST", .target = path, .body = body, .timeout = deadline + patience };
    const auto stream = isStreamPath(path);
    requestsSent_[stream ? "engine" : "plain"].push_back(loop_.timers().now());
    request.fields.add("Host", "users.example");
    request.fields.add(names::attemptId, attempt);
    request.fields.add(names::deadline, std::to_string(deadline.count()));
    if (stream) {
        request.fields.add(names::model, "base/" + (adapter.empty() ? drawAdapter() : adapter));
        request.fields.add(names::tokenCount, "100,20");
        request.fields.add(names::promptPrefix, "aa:60,bb:40");
    }
    return request;
}

auto Soak::ask(wire::HttpCaller& caller, std::size_t gateway, const std::string& path, const std::string& adapter,
    const std::string& key) -> kj::Promise<Call>
{
    auto call = Call { .attempt = "attempt-" + std::to_string(++asked_), .path = path, .gateway = gateway };
    call.began = loop_.timers().now();
    if (size_.keys)
        call.key = key.empty() ? keys_.draw(keyRandom_, call.began) : key;
    // One content that breaks off at two replicas is served no more; here each run is to be judged.
    const auto body = size_.namesVersions ? "prompt of " + call.attempt : std::string("prompt");
    call.deadline = drawDeadline(path);
    return send(caller, call, requestFor(call.attempt, path, adapter, body, call.deadline));
}

auto Soak::askForDemand(wire::HttpCaller& caller, std::size_t gateway, const Demand& demand, const std::string& path)
    -> kj::Promise<Call>
{
    auto call = Call { .attempt = "demand-" + std::to_string(++asked_), .path = path, .gateway = gateway };
    call.began = loop_.timers().now();
    if (size_.keys)
        call.key = keys_.draw(keyRandom_, call.began);
    call.deadline = demandDeadline;
    const auto body = "prompt of " + call.attempt;
    auto request = requestFor(call.attempt, path, demand.adapter, body, call.deadline);
    request.fields.set(names::promptPrefix, demand.prefix);
    return send(caller, call, std::move(request));
}

auto Soak::send(wire::HttpCaller& caller, const Call& sent, wire::HttpCall request) -> kj::Promise<Call>
{
    auto call = sent;
    if (!call.key.empty())
        request.fields.add(names::apiKey, call.key);
    auto failure = std::make_shared<std::string>();
    return caller.call(std::move(request))
        .catch_([failure](kj::Exception&& error) {
            *failure = error.getDescription().cStr();
            return wire::HttpAnswer {};
        })
        .then([this, call, failure](wire::HttpAnswer&& answer) mutable {
            call.failure = *failure;
            call.status = answer.status;
            call.body = std::move(answer.body);
            call.sealed = !answer.fields.get(names::seal).empty();
            call.echoed = answer.fields.get(names::attemptId) == call.attempt;
            call.ended = loop_.timers().now();
            return call;
        });
}

auto Soak::drawPath() -> int
{
    // Requests for models are those of the demand.
    if (size_.demand || size_.prompts > 0)
        return number(2, 3);
    return number(0, size_.namesVersions ? 1 : 3);
}

auto Soak::drawAdapter() -> std::string
{
    constexpr auto adapters = 6;
    // Twice in three times the two that versions are named of.
    const auto drawn = number(1, size_.namesVersions ? 3 * adapters : adapters);
    return "a" + std::to_string(drawn <= adapters ? drawn : 1 + drawn % 2);
}

/// Asks on, mostly on connections it has open, until the run is over.
auto Soak::client(std::size_t index) -> kj::Promise<void>
{
    static constexpr auto paths = std::array { "/resumable/x", "/whole/x", "/safe/x", "/once/x" };
    const auto gateway = static_cast<std::size_t>(number(0, static_cast<int>(size_.gateways) - 1));
    // Requests that reach no gateway would be counted for the budget and need none of it.
    if (size_.retries && gateways_[gateway].stopping && !over_)
        return loop_.sleep(soon(20, 120)).then([this, index] { return client(index); });
    const auto port = gateways_[gateway].port;
    auto caller = std::make_shared<wire::HttpCaller>(loop_.timers(), clientAddress(), port);
    const auto times = static_cast<std::size_t>(number(1, size_.retries ? 2 : 8));
    auto work = kj::Promise<void>(kj::READY_NOW);
    for (auto count = std::size_t(0); count < times; ++count) {
        const auto path = std::string(paths.at(static_cast<std::size_t>(drawPath())));
        work = work.then([this, caller, gateway, path, port]() -> kj::Promise<void> {
            // What is asked in a run with pauses is over before the processes are mended.
            if (size_.pauses && over_)
                return kj::READY_NOW;
            // Keys are judged by what the process was asked that serves now.
            if (size_.keys && gateways_[gateway].port != port)
                return kj::READY_NOW;
            return ask(*caller, gateway, path).then([this](Call&& call) {
                // A gateway that has ended its stop refuses at once.
                const auto refused = size_.pauses && call.status == 0;
                calls_.push_back(std::move(call));
                return loop_.sleep(size_.retries || refused ? soon(20, 120) : soon(1, 40));
            });
        });
    }
    // The last call needs its connection until it is over.
    return work.attach(std::shared_ptr<wire::HttpCaller>(caller)).then([this, index]() -> kj::Promise<void> {
        if (over_)
            return kj::READY_NOW;
        return client(index);
    });
}

auto Soak::statuses() const -> std::map<int, int>
{
    auto counts = std::map<int, int>();
    for (const auto& call : calls_)
        ++counts[call.status];
    return counts;
}

auto Soak::writeLogs() -> void
{
    if (size_.logs.empty())
        return;
    std::filesystem::create_directories(size_.logs);
    for (const auto* nodes : { &agents_, &gateways_ }) {
        for (const auto& node : *nodes)
            std::ofstream(size_.logs + "/" + node.name + ".log") << node.earlierLog << node.process->log();
    }
}

auto Soak::play() -> std::vector<std::string>
{
    lastTurn_ = loop_.timers().now();
    turnTimer_ = loop_.timers().every(turnPeriod, [this] {
        const auto now = loop_.timers().now();
        pauses_.push_back({ std::exchange(lastTurn_, now), now });
    });
    loop_.wait(loop_.sleep(500ms));
    auto clients = kj::heapArrayBuilder<kj::Promise<void>>(size_.clients);
    for (auto index = std::size_t(0); index < size_.clients; ++index)
        clients.add(size_.releases && index % 3 != 0 ? streamClient() : client(index));
    auto asking = kj::joinPromises(clients.finish());
    auto faults = size_.faultless ? kj::Promise<void>(kj::READY_NOW) : disturb();
    auto limits = size_.faultless || size_.retries || size_.keys || size_.pauses ? kj::Promise<void>(kj::READY_NOW)
                                                                                 : announceLimits();
    auto availability = size_.faultless ? kj::Promise<void>(kj::READY_NOW)
        : size_.namesVersions           ? nameVersions()
        : size_.releases                ? release()
        : size_.keys                    ? changeKeys()
        : size_.pauses                  ? changeConfiguration()
        : size_.retries                 ? kj::Promise<void>(kj::READY_NOW)
                                        : announceAvailability();
    for (const auto& demand : demand_)
        loop_.spawn(sendDemand(demand));
    if (size_.demand)
        loop_.spawn(slowReplicas());
    for (const auto& kind : promptKinds_)
        loop_.spawn(sendPrompts(kind));
    auto crashing = size_.crashes ? sendCrashing() : kj::Promise<void>(kj::READY_NOW);
    loop_.wait(loop_.sleep(size_.time));
    over_ = true;
    loop_.wait(kj::mv(crashing));
    loop_.wait(kj::mv(faults));
    loop_.wait(kj::mv(limits));
    loop_.wait(kj::mv(availability));
    if (size_.retries)
        usual_ = {};
    for (auto& call : demandCalls_)
        loop_.wait(kj::mv(call));
    if (size_.pauses)
        loop_.wait(kj::mv(asking));
    mendAll();
    if (!size_.pauses)
        loop_.wait(kj::mv(asking));
    for (auto* nodes : { &agents_, &gateways_ })
        std::for_each(nodes->begin(), nodes->end(), [this](Node& node) { judgeLog(node); });
    writeLogs();
    auto broken = broken_;
    judgeRuns(broken);
    judgeRepeats(broken);
    judgeOrders(broken);
    judgeLimits(broken);
    judgeAvailability(broken);
    judgeVersions(broken);
    for (const auto& stream : streams_)
        judgeStream(*stream, broken);
    judgeStreamsGoneOn(broken);
    judgeRecovery(broken);
    judgeNewestVersions(broken);
    judgeKeys(broken);
    judgeLost(broken);
    judgeLivingKeys(broken);
    judgeCrashes(broken);
    judgeDemand(broken);
    return broken;
}

} // namespace eelgrass::soak
