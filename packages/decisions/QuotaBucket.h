#pragma once

#include "base/Clock.h"

namespace eelgrass::decisions {

/// A member's limit, in the units in which its requests are counted.
struct QuotaRate {
    double perSecond = 0;
    /// Units that may be used at once in addition to the rate.
    double burst = 0;
    /// Units by which the limit may be exceeded temporarily, so that entries which briefly lose contact to each other,
    /// or to the agents that count, do not refuse requests below the limit.
    double lenience = 0;
};

/// Token bucket that limits what one member is granted.
///
/// Designed for a member that sends many times its limit through many entries, while other members send requests too.
/// The limit prevents replicas from being occupied by requests beyond it.
///
/// A request is granted if its amount, capped at `burst + lenience`, does not take the level below `-lenience`. The
/// full amount is deducted, so a request larger than the burst can be granted and delays the requests after it. The
/// retry delay of a refused request accounts for the requests refused before it; otherwise all refused requests would
/// be sent again at the same moment.
///
/// ```cpp
/// const auto verdict = bucket.take(tokens, now);
/// ```
class QuotaBucket {
public:
    struct Verdict {
        bool granted = false;
        /// Time until there will be credit, if the request was not granted.
        Duration retryAfter {};
    };

    auto setRate(const QuotaRate& rate, Moment now) noexcept -> void;
    [[nodiscard]] auto take(double amount, Moment now) noexcept -> Verdict;
    /// Refuses a request of this amount, and returns when it may be sent again.
    [[nodiscard]] auto refuse(double amount, Moment now) noexcept -> Duration;
    /// Time until there is credit for the amount, if nothing else is granted before.
    [[nodiscard]] auto timeUntil(double amount, Moment now) const noexcept -> Duration;
    /// Deducts an amount that was granted elsewhere; a negative amount is a refund.
    auto charge(double amount, Moment now) noexcept -> void;
    /// Lowers the level to that of another bucket which counts for the same member.
    auto capLevel(double level, Moment now) noexcept -> void;
    [[nodiscard]] auto level(Moment now) noexcept -> double;

private:
    /// Amount that accrues from the last update until `now`.
    [[nodiscard]] auto accrued(Moment now) const noexcept -> double;
    [[nodiscard]] auto timeFor(double amount, double maxSeconds) const noexcept -> Duration;
    auto refill(Moment now) noexcept -> void;

    QuotaRate rate_;
    double level_ = 0;
    /// Amount of the refused requests whose retry delay has not passed.
    double pendingRetries_ = 0;
    /// When the level was last updated.
    Moment refilledAt_ {};
};

} // namespace eelgrass::decisions
