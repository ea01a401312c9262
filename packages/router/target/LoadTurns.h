#pragma once

#include "decisions/LoadQueue.h"
#include "wire/MainLoop.h"
#include "wire/generated/Peer.capnp.h"

#include <functional>
#include <optional>

namespace eelgrass::router {

/// The turns of one target process at the weight store: asked of the entry that holds the load queue, and taken at the
/// target's own pace while no entry answers.
///
/// ```cpp
/// turns.ask(weight, oldestAt);   // onTurn is called when the turn comes
/// turns.done();                  // after the load
/// ```
class LoadTurns {
public:
    using Listener = wire::schema::EntryListener::Client;
    /// The entry that holds the queue, as far as this target knows; empty when none is connected.
    using Holder = std::function<std::optional<Listener>()>;

    LoadTurns(wire::MainLoop& loop, std::string target, Holder holder);

    auto onTurn(std::function<void()> callback) -> void { onTurn_ = std::move(callback); }
    /// Asks for a turn, or tells the queue that more or others wait now. `weight` is that of the classes who wait.
    auto ask(double weight, Moment oldestAt) -> void;
    [[nodiscard]] auto held() const noexcept -> bool { return held_; }
    /// The load ended, or nothing waits for one any more.
    auto done() -> void;

private:
    auto send() -> void;
    auto answered(std::uint64_t number, bool granted) -> void;
    auto paceAlone() -> void;
    auto begin() -> void;

    wire::MainLoop& loop_;
    std::string target_;
    Holder holder_;
    std::function<void()> onTurn_;
    decisions::LoadRateLimiter pacer_;
    double weight_ = 0;
    Moment oldestAt_ {};
    std::optional<double> askedWeight_;
    std::optional<Listener> askedAt_;
    std::uint64_t number_ = 0;
    Moment heardAt_ {};
    bool held_ = false;
    Timer again_;
};

} // namespace eelgrass::router
