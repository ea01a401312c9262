#pragma once

#include "tests/harness/AgentProcesses.h"

#include <cstddef>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// A request that crashes the replicas that run it, sent again and again at every gateway in turn. Each engine has an
/// agent process beside it.
///
/// Its judge is the users' rule: once three replicas have crashed under one request, it reaches at most three more that
/// are sent later than three seconds after the third crash.
class CrashWorld {
public:
    /// What the platform's list shows of a replica that has crashed.
    enum class Listed { UntilItIsBack, NotAtAll };
    struct Options {
        std::size_t engines = 4;
        std::size_t plain = 0;
        std::size_t gateways = 2;
        standins::ReplicaStandin::Crash crash { .body = "crashing prompt" };
        /// From a crash until the replica's next start, under another name.
        Duration downFor {};
        Listed listed = Listed::UntilItIsBack;
        /// Whether a replica's agent is killed, and starts again, with it.
        bool withAgents = false;
        /// Requests that one replica runs at a time.
        std::size_t slots = 8;
    };
    static constexpr auto requestInterval = Duration(400ms);
    static constexpr auto noticeTime = Duration(3s);
    static constexpr auto maxLateRuns = std::size_t(3);

    explicit CrashWorld(Options options);

    auto world() noexcept -> ServingWorld& { return processes_.world; }
    /// The session of the first gateway with the agent of an engine.
    auto agent(std::size_t engine) -> serving::AgentLink&;
    /// Kills the agent of an engine and starts another one.
    auto restartAgent(std::size_t engine) -> void;
    /// Ends a replica as a crash does; its next start follows.
    auto crash(std::size_t replica) -> void;
    [[nodiscard]] auto replica(std::size_t index) -> standins::ReplicaStandin&;
    [[nodiscard]] auto replicas() const noexcept -> std::size_t { return options_.engines + options_.plain; }
    /// When each crash happened.
    [[nodiscard]] auto crashMoments() const noexcept -> const std::vector<Moment>& { return crashes_; }
    /// Sends the request for so long, to each gateway in turn.
    auto sendFor(Duration time, const ServingWorld::Request& request) -> void;
    /// Sends the request until three replicas have crashed under it, and on until more runs than allowed could be seen.
    auto sendUntilJudged(ServingWorld::Request request) -> void;
    /// Crashes under the request.
    [[nodiscard]] auto crashes() const noexcept -> std::size_t { return crashes_.size(); }
    /// Runs of the request that began later than the notice time after the third crash.
    [[nodiscard]] auto lateRuns() -> std::size_t;
    /// Statuses of the answers to what `sendFor` has sent.
    [[nodiscard]] auto statuses() const noexcept -> const std::vector<int>& { return statuses_; }

private:
    auto startAgain(std::size_t index) -> void;
    auto publish(std::size_t index) -> void;

    Options options_;
    AgentProcesses processes_;
    std::vector<Moment> crashes_;
    std::vector<int> statuses_;
    std::vector<kj::Promise<void>> pending_;
    std::vector<Timer> starts_;
    std::size_t startCount_ = 0;
    std::size_t sent_ = 0;
};

} // namespace eelgrass::tests
