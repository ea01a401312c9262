#pragma once

#include "standins/ReplicaStandin.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace eelgrass::tests {

/// Where a request came into the system.
struct RequestOrigin {
    /// The host that took it from its client.
    std::string host;
    Moment sentAt {};
};
using RequestOrigins = std::map<std::string, RequestOrigin>;

/// Whether a host is excused from what a replica told it between these moments, for example because its process was
/// killed.
using Excused = std::function<bool(const std::string& host, Moment from, Moment until)>;

/// More requests than a replica has to bear from one host.
struct AvailabilityViolation {
    std::string host;
    /// When the replica told the host.
    Moment toldAt {};
    std::size_t arrivals = 0;
};

/// The rule that a replica which turns a request away and asks for rest gets next to nothing more from that host: at
/// most `allowed` requests between `underWay` after its answer and the end of the rest.
struct RestRule {
    std::size_t allowed = 2;
    Duration underWay = 500ms;

    [[nodiscard]] auto violation(const standins::ReplicaStandin& replica, const RequestOrigins& origins,
        const Excused& excused = {}) const -> std::optional<AvailabilityViolation>;
};

/// The rule that a host to which a replica has said that it leaves sends it no request that came later than `bound`
/// after that answer.
struct LeavingRule {
    Duration bound = 2s;

    [[nodiscard]] auto violation(const standins::ReplicaStandin& replica, const RequestOrigins& origins,
        const Excused& excused = {}) const -> std::optional<AvailabilityViolation>;
};

} // namespace eelgrass::tests
