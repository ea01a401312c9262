#pragma once

#include "base/DeferredCalls.h"
#include "decisions/SharedRetryBudget.h"
#include "router/Metrics.h"
#include "serving/ConfigurationFollower.h"
#include "serving/MemberQuotas.h"
#include "serving/RateLimits.h"
#include "serving/ReplicaAvailability.h"
#include "serving/ReplicaDirectory.h"
#include "serving/Settings.h"
#include "serving/StreamOriginLookup.h"
#include "serving/SuspectRequests.h"
#include "serving/UnknownFields.h"

#include <map>

namespace eelgrass::serving {

/// Services and state shared by all requests of one entry, that is, one gateway process.
struct GatewayContext {
    wire::MainLoop& loop;
    const GatewaySettings& settings;
    ConfigurationFollower& configuration;
    ReplicaDirectory& directory;
    router::Metrics& metrics;
    DeferredCalls& deferred;
    SuspectRequests& suspects;
    MemberQuotas& quotas;
    RateLimits& rateLimits;
    ReplicaAvailability& availability;
    UnknownFields& unknownFields;
    StreamOriginLookup& origins;
    std::map<ServiceName, decisions::SharedRetryBudget> budgets {};
    /// Estimated number of entries that share the retry budget.
    std::size_t entries = 6;

    [[nodiscard]] auto now() const -> Moment { return loop.timers().now(); }
    [[nodiscard]] auto budget(const ServiceName& service) -> decisions::SharedRetryBudget&
    {
        return budgets.try_emplace(service, settings.retries).first->second;
    }
};

} // namespace eelgrass::serving
