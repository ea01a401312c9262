#pragma once

#include "tests/harness/Process.h"
#include "wire/HttpClient.h"
#include "wire/MainLoop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace eelgrass::tests {

using Json = nlohmann::json;
using ProcessPtr = std::unique_ptr<Process>;

/// Keys that every deployment of a test knows.
inline constexpr auto callerKey = "test-caller-key";
inline constexpr auto rivalKey = "test-rival-key";
inline constexpr auto operatorKey = "test-operator-key";
inline constexpr auto sharedSecret = "test-shared-secret";

/// A connection of the deployment that a fault proxy can sit on: caller to entry, entry to target process, target
/// process to its engine or service, and any process to the platform.
enum class Leg { Caller, Target, Behind, Platform };

/// A small deployment on loopback: stand-ins and the system's own processes, each of them real.
///
/// ```cpp
/// auto deployment = Deployment();
/// deployment.addEngineTarget("t1");
/// deployment.addEntry("e1");
/// auto answer = deployment.complete("e1", { { "model", "life" }, { "prompt", "x" } });
/// ```
class Deployment {
public:
    /// Puts a fault proxy on each of `proxied`; it works as a plain passage until `fault` says otherwise.
    explicit Deployment(std::set<Leg> proxied = {});

    wire::MainLoop loop;
    wire::HttpClient http { 256, 30 };
    /// Of the processes that are started from here on.
    std::string logLevel = "INFO";

    auto platform() -> Process& { return *platform_; }
    [[nodiscard]] auto platformUrl() const -> std::string;
    /// Starts an engine stand-in and the target process that owns it, and lists it with the platform.
    auto addEngineTarget(const std::string& name, const std::vector<std::string>& engineFlags = {},
        const std::string& extra = "") -> void;
    auto addServiceTarget(const std::string& name, const std::string& service) -> void;
    /// `extra` is added to the settings file.
    auto addEntry(const std::string& name, const std::string& extra = "") -> void;
    /// Starts a target process again before the engine or service that it had.
    auto restartTarget(const std::string& name) -> void;
    auto restartEntry(const std::string& name) -> void;
    /// Starts the engine of a target again on the port that it had, with nothing loaded.
    auto restartEngine(const std::string& target) -> void;
    /// Starts a second process for a target beside the one that it has, as a replacement does whose predecessor is only
    /// frozen; the one it has goes on under the name `<name>-old`.
    auto replaceTarget(const std::string& name) -> void;

    /// Starts a process, engine or service that ended again, on its old place; kept when it is ready to serve.
    auto relaunch(const std::string& name) -> kj::Promise<void>;
    /// Takes an ended process out and returns it, so that what it logged can be read.
    auto take(const std::string& name) -> ProcessPtr;
    [[nodiscard]] auto find(const std::string& name) -> Process*;
    [[nodiscard]] auto names() const -> std::vector<std::string>;

    auto target(const std::string& name) -> Process& { return *processes_.at(name); }
    auto entry(const std::string& name) -> Process& { return *processes_.at(name); }
    auto engine(const std::string& target) -> Process& { return *processes_.at(target + "-behind"); }
    [[nodiscard]] auto entryUrl(const std::string& name) const -> std::string { return urls_.at(name); }
    [[nodiscard]] auto behindUrl(const std::string& target) const -> std::string
    {
        return urls_.at(target + "-behind");
    }

    /// Configuration with members `armor-a` and `armor-b`, adapters `life` (1, 2 in force) and `mode`, and the service
    /// `catalogue`; accepted as version 1 and in force at every entry.
    auto configure(const std::vector<std::string>& entries, Json extra = Json::object()) -> void;
    auto awaitVersion(const std::string& entry, std::uint64_t version) -> void;
    auto awaitReady(const std::string& entry) -> void;

    auto call(const std::string& entry, const std::string& path, const std::string& body,
        std::vector<std::pair<std::string, std::string>> headers = {}, const std::string& method = "POST")
        -> wire::HttpResponse;
    auto callLater(const std::string& entry, const std::string& path, const std::string& body,
        std::vector<std::pair<std::string, std::string>> headers = {}, const std::string& method = "POST")
        -> kj::Promise<wire::HttpResponse>;
    auto complete(const std::string& entry, const Json& body) -> wire::HttpResponse;
    auto patch(const std::string& entry, std::uint64_t base, const Json& patch) -> wire::HttpResponse;
    auto status(const std::string& entry) -> Json;
    /// Posts to a stand-in's controls.
    auto control(const std::string& url, const Json& body) -> Json;
    auto controlLater(const std::string& url, const Json& body) -> kj::Promise<Json>;
    /// Sets a fault on the leg of this entry or target; see `FaultProxy` for what `settings` may hold.
    auto fault(const std::string& name, Leg leg, const Json& settings) -> Json;
    auto faultLater(const std::string& name, Leg leg, const Json& settings) -> kj::Promise<void>;
    /// Lists, relists or removes (`state`: `live`, `leaving`, `gone`) a target with the platform.
    auto list(const std::string& target, const std::string& state = "live") -> void;

private:
    struct Launch {
        std::string program;
        std::vector<std::string> arguments;
    };
    struct TargetPlace {
        std::string settings;
        std::string serves;
        std::uint16_t port = 0;
        std::vector<std::string> engineFlags;
        std::uint16_t enginePort = 0;
    };
    auto launch(const std::string& name) -> Process&;
    auto startBehind(const std::string& name, std::vector<std::string> flags) -> std::uint16_t;
    auto becomeReady(const std::string& name) -> kj::Promise<void>;
    auto entered(const std::string& name) -> kj::Promise<void>;
    [[nodiscard]] auto hostRow(const std::string& target, const std::string& state) const -> Json;
    struct Proxy {
        ProcessPtr process;
        std::uint16_t port = 0;
        std::string controlUrl;
    };
    /// The port to use in place of `upstream` on this leg: the proxy's, or `upstream` where there is none.
    auto through(const std::string& name, Leg leg, std::uint16_t upstream) -> std::uint16_t;
    /// The same for a process that started again; the proxy leads to its new port when the promise is kept.
    auto throughAgain(const std::string& name, Leg leg, std::uint16_t upstream) -> kj::Promise<std::uint16_t>;
    auto common(const std::string& name) -> std::string;
    auto startTarget(const std::string& name) -> void;
    auto startEntry(const std::string& name, const std::string& extra = "") -> void;
    auto writeFile(const std::string& name, const std::string& text) -> std::string;

    std::set<Leg> proxied_;
    std::string folder_;
    ProcessPtr platform_;
    std::map<std::pair<std::string, Leg>, Proxy> proxies_;
    std::map<std::string, ProcessPtr> processes_;
    std::map<std::string, Launch> launches_;
    std::map<std::string, std::string> urls_;
    std::map<std::string, TargetPlace> targets_;
};

} // namespace eelgrass::tests
