#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>

namespace eelgrass::decisions {

/// Limits the retries of a member's requests to a share of its first attempts.
///
/// Designed for targets that fail or refuse requests while all targets are busy. The limit prevents retries from
/// multiplying the load which caused them, and one member's failures from using up the retries of others. A share of a
/// tenth hides single failures from callers and adds at most a tenth to the load when all requests fail. A small
/// initial credit lets a member with few requests retry at all.
///
/// ```cpp
/// budget.recordFirstAttempt(member);
/// if (tries < RetryBudget::maxTargets && budget.take(member)) ...
/// ```
class RetryBudget {
public:
    /// Number of targets tried for one request; a third refusal shows that the fleet is busy, not just one target.
    static constexpr auto maxTargets = std::size_t(3);

    auto recordFirstAttempt(const MemberId& member) -> void
    {
        auto& credit = creditOf(member);
        credit = std::min(maxCredit, credit + creditPerAttempt);
    }

    /// Whether the request may be retried. Counts the retry if it may.
    [[nodiscard]] auto take(const MemberId& member) -> bool
    {
        auto& credit = creditOf(member);
        if (credit < 1)
            return false;
        credit -= 1;
        return true;
    }

    /// Exponential backoff before retry `number` (starting at 1), with full jitter so that requests that failed
    /// together are not retried together.
    template <std::uniform_random_bit_generator Random>
    [[nodiscard]] static auto backoff(std::size_t number, Random& random) -> Duration
    {
        const auto upperBound = std::min(maxWait, minWait * (Duration::rep(1) << std::min(number, std::size_t(6))));
        return Duration(std::uniform_int_distribution<Duration::rep>(0, upperBound.count())(random));
    }

private:
    static constexpr auto creditPerAttempt = 0.1;
    static constexpr auto maxCredit = 10.0;
    static constexpr auto initialCredit = 3.0;
    static constexpr auto minWait = Duration(25ms);
    static constexpr auto maxWait = Duration(1s);

    auto creditOf(const MemberId& member) -> double&
    {
        return credit_.try_emplace(member, initialCredit).first->second;
    }

    std::map<MemberId, double> credit_;
};

} // namespace eelgrass::decisions
