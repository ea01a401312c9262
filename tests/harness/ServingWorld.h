#pragma once

#include "serving/Serving.h"
#include "standins/FaultProxy.h"
#include "standins/ReplicaStandin.h"
#include "standins/StoreStandin.h"
#include "tests/harness/AvailabilityRules.h"
#include "tests/harness/StreamCaller.h"
#include "wire/HttpCaller.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Routes `/resumable/`, `/whole/` (streams that may and may not go on elsewhere), `/safe/`, `/once/` (plain) and one
/// that only this version has, `/vVERSION/`; `/once/` goes to `onceService`.
[[nodiscard]] auto servingConfiguration(std::uint64_t version, const std::string& onceService = "plain") -> std::string;

/// The serving layer on the users' platform, in one process on one loop: the real roles against stand-ins that speak
/// the published protocol, over loopback.
///
/// Its routes are those of `servingConfiguration`.
class ServingWorld {
public:
    /// Engine replicas, each on a loopback address of its own with an agent beside it, and plain replicas.
    ServingWorld(std::size_t engines, std::size_t plain);
    ~ServingWorld();
    ServingWorld(const ServingWorld&) = delete;
    auto operator=(const ServingWorld&) -> ServingWorld& = delete;

    /// What the gateways are told that are started from now on; hosts, ports and seeds are set for each, and the store
    /// where none is named.
    auto settings() -> serving::GatewaySettings& { return settings_; }
    /// Starts one more gateway; returns when it is ready and its agents have spoken, or at once if not to `wait`.
    auto startGateway(bool wait = true, const std::string& zone = "zone-1", const std::string& address = "127.0.0.1")
        -> serving::GatewayRole&;
    auto engine(std::size_t index) -> standins::ReplicaStandin& { return *engines_.at(index); }
    auto plain(std::size_t index) -> standins::ReplicaStandin& { return *plain_.at(index); }
    auto store() -> standins::StoreStandin& { return store_; }
    auto gateway(std::size_t index = 0) -> serving::GatewayRole& { return *gateways_.at(index); }
    auto loop() -> wire::MainLoop& { return loop_; }
    /// Ends one without a word, as a kill does.
    auto stopGateway(std::size_t index) -> void;
    [[nodiscard]] auto gateways() const noexcept -> std::size_t { return gateways_.size(); }
    /// Agent beside an engine; none after `stopAgent`.
    auto stopAgent(std::size_t index) -> void;
    auto startAgent(std::size_t index) -> void;
    /// Starts the agent beside an engine anew, behind a proxy that gateways reach in its place.
    auto startProxiedAgent(std::size_t index) -> standins::FaultProxy&;
    /// Of every agent.
    [[nodiscard]] auto agentPort() const noexcept -> std::uint16_t { return agentPort_; }

    /// A client's request to the first gateway, by a connection of its own.
    struct Request {
        std::string path = "/resumable/x";
        std::string method = "POST";
        std::string attempt = "attempt-1";
        std::string adapter = "a1";
        std::string body = "prompt";
        std::uint64_t deadlineMs = 4000;
        /// Shared parts of the prompt.
        std::string prefix = "aa:60,bb:40";
        /// Prompt and answer.
        std::string tokenCount = "100,20";
        wire::HeaderFields more {};
        /// The first one that was started, if not named.
        std::optional<std::size_t> gateway {};
    };
    /// The answer; status 0 for a connection that ended before the answer was whole.
    [[nodiscard]] auto ask(const Request& request) -> wire::HttpAnswer;
    /// What the client has when its connection ends, also of an answer that breaks off or that it leaves; see
    /// `StreamCaller`.
    [[nodiscard]] auto receive(const Request& request, const std::string& leaveAfter = {}) -> ReceivedAnswer;
    /// Whether every gateway knows this version of the adapter.
    [[nodiscard]] auto allKnow(const std::string& adapter, std::uint64_t version) const -> bool;
    [[nodiscard]] auto begin(const Request& request) -> kj::Promise<wire::HttpAnswer>;
    /// Where each request came in; hosts are named by the index of their gateway.
    [[nodiscard]] auto origins() const noexcept -> const RequestOrigins& { return origins_; }
    auto wait(Duration time) -> void { loop_.wait(loop_.sleep(time)); }
    /// Every client closes its connection.
    auto leave() -> void { callers_.clear(); }
    /// Runs the loop until `done`, five seconds at most.
    auto until(const std::function<bool()>& done) -> bool;
    auto publishReplicas() -> void;
    /// Names a version of an adapter, in the store and to the engines, which load it from now on.
    auto nameVersion(const std::string& adapter, std::uint64_t version) -> void;
    auto configure(std::uint64_t version, const std::string& onceService = "plain") -> void;

private:
    auto startAgent(std::size_t index, const std::string& address) -> void;
    [[nodiscard]] auto callOf(const Request& request) -> wire::HttpCall;
    [[nodiscard]] auto portOf(const Request& request) const -> std::uint16_t;
    [[nodiscard]] auto hostSettings(const std::string& name, const std::string& address,
        const std::string& zone = "zone-1") const -> serving::HostSettings;

    wire::MainLoop loop_;
    standins::StoreStandin store_;
    std::vector<std::unique_ptr<standins::ReplicaStandin>> engines_;
    std::vector<std::unique_ptr<standins::ReplicaStandin>> plain_;
    std::vector<std::unique_ptr<serving::AgentRole>> agents_;
    std::vector<std::unique_ptr<standins::FaultProxy>> proxies_;
    std::vector<std::unique_ptr<serving::GatewayRole>> gateways_;
    std::vector<std::unique_ptr<wire::HttpCaller>> callers_;
    RequestOrigins origins_;
    serving::GatewaySettings settings_;
    std::uint16_t agentPort_ = 0;
    /// Of the first gateway, also when it has stopped listening.
    std::uint16_t clientPort_ = 0;
};

} // namespace eelgrass::tests
