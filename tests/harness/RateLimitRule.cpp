#include "tests/harness/RateLimitRule.h"

#include <algorithm>
#include <cstdlib>
#include <vector>

namespace eelgrass::tests {

namespace {

/// Calls `visit(limit, from, to)` for each time in which one limit was named without a break.
template <typename Visit> auto visitLimits(const standins::ReplicaStandin& replica, Visit&& visit) -> void
{
    const auto& announcements = replica.announcements();
    for (auto index = std::size_t(0); index < announcements.size(); ++index) {
        const auto& [since, limit, namedAt] = announcements[index];
        if (namedAt)
            visit(std::strtod(limit.c_str(), nullptr), *namedAt,
                index + 1 < announcements.size() ? announcements[index + 1].since : Moment::max());
    }
}

} // namespace

auto RateLimitRule::violation(const standins::ReplicaStandin& replica) const -> std::optional<Violation>
{
    auto found = std::optional<Violation>();
    visitLimits(replica, [&](double perSecond, Moment since, Moment until) {
        auto moments = std::vector<Moment>();
        for (const auto& arrival : replica.arrivals()) {
            if (arrival.at >= since + contact && arrival.at < until)
                moments.push_back(arrival.at);
        }
        for (auto first = moments.begin(); first != moments.end() && !found; ++first) {
            const auto last = std::lower_bound(first, moments.end(), *first + window);
            const auto arrivals = static_cast<std::size_t>(last - first);
            if (static_cast<double>(arrivals) > allowed(perSecond))
                found = Violation { *first, arrivals, allowed(perSecond) };
        }
    });
    return found;
}

} // namespace eelgrass::tests
