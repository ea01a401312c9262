#pragma once

#include "serving/CallerExchange.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::standins {

/// A small HTTP server on the loop, for stand-ins: keeps connections, hands each request to a handler.
class LoopServer {
public:
    using Handler = std::function<void(const std::shared_ptr<serving::CallerExchange>&, wire::HttpRequestMessage)>;

    LoopServer(TimerService& timers, const std::string& address, std::uint16_t port, Handler handler);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return port_; }
    /// Cuts every connection and takes no new ones until `open`.
    auto close() -> void;
    auto open() -> void;
    /// Resets the connections that carry no request, or all of them.
    auto resetAll() -> void;
    /// Leaves every connection as it is and answers nothing more on it, as if all packets were lost. New connections
    /// are refused until `open`.
    auto fallSilent() -> void;

private:
    auto stopListening() -> void;

    TimerService& timers_;
    std::string address_;
    std::uint16_t port_;
    Handler handler_;
    std::map<serving::CallerConnection*, std::shared_ptr<serving::CallerConnection>> connections_;
    std::unique_ptr<wire::TcpListener> listener_;
    /// Keeps the port from other processes while nothing listens there.
    class PortHolder;
    std::shared_ptr<PortHolder> holder_;
    /// How often it fell silent. Requests on connections from before are not handled.
    std::uint64_t silences_ = 0;
};

/// The users' platform's store, in memory: rows in tables, transactions, long polls.
class StoreStandin {
public:
    explicit StoreStandin(TimerService& timers);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }
    [[nodiscard]] auto endpoint() const -> Endpoint { return { "127.0.0.1", port() }; }
    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;
    auto remove(const std::string& table, const std::string& key) -> void;
    /// The number of reads of a table, not including long polls.
    [[nodiscard]] auto readCount(const std::string& table) const -> std::uint64_t;
    /// The number of long polls that wait for changes.
    [[nodiscard]] auto waitingPolls() const noexcept -> std::size_t { return polls_.size(); }
    /// The number of long polls that were asked for.
    [[nodiscard]] auto pollCount() const noexcept -> std::uint64_t { return pollCount_; }
    [[nodiscard]] auto value(const std::string& table, const std::string& key) const -> std::string;
    /// Forgets what was changed so far: long polls from before get 410.
    auto forgetHistory() -> void { forgotten_ = version_; }
    /// Refuses every call with this status until set to 0.
    auto refuseWith(int status) -> void { refusal_ = status; }
    /// The same, with the long polls that wait.
    auto refuseAll(int status) -> void;
    /// Carries out the next write and cuts the connection in place of an answer.
    auto loseNextWrite() -> void { loseWrite_ = true; }
    /// Moves the store's steady clock, as another process with a clock of its own would.
    auto shiftClock(Duration shift) -> void { clockShift_ += shift; }
    /// Suspends the process that asks, as soon as one of its next long polls has come in, for a while.
    auto suspendAsker(int pid, Duration time, std::uint64_t polls) -> void;
    /// Delays each answer after its rows have been read; its clock is read when the answer is sent.
    auto answerAfter(Duration delay) -> void { answerDelay_ = delay; }
    auto server() noexcept -> LoopServer& { return server_; }

private:
    struct Row {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    struct Poll {
        std::shared_ptr<serving::CallerExchange> caller;
        std::string table;
        std::uint64_t after = 0;
        Timer timer;
    };
    using Caller = std::shared_ptr<serving::CallerExchange>;

    auto handle(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    /// Keys in [from, to), and the maximum number of rows. An empty `to` and a `limit` of 0 mean no bound.
    struct Range {
        std::string from;
        std::string to;
        std::uint64_t limit = 0;
    };
    auto read(const Caller& caller, const std::string& table, const Range& range) -> void;
    auto follow(const Caller& caller, const std::string& table, std::uint64_t after, Duration wait) -> void;
    auto transact(const Caller& caller, const std::string& body) -> void;
    /// Calls of a test to a store in a process of its own: changes of rows, and faults.
    auto control(const Caller& caller, const wire::HttpRequestMessage& request) -> void;
    auto answerPolls() -> void;
    auto suspendIfAsked() -> void;
    auto answer(const Caller& caller, int status, nlohmann::json body) -> void;
    /// The rows of a table that have changed since; null if there are none.
    [[nodiscard]] auto changes(const std::string& table, std::uint64_t after) const -> nlohmann::json;

    TimerService& timers_;
    std::map<std::string, std::map<std::string, Row>> tables_;
    std::map<std::string, std::uint64_t> readCounts_;
    std::vector<std::unique_ptr<Poll>> polls_;
    std::uint64_t pollCount_ = 0;
    std::uint64_t version_ = 1;
    std::uint64_t forgotten_ = 0;
    int refusal_ = 0;
    bool loseWrite_ = false;
    Duration clockShift_ {};
    Duration answerDelay_ {};
    struct Suspension {
        int pid = 0;
        Duration time {};
        std::uint64_t pollsLeft = 0;
        Timer end;
    };
    Suspension suspension_;
    std::list<Timer> delayedAnswers_;
    LoopServer server_;
};

} // namespace eelgrass::standins
