#pragma once

#include "standins/FaultProxy.h"
#include "standins/ReplicaStandin.h"
#include "tests/harness/StoreProcess.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Gateways and a store as processes, which can be stopped and continued, with a plain replica in the test's process.
/// Callers need a key; `/safe/` goes to the replica.
class KeyWorld {
public:
    struct Options {
        std::size_t gateways = 1;
        std::chrono::milliseconds keyBound { 5000 };
        /// The processor cores that all processes share; 0 for all.
        std::size_t cores = 0;
        /// Whether gateways can be turned away by the store one by one.
        bool separateStores = false;
    };
    explicit KeyWorld(Options options, TimerService::Clock clock = eelgrass::now);
    ~KeyWorld();
    KeyWorld(const KeyWorld&) = delete;
    auto operator=(const KeyWorld&) -> KeyWorld& = delete;

    /// Puts the next configuration, with these keys; when the store acknowledged it.
    auto configure(const std::vector<std::string>& keys) -> Moment;
    /// The status of a request to a gateway; 0 without an answer.
    auto ask(std::size_t gateway, const std::string& key, const std::string& attempt) -> kj::Promise<int>;
    auto askNow(std::size_t gateway, const std::string& key) -> int
    {
        return loop.wait(ask(gateway, key, nextAttempt()));
    }
    [[nodiscard]] auto nextAttempt() -> std::string { return "attempt-" + std::to_string(++attempts_); }
    /// How old the configuration was, by the gateway's log, when it was done with a request.
    [[nodiscard]] auto ageToldFor(std::size_t gateway, const std::string& attempt) -> std::chrono::milliseconds;
    auto wait(Duration time) -> void { loop.wait(loop.sleep(time)); }
    auto gateway(std::size_t index) -> Process& { return *gateways_.at(index); }
    /// Where other gateways find one.
    [[nodiscard]] auto peerOf(std::size_t gateway) const -> Endpoint { return { "127.0.0.1", peerPorts_.at(gateway) }; }
    /// The store turns a gateway away from now on and serves the others and the operator.
    auto turnAway(std::size_t gateway) -> void { stores_.at(gateway)->apply({ { "cut", true }, { "refuse", true } }); }
    [[nodiscard]] auto gateways() const noexcept -> std::size_t { return gateways_.size(); }

    wire::MainLoop loop;
    StoreProcess store;
    standins::ReplicaStandin replica;

private:
    auto startGateway(std::size_t index) -> void;

    Options options_;
    std::string folder_;
    std::vector<std::unique_ptr<Process>> gateways_;
    /// The way of each gateway to the store.
    std::vector<std::unique_ptr<standins::FaultProxy>> stores_;
    std::vector<std::uint16_t> ports_;
    std::vector<std::uint16_t> peerPorts_;
    std::vector<std::unique_ptr<wire::HttpCaller>> callers_;
    std::uint64_t version_ = 0;
    std::uint64_t attempts_ = 0;
};

} // namespace eelgrass::tests
