#pragma once

#include "router/Metrics.h"
#include "serving/RateLimitMessages.h"

#include <optional>
#include <string_view>

namespace eelgrass::serving {

/// Writes the log line and the gauge for a change of a replica's rate limit; nothing without a change. `source` says
/// where the statement came from, `before` is the limit that it replaced.
auto recordRateLimitChange(router::Metrics& metrics, decisions::AnnouncedRateLimit::Change change,
    const ReplicaRateLimit& limit, const std::optional<double>& before, std::string_view source, Moment now) -> void;

/// Removes the gauge of a replica that is gone.
auto forgetRateLimitGauge(router::Metrics& metrics, const InstanceId& instance) -> void;

} // namespace eelgrass::serving
