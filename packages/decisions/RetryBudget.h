#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>

namespace eelgrass::decisions {

/// Second and third tries of a member's requests, as a share of its first tries.
///
/// Load made for: targets that fail or refuse while all of them are busy.
/// Harm prevented: retries that multiply the load which caused them, and a member whose failures use up what others
/// could retry. A tenth lets single failures pass unseen and adds no more than a tenth when everything fails; a few
/// tries are saved up so that a member with few calls can retry at all.
///
/// ```cpp
/// budget.firstTry(member);
/// if (tries < RetryBudget::maxTargets && budget.take(member)) ...
/// ```
class RetryBudget {
public:
    /// Targets for one request; a third refusal tells that the fleet is busy, not one target.
    static constexpr auto maxTargets = std::size_t(3);

    auto firstTry(const MemberId& member) -> void
    {
        auto& saved = savedOf(member);
        saved = std::min(mostSaved, saved + share);
    }

    /// Whether one more try may be made; counts it when it may.
    [[nodiscard]] auto take(const MemberId& member) -> bool
    {
        auto& saved = savedOf(member);
        if (saved < 1)
            return false;
        saved -= 1;
        return true;
    }

    /// Wait before try `number` (1 for the first retry): full jitter, so that requests that failed together do not
    /// come back together.
    template <std::uniform_random_bit_generator Random>
    [[nodiscard]] static auto wait(std::size_t number, Random& random) -> Duration
    {
        const auto most = std::min(longestWait, shortestWait * (Duration::rep(1) << std::min(number, std::size_t(6))));
        return Duration(std::uniform_int_distribution<Duration::rep>(0, most.count())(random));
    }

private:
    static constexpr auto share = 0.1;
    static constexpr auto mostSaved = 10.0;
    static constexpr auto savedAtFirst = 3.0;
    static constexpr auto shortestWait = Duration(25ms);
    static constexpr auto longestWait = Duration(1s);

    auto savedOf(const MemberId& member) -> double& { return saved_.try_emplace(member, savedAtFirst).first->second; }

    std::map<MemberId, double> saved_;
};

} // namespace eelgrass::decisions
