#include "tests/harness/AvailabilityRules.h"

#include <algorithm>
#include <cstdlib>

namespace eelgrass::tests {

namespace {

using Arrival = standins::ReplicaStandin::Arrival;

auto originOf(const Arrival& arrival, const RequestOrigins& origins) -> RequestOrigin
{
    const auto found = origins.find(arrival.attempt);
    return found == origins.end() ? RequestOrigin {} : found->second;
}

/// The first answer that `tells` something and after which `counts` holds for more than `allowed` arrivals from the
/// same host at the same start of the replica.
template <typename Tells, typename Counts>
auto firstViolation(const standins::ReplicaStandin& replica, const RequestOrigins& origins, const Excused& excused,
    std::size_t allowed, Tells&& tells, Counts&& counts) -> std::optional<AvailabilityViolation>
{
    for (const auto& told : replica.arrivals()) {
        if (!tells(told))
            continue;
        const auto host = originOf(told, origins).host;
        auto violation = AvailabilityViolation { host, told.at };
        auto last = told.at;
        for (const auto& arrival : replica.arrivals()) {
            const auto origin = originOf(arrival, origins);
            if (arrival.start != told.start || origin.host != host || !counts(told, arrival, origin))
                continue;
            ++violation.arrivals;
            last = arrival.at;
        }
        if (violation.arrivals > allowed && !(excused && excused(host, told.at, last)))
            return violation;
    }
    return std::nullopt;
}

} // namespace

auto RestRule::violation(const standins::ReplicaStandin& replica, const RequestOrigins& origins,
    const Excused& excused) const -> std::optional<AvailabilityViolation>
{
    return firstViolation(
        replica, origins, excused, allowed, [](const Arrival& told) { return !told.rest.empty(); },
        [this](const Arrival& told, const Arrival& arrival, const RequestOrigin&) {
            const auto rest = std::chrono::duration<double>(std::strtod(told.rest.c_str(), nullptr));
            return arrival.at > told.at + underWay && arrival.at < told.at + std::chrono::duration_cast<Duration>(rest);
        });
}

auto LeavingRule::violation(const standins::ReplicaStandin& replica, const RequestOrigins& origins,
    const Excused& excused) const -> std::optional<AvailabilityViolation>
{
    return firstViolation(
        replica, origins, excused, 0, [](const Arrival& told) { return told.leaving; },
        [this](const Arrival& told, const Arrival&, const RequestOrigin& origin) {
            return origin.sentAt > told.at + bound;
        });
}

} // namespace eelgrass::tests
