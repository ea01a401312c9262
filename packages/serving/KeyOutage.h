#pragma once

#include "router/Metrics.h"
#include "serving/ConfigurationFollower.h"

#include <optional>

namespace eelgrass::serving {

/// Tells in logs and metrics for how long an entry cannot check keys, because its configuration is not confirmed.
class KeyOutage {
public:
    explicit KeyOutage(router::Metrics& metrics);

    /// To be called at an interval, with whether keys can be checked now or need not be.
    auto update(bool usable, const ConfigurationFollower& configuration, Moment now) -> void;

private:
    router::Metrics& metrics_;
    std::optional<Moment> beganAt_;
    /// Until when the outage has been counted.
    Moment countedUntil_ {};
};

} // namespace eelgrass::serving
