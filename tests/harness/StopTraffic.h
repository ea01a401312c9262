#pragma once

#include "tests/harness/ByteCaller.h"
#include "tests/harness/GatewayProcess.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// Requests around the SIGTERM of gateways, sent on connections of any kind, and the judgement of what clients and
/// replicas saw: each request that was read whole has a complete answer, unless its own time was over or it is an early
/// stream that its replica worked on to the end of the stop; none is refused that ran, none runs too often.
///
/// ```cpp
/// auto traffic = StopTraffic(world, { &world.engine(), &world.plain() });
/// traffic.at(3200ms, [&] { traffic.ask("/once/x"); });
/// traffic.stop();
/// traffic.finish();
/// BOOST_TEST(traffic.violations().empty());
/// ```
class StopTraffic {
public:
    using Connection = std::size_t;

    /// The time that the routes give a request, beside its deadline.
    StopTraffic(GatewayProcess& world, std::vector<standins::ReplicaStandin*> replicas, Duration routeTime);
    StopTraffic(const StopTraffic&) = delete;
    auto operator=(const StopTraffic&) -> StopTraffic& = delete;

    /// Another process that clients ask; the first one is the world's. Its number.
    auto addGateway(Process& process) -> std::size_t;
    auto open(std::size_t gateway = 0) -> Connection;
    /// Sends a request, all of it but its last bytes.
    auto send(Connection connection, RawCall call, std::size_t heldBack = 0) -> void;
    /// Sends what was held back.
    auto complete(Connection connection) -> void;
    /// Sends a request on a connection of its own.
    auto ask(const RawCall& call, std::size_t gateway = 0) -> Connection;
    /// Opens connections on which a request has been answered.
    auto openKept(std::size_t count, std::size_t gateway = 0) -> std::vector<Connection>;
    auto caller(Connection connection) -> ByteCaller& { return *connections_.at(connection).caller; }

    /// Takes the step so long after the first SIGTERM, which has to come later.
    auto at(Duration afterStop, std::function<void()> step) -> void;
    /// Sends SIGTERM, and SIGKILL when the grace period is over.
    auto stop(std::size_t gateway = 0) -> void;
    /// Waits until the gateways that were stopped have ended and all steps were taken.
    auto finish() -> void;

    /// What is against the rules, a line each with the log lines of the request.
    [[nodiscard]] auto violations() -> std::vector<std::string>;
    /// How many requests ended with each status, or `broken off`, or `not read`.
    [[nodiscard]] auto ends() -> std::map<std::string, int>;
    /// How the requests of a connection ended.
    [[nodiscard]] auto answersOf(Connection connection) -> std::vector<ReceivedAnswer>;

private:
    struct Request {
        RawCall call;
        /// When its first byte was sent, from which its time counts, and its last one.
        Moment begunAt {};
        Moment sentAt {};
        bool whole = false;
    };
    struct Client {
        std::unique_ptr<ByteCaller> caller;
        std::size_t gateway = 0;
        std::vector<Request> requests;
        std::string heldBack;
        Moment endedAt {};
    };
    struct Gateway {
        Process* process = nullptr;
        std::optional<Moment> stoppedAt {};
        Timer killer {};
    };
    using Runs = std::vector<standins::ReplicaStandin::Run>;

    auto noteEnds() -> void;
    [[nodiscard]] auto runsOf(const std::string& attempt) const -> Runs;
    [[nodiscard]] auto arrived(const std::string& attempt) const -> bool;
    [[nodiscard]] auto wasRead(const Client& client, const Request& request) -> bool;
    [[nodiscard]] auto mayHaveNoAnswer(const Client& client, const Request& request, const Runs& runs) const -> bool;
    [[nodiscard]] auto faultOf(const Client& client, std::size_t index, const std::vector<ReceivedAnswer>& answers)
        -> std::string;
    [[nodiscard]] static auto faultOfRuns(const Request& request, const Runs& runs) -> std::string;
    [[nodiscard]] auto story(const Client& client, const Request& request) const -> std::string;
    [[nodiscard]] auto unasked() const -> std::vector<std::string>;

    GatewayProcess& world_;
    std::vector<standins::ReplicaStandin*> replicas_;
    Duration routeTime_;
    std::vector<Gateway> gateways_;
    std::vector<Client> connections_;
    std::vector<std::pair<Duration, std::function<void()>>> planned_;
    std::vector<Timer> steps_;
    std::size_t stepsLeft_ = 0;
    std::size_t asked_ = 0;
    Timer noter_;
};

} // namespace eelgrass::tests
