#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace eelgrass::decisions {

/// Circuit breaker of one replica, based on the outcomes of the latest requests of all entries.
///
/// Designed for a replica that goes down and up repeatedly, or fails some of its requests, while its own report and
/// health check show no problem. If each entry detected the failure by itself, every entry would lose two requests each
/// time. The breaker is kept at the one process that all entries ask, so the first failures divert all entries to other
/// replicas.
///
/// `failureShare` serves for comparison with other replicas. If all replicas fail alike, for example because the
/// requests are the cause, none is worse than another, and failures alone never open the breaker. Only broken
/// connections open it: after three in succession the breaker opens, and after a pause it admits one probe request at a
/// time. The pause grows while probes fail, so that a replica which goes down repeatedly is used again only slowly.
/// Only requests sent after the pause close the breaker, since a stream that started earlier may still end well on a
/// replica that accepts no new requests.
///
/// ```cpp
/// if (breaker.allows(now)) { send(request); breaker.requestSent(); }
/// breaker.connectionBroke(now);
/// ```
class CircuitBreaker {
public:
    [[nodiscard]] auto allows(Moment now) const noexcept -> bool { return !open_ || (now >= openUntil_ && !probing_); }
    /// Whether the breaker is open, so that requests are rejected or admitted one at a time.
    [[nodiscard]] auto open() const noexcept -> bool { return open_; }
    [[nodiscard]] auto openUntil() const noexcept -> Moment { return openUntil_; }
    /// The share of the latest requests that failed or whose connection broke, from 0 to 1; decays with time.
    [[nodiscard]] auto failureShare(Moment now) const noexcept -> double;

    /// Records that a request was sent.
    auto requestSent() noexcept -> void { probing_ = open_; }
    /// Records that a request sent at `sentAt` received the start of its answer.
    auto succeeded(Moment sentAt, Moment now) noexcept -> void;
    /// Records that the replica answered with an error of its own.
    auto failed(Moment now) noexcept -> void;
    /// Records that the connection broke before an answer.
    auto connectionBroke(Moment now) noexcept -> void;
    /// Records that a request ended without showing the replica's state, for example because its caller left.
    auto endedWithoutResult(Moment sentAt) noexcept -> void;

private:
    auto recordOutcome(double failure, Moment now) noexcept -> void;

    bool open_ = false;
    bool probing_ = false;
    std::uint32_t consecutiveBreaks_ = 0;
    std::uint32_t openings_ = 0;
    Moment openUntil_ {};
    Moment lastBreakAt_ {};
    /// Share of failures as of `updatedAt_`.
    double failureShare_ = 0;
    Moment updatedAt_ {};
};

} // namespace eelgrass::decisions
