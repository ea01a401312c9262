#pragma once

#include "decisions/LoadQueue.h"
#include "wire/MainLoop.h"
#include "wire/generated/Peer.capnp.h"

#include <functional>
#include <optional>

namespace eelgrass::router {

/// Limits how often one target process loads from the weight store. Turns are requested from the entry that holds the
/// load queue; while no entry answers, the target takes turns at a fixed rate of its own.
///
/// ```cpp
/// turns.requestTurn(weight, oldestAt);   // onTurn is called when the turn comes
/// turns.releaseTurn();                   // after the load
/// ```
class LoadTurns {
public:
    using Listener = wire::schema::EntryListener::Client;
    /// Finds the connected entry that holds the load queue; empty when no entry is connected.
    using FindQueueHolder = std::function<std::optional<Listener>()>;

    LoadTurns(wire::MainLoop& loop, std::string target, FindQueueHolder findHolder);

    auto onTurn(std::function<void()> callback) -> void { onTurn_ = std::move(callback); }
    /// Requests a turn. A request that was already sent is updated at once if `weight` has risen, and otherwise when
    /// the request is next repeated. `weight` is the weight of the classes whose requests wait for the load; `oldestAt`
    /// is when the oldest of these requests was accepted.
    auto requestTurn(double weight, Moment oldestAt) -> void;
    [[nodiscard]] auto hasTurn() const noexcept -> bool { return hasTurn_; }
    /// Ends the turn, or withdraws the request for one, when the load has ended or nothing waits for a load any more.
    auto releaseTurn() -> void;

private:
    auto send() -> void;
    auto handleAnswer(std::uint64_t number, bool granted) -> void;
    auto paceLocally() -> void;
    auto startTurn() -> void;

    wire::MainLoop& loop_;
    std::string target_;
    FindQueueHolder findHolder_;
    std::function<void()> onTurn_;
    decisions::LoadRateLimiter rateLimiter_;
    double weight_ = 0;
    Moment oldestAt_ {};
    std::optional<double> requestedWeight_;
    std::optional<Listener> requestedFrom_;
    std::uint64_t lastRequest_ = 0;
    Moment lastAnswerAt_ {};
    bool hasTurn_ = false;
    Timer retryTimer_;
};

} // namespace eelgrass::router
