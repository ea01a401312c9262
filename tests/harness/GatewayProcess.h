#pragma once

#include "serving/Serving.h"
#include "standins/ReplicaStandin.h"
#include "standins/StoreStandin.h"
#include "tests/harness/Process.h"
#include "wire/MainLoop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// A gateway in a process of its own, with a store, an engine, its agent and a plain replica in the test's process. Its
/// routes are those of `servingConfiguration`.
class GatewayProcess {
public:
    struct Options {
        std::chrono::milliseconds grace { 3500 };
        /// Changes the first configuration.
        std::function<void(nlohmann::json&)> configure {};
    };
    GatewayProcess()
        : GatewayProcess(Options {})
    {
    }
    explicit GatewayProcess(const Options& options);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    auto operator=(const GatewayProcess&) -> GatewayProcess& = delete;

    auto loop() -> wire::MainLoop& { return loop_; }
    auto store() -> standins::StoreStandin& { return store_; }
    auto engine() -> standins::ReplicaStandin& { return engine_; }
    auto plain() -> standins::ReplicaStandin& { return plain_; }
    auto process() -> Process& { return *process_; }
    [[nodiscard]] auto port() const -> std::uint16_t { return process_->listeningPort(); }
    /// Where gateways look for the agent of every engine.
    [[nodiscard]] auto agentPort() const -> std::uint16_t { return agent_.port(); }
    [[nodiscard]] auto gracePeriod() const noexcept -> std::chrono::milliseconds { return options_.grace; }
    /// Starts another gateway beside the first one; it lives as long as this object.
    auto addGateway(const std::string& name) -> Process&;

    /// Runs the loop until `done`.
    auto until(const std::function<bool()>& done) -> void;
    auto wait(Duration time) -> void { loop_.wait(loop_.sleep(time)); }
    /// Sends SIGTERM, and SIGKILL when the grace period is over, and waits until the gateway has noticed the first.
    auto beginStop() -> void;
    /// Runs the loop until this long after the SIGTERM.
    auto waitUntilAfterStop(Duration time) -> void;
    /// Waits for the end of the process; its exit code.
    auto awaitEnd() -> int;

private:
    [[nodiscard]] auto startGateway(const std::string& name, const std::string& seeds) -> std::unique_ptr<Process>;

    Options options_;
    wire::MainLoop loop_;
    standins::StoreStandin store_ { loop_.timers() };
    standins::ReplicaStandin engine_ { loop_.timers(), "127.0.0.1", "engine-0", "engine" };
    standins::ReplicaStandin plain_ { loop_.timers(), "127.0.0.1", "plain-0", "plain" };
    serving::AgentRole agent_;
    std::vector<std::string> settings_;
    std::unique_ptr<Process> process_;
    std::vector<std::unique_ptr<Process>> others_;
    Moment stopAt_ {};
    Timer killer_;
};

/// A request to one of its routes as bytes.
struct RawCall {
    std::string path = "/once/x";
    std::string attempt = "attempt-1";
    std::uint64_t deadlineMs = 20000;
    std::string body = "prompt";
    /// Of the base model, on the routes of streams.
    std::string adapter {};
    /// More fields of the head, each with its line end.
    std::string fields {};

    [[nodiscard]] auto text() const -> std::string;
};

} // namespace eelgrass::tests
