#include "tests/harness/Deployment.h"

#include "base/Secrets.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace eelgrass::tests {

namespace {

constexpr auto pollPeriod = Duration(10ms);

auto makeFolder() -> std::string
{
    auto name = (std::filesystem::temp_directory_path() / "eelgrass-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error("no folder for settings");
    return name;
}

/// Tells whether a process has ended, with the end of what it wrote: a crash leaves its call stack there.
auto reportEnd(Process& process) -> void
{
    if (process.running())
        return;
    constexpr auto most = std::size_t(4000);
    const auto log = process.log();
    std::cerr << process.name() << " has ended, exit " << process.exitCode() << "\n"
              << log.substr(log.size() > most ? log.size() - most : 0) << "\n";
}

auto loopback(std::uint16_t port) -> std::string { return "http://127.0.0.1:" + std::to_string(port); }

} // namespace

Deployment::Deployment(std::set<Leg> proxied)
    : proxied_(std::move(proxied))
    , folder_(makeFolder())
    , platform_(std::make_unique<Process>(
          "platform", "eelgrass-standin", std::vector<std::string> { "--kind=platform", "--load_ms=50" }))
{
}

auto Deployment::platformUrl() const -> std::string { return loopback(platform_->listeningPort()); }

auto Deployment::through(const std::string& name, Leg leg, std::uint16_t upstream) -> std::uint16_t
{
    if (!proxied_.contains(leg))
        return upstream;
    auto& proxy = proxies_[{ name, leg }];
    if (proxy.process) {
        fault(name, leg, { { "upstream", upstream } });
        return proxy.port;
    }
    proxy.process = std::make_unique<Process>(name + "-proxy", "eelgrass-standin",
        std::vector<std::string> { "--kind=proxy", "--upstream=" + std::to_string(upstream) });
    proxy.port = proxy.process->listeningPort();
    proxy.controlUrl = loopback(proxy.process->listeningPort("control_port")) + "/standin/proxy";
    return proxy.port;
}

auto Deployment::throughAgain(const std::string& name, Leg leg, std::uint16_t upstream) -> kj::Promise<std::uint16_t>
{
    if (!proxied_.contains(leg))
        return upstream;
    const auto port = proxies_.at({ name, leg }).port;
    return faultLater(name, leg, { { "upstream", upstream } }).then([port] { return port; });
}

auto Deployment::faultLater(const std::string& name, Leg leg, const Json& settings) -> kj::Promise<void>
{
    return controlLater(proxies_.at({ name, leg }).controlUrl, settings).ignoreResult();
}

auto Deployment::fault(const std::string& name, Leg leg, const Json& settings) -> Json
{
    return control(proxies_.at({ name, leg }).controlUrl, settings);
}

auto Deployment::common(const std::string& name) -> std::string
{
    const auto port = through(name, Leg::Platform, platform_->listeningPort());
    return "name: " + name + "\nlog_level: " + logLevel
        + "\navailability_zone: zone-1\nplatform: { address: 127.0.0.1, port: " + std::to_string(port)
        + " }\nsecret: " + sharedSecret + "\n";
}

auto Deployment::writeFile(const std::string& name, const std::string& text) -> std::string
{
    auto path = folder_ + "/" + name + ".yaml";
    std::ofstream(path) << text;
    return path;
}

auto Deployment::addEngineTarget(
    const std::string& name, const std::vector<std::string>& engineFlags, const std::string& extra) -> void
{
    auto flags = std::vector<std::string> { "--kind=engine", "--platform=" + platformUrl(), "--step_us=1000" };
    flags.insert(flags.end(), engineFlags.begin(), engineFlags.end());
    const auto port = through(name, Leg::Behind, startBehind(name + "-behind", flags));
    auto place = "target: { kind: engine, serves: base, address: 127.0.0.1, port: " + std::to_string(port) + ", "
        + extra + " }\n";
    targets_[name] = { common(name) + place, "base", 0, flags, processes_[name + "-behind"]->listeningPort() };
    startTarget(name);
}

auto Deployment::addServiceTarget(const std::string& name, const std::string& service) -> void
{
    const auto port = through(name, Leg::Behind, startBehind(name + "-behind", { "--kind=service" }));
    auto place = "target: { kind: service, serves: " + service + ", address: 127.0.0.1, port: " + std::to_string(port)
        + " }\n";
    targets_[name] = { common(name) + place, service, 0 };
    startTarget(name);
}

auto Deployment::startTarget(const std::string& name) -> void
{
    auto& place = targets_.at(name);
    const auto file = writeFile(name, place.settings);
    launches_[name] = { "eelgrassrouterd", { "--role=target", "--settings=" + file } };
    auto& process = launch(name);
    place.port = through(name, Leg::Target, process.listeningPort());
    process.waitForLog("ready");
    urls_[name] = loopback(process.listeningPort("metrics_port"));
    list(name);
}

auto Deployment::launch(const std::string& name) -> Process&
{
    const auto& [program, arguments] = launches_.at(name);
    auto& place = processes_[name];
    place = std::make_unique<Process>(name, program, arguments);
    return *place;
}

auto Deployment::startBehind(const std::string& name, std::vector<std::string> flags) -> std::uint16_t
{
    launches_[name] = { "eelgrass-standin", std::move(flags) };
    const auto port = launch(name).listeningPort();
    // It comes back at the place that its target's settings name.
    launches_[name].arguments.push_back("--port=" + std::to_string(port));
    urls_[name] = loopback(port);
    return port;
}

auto Deployment::relaunch(const std::string& name) -> kj::Promise<void>
{
    launch(name);
    return becomeReady(name);
}

auto Deployment::becomeReady(const std::string& name) -> kj::Promise<void>
{
    auto* process = find(name);
    // It was ended again meanwhile; who ended it starts it.
    if (!process)
        return kj::READY_NOW;
    // The port of an engine or service may be held by a passing connection for a moment. Any other end is a fault,
    // which is left for the test to find.
    if (!process->running() && !name.ends_with("-behind"))
        return kj::READY_NOW;
    if (!process->running())
        return loop.sleep(pollPeriod).then([this, name] { return find(name) ? relaunch(name) : kj::READY_NOW; });
    const auto isTarget = targets_.contains(name);
    if (!process->logged(isTarget ? "ready" : "listening"))
        return loop.sleep(pollPeriod).then([this, name] { return becomeReady(name); });
    if (isTarget) {
        urls_[name] = loopback(process->listeningPort("metrics_port"));
        return throughAgain(name, Leg::Target, process->listeningPort()).then([this, name](std::uint16_t port) {
            targets_.at(name).port = port;
            return controlLater(platformUrl() + "/standin/hosts", hostRow(name, "live")).ignoreResult();
        });
    }
    if (name.ends_with("-behind"))
        return kj::READY_NOW;
    return throughAgain(name, Leg::Caller, process->listeningPort()).then([this, name](std::uint16_t port) {
        urls_[name] = loopback(port);
        return entered(name);
    });
}

auto Deployment::entered(const std::string& name) -> kj::Promise<void>
{
    auto again = [this, name]() -> kj::Promise<void> {
        return loop.sleep(pollPeriod).then([this, name] { return find(name) ? entered(name) : kj::READY_NOW; });
    };
    return callLater(name, "/readyz", "", {}, "GET")
        .then([again](wire::HttpResponse got) -> kj::Promise<void> {
            if (got.status == 200)
                return kj::READY_NOW;
            return again();
        })
        .catch_([again](kj::Exception&&) { return again(); });
}

auto Deployment::take(const std::string& name) -> ProcessPtr
{
    auto node = processes_.extract(name);
    return node.empty() ? nullptr : std::move(node.mapped());
}

auto Deployment::find(const std::string& name) -> Process*
{
    const auto found = processes_.find(name);
    return found == processes_.end() ? nullptr : found->second.get();
}

auto Deployment::names() const -> std::vector<std::string>
{
    auto list = std::vector<std::string>();
    for (const auto& [name, process] : processes_)
        list.push_back(name);
    return list;
}

auto Deployment::list(const std::string& target, const std::string& state) -> void
{
    control(platformUrl() + "/standin/hosts", hostRow(target, state));
}

auto Deployment::hostRow(const std::string& target, const std::string& state) const -> Json
{
    const auto& place = targets_.at(target);
    return { { "target", target }, { "availability_zone", "zone-1" }, { "serves", place.serves },
        { "address", "127.0.0.1" }, { "port", place.port }, { "state", state } };
}

auto Deployment::restartTarget(const std::string& name) -> void
{
    processes_.erase(name);
    startTarget(name);
}

auto Deployment::replaceTarget(const std::string& name) -> void
{
    processes_[name + "-old"] = std::move(processes_.at(name));
    startTarget(name);
}

auto Deployment::restartEngine(const std::string& target) -> void
{
    const auto& place = targets_.at(target);
    auto flags = place.engineFlags;
    flags.push_back("--port=" + std::to_string(place.enginePort));
    processes_.erase(target + "-behind");
    processes_[target + "-behind"] = std::make_unique<Process>(target + "-behind", "eelgrass-standin", flags);
    processes_[target + "-behind"]->listeningPort();
}

auto Deployment::addEntry(const std::string& name, const std::string& extra) -> void { startEntry(name, extra); }

auto Deployment::restartEntry(const std::string& name) -> void
{
    processes_.erase(name);
    startEntry(name);
}

auto Deployment::startEntry(const std::string& name, const std::string& extra) -> void
{
    const auto file = writeFile(name,
        common(name) + "balancer_delay_ms: 100\noperators: [{ name: operator, key_sha256: " + sha256Hex(operatorKey)
            + " }]\n" + extra);
    launches_[name] = { "eelgrassrouterd", { "--role=entry", "--settings=" + file } };
    urls_[name] = loopback(through(name, Leg::Caller, launch(name).listeningPort()));
    awaitReady(name);
}

auto Deployment::awaitReady(const std::string& entry) -> void
{
    while (call(entry, "/readyz", "", {}, "GET").status != 200)
        loop.wait(loop.sleep(10ms));
}

auto Deployment::awaitVersion(const std::string& entry, std::uint64_t version) -> void
{
    while (status(entry).at("config_version").get<std::uint64_t>() < version)
        loop.wait(loop.sleep(10ms));
}

auto Deployment::configure(const std::vector<std::string>& entries, Json extra) -> void
{
    const auto keyed = [](const char* key) { return Json { { "keys", { { sha256Hex(key), Json::object() } } } }; };
    auto document = Json {
        { "members", { { "armor-a", keyed(callerKey) }, { "armor-b", keyed(rivalKey) } } },
        { "adapters",
            { { "life",
                  { { "base", "base" }, { "in_force", 2 }, { "allow", { "armor-a" } },
                      { "versions", { { "1", { { "digest", "aa" } } }, { "2", { { "digest", "bb" } } } } } } },
                { "mode",
                    { { "base", "base" }, { "in_force", 1 }, { "allow", { "armor-a", "armor-b" } },
                        { "versions", { { "1", { { "digest", "cc" } } } } } } } } },
        { "services", { { "catalogue", { { "allow", { "armor-a" } }, { "never_repeat", { "POST /lookups" } } } } } },
    };
    document.merge_patch(extra);
    const auto accepted = patch(entries.front(), 0, document);
    if (accepted.status != 200)
        throw std::runtime_error("the configuration was refused: " + accepted.body);
    for (const auto& entry : entries)
        awaitVersion(entry, 1);
}

auto Deployment::callLater(const std::string& entry, const std::string& path, const std::string& body,
    std::vector<std::pair<std::string, std::string>> headers, const std::string& method)
    -> kj::Promise<wire::HttpResponse>
{
    auto keyed = false;
    for (const auto& [name, value] : headers)
        keyed = keyed || name == "Authorization";
    if (!keyed)
        headers.emplace_back("Authorization", std::string("Bearer ") + callerKey);
    return http.fetch({ .method = method, .url = entryUrl(entry) + path, .body = body, .headers = std::move(headers) });
}

auto Deployment::call(const std::string& entry, const std::string& path, const std::string& body,
    std::vector<std::pair<std::string, std::string>> headers, const std::string& method) -> wire::HttpResponse
{
    try {
        return loop.wait(callLater(entry, path, body, std::move(headers), method));
    } catch (const kj::Exception&) {
        if (auto* process = find(entry))
            reportEnd(*process);
        throw;
    }
}

auto Deployment::complete(const std::string& entry, const Json& body) -> wire::HttpResponse
{
    return call(entry, "/v1/completions", body.dump());
}

auto Deployment::patch(const std::string& entry, std::uint64_t base, const Json& patch) -> wire::HttpResponse
{
    return call(entry, "/admin/v1/config", patch.dump(),
        { { "Authorization", std::string("Bearer ") + operatorKey }, { "If-Match", '"' + std::to_string(base) + '"' } },
        "PATCH");
}

auto Deployment::status(const std::string& entry) -> Json
{
    return Json::parse(
        call(entry, "/admin/v1/status", "", { { "Authorization", std::string("Bearer ") + operatorKey } }, "GET").body);
}

auto Deployment::control(const std::string& url, const Json& body) -> Json
{
    return loop.wait(controlLater(url, body));
}

auto Deployment::controlLater(const std::string& url, const Json& body) -> kj::Promise<Json>
{
    return http.fetch({ .method = "POST", .url = url, .body = body.dump() }).then([](wire::HttpResponse got) {
        return Json::parse(got.body);
    });
}

} // namespace eelgrass::tests
