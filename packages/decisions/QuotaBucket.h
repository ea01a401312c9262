#pragma once

#include "base/Clock.h"

namespace eelgrass::decisions {

/// A member's limit, in units that its requests count.
struct QuotaRate {
    double perSecond = 0;
    /// Beside, at once.
    double burst = 0;
    /// By how much the limit may be passed for a moment: entries that lose sight of each other, or of those that count,
    /// for a moment must not refuse what is below it.
    double lenience = 0;
};

/// Counts what one member was granted, against its limit.
///
/// Load made for: a member that sends many times its limit beside others, through many entries.
/// Harm prevented: replicas taken up by what nobody has a right to. A request is granted while the level is not below
/// `-lenience`, and takes the level down by what it counts; so one that is larger than the burst is granted as well,
/// and paid for by those behind it. Who is refused is told when its turn comes behind those who were refused before, or
/// all of them would come back at the same moment.
///
/// ```cpp
/// const auto verdict = bucket.take(tokens, now);
/// ```
class QuotaBucket {
public:
    struct Verdict {
        bool granted = false;
        /// When there will be credit, if it was not granted.
        Duration retryAfter {};
    };

    auto setRate(const QuotaRate& rate, Moment now) noexcept -> void;
    [[nodiscard]] auto take(double amount, Moment now) noexcept -> Verdict;
    /// Granted elsewhere; given back where it is negative.
    auto charge(double amount, Moment now) noexcept -> void;
    /// Whoever else counts has no more than that left.
    auto capLevel(double level, Moment now) noexcept -> void;
    [[nodiscard]] auto level(Moment now) noexcept -> double;

private:
    auto refill(Moment now) noexcept -> void;

    QuotaRate rate_;
    double level_ = 0;
    /// What was refused and told to come back, and has not had its turn.
    double told_ = 0;
    Moment at_ {};
};

} // namespace eelgrass::decisions
