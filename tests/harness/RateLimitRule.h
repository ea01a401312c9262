#pragma once

#include "standins/ReplicaStandin.h"

#include <cstddef>
#include <optional>

namespace eelgrass::tests {

/// The rule that a replica which has named a rate limit is given no more than that, by all entries together: in any
/// span of `window` at most `overage` times what the limit allows, and `slack` requests beside.
struct RateLimitRule {
    static constexpr auto window = Duration(4s);
    static constexpr auto overage = 1.5;
    static constexpr auto slack = 5.0;

    /// Time from a limit's first naming until the rule holds.
    Duration contact = 3s;

    struct Violation {
        Moment since {};
        std::size_t arrivals = 0;
        double allowed = 0;
    };
    /// The requests that may arrive in one window.
    [[nodiscard]] static auto allowed(double perSecond) -> double
    {
        return overage * perSecond * std::chrono::duration<double>(window).count() + slack;
    }
    /// The first span in which the replica was given too much.
    [[nodiscard]] auto violation(const standins::ReplicaStandin& replica) const -> std::optional<Violation>;
};

} // namespace eelgrass::tests
