#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace eelgrass::decisions {

/// How well a replica answers, by what became of the last requests, whoever sent them.
///
/// Load made for: a replica that goes down and up by turns, or fails a part of its requests, while its own report and
/// health check look well.
/// Harm prevented: every entry finding out by itself, with two lost requests each, at each turn. Kept at the one place
/// that all entries ask, the first failures turn all of them elsewhere.
///
/// Two answers. `failureShare` is a figure to compare with other replicas: where all of them fail alike, as when the
/// requests are the cause, none is worse than another and none may rest. Requests that break off one after another
/// speak for themselves: after three of them the replica rests, and then one request tries at a time, after a rest that
/// grows while the tries fail, so that a replica that flaps comes back slowly. Only what was sent after the rest speaks
/// for it: a stream that began before may still end well on a replica that takes nothing new.
///
/// ```cpp
/// if (breaker.allows(now)) { send(request); breaker.requestSent(); }
/// breaker.connectionBroke(now);
/// ```
class CircuitBreaker {
public:
    [[nodiscard]] auto allows(Moment now) const noexcept -> bool { return !open_ || (now >= openUntil_ && !trying_); }
    /// Whether requests are held back now or go one at a time.
    [[nodiscard]] auto open() const noexcept -> bool { return open_; }
    [[nodiscard]] auto openUntil() const noexcept -> Moment { return openUntil_; }
    /// The share of the last requests that failed or broke off, from 0 to 1; forgotten with time.
    [[nodiscard]] auto failureShare(Moment now) const noexcept -> double;

    /// A request was sent.
    auto requestSent() noexcept -> void { trying_ = open_; }
    /// A request that was sent at `sentAt` began to answer.
    auto succeeded(Moment sentAt, Moment now) noexcept -> void;
    /// The replica answered with a failure of its own.
    auto failed(Moment now) noexcept -> void;
    /// The connection broke before an answer.
    auto connectionBroke(Moment now) noexcept -> void;
    /// A request ended and says nothing, as when its caller left.
    auto endedWithoutResult(Moment sentAt) noexcept -> void;

private:
    auto count(double failure, Moment now) noexcept -> void;

    bool open_ = false;
    bool trying_ = false;
    std::uint32_t breaks_ = 0;
    std::uint32_t rests_ = 0;
    Moment openUntil_ {};
    Moment brokeAt_ {};
    /// As of `countedAt_`.
    double share_ = 0;
    Moment countedAt_ {};
};

} // namespace eelgrass::decisions
