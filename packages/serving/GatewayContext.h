#pragma once

#include "base/DeferredCalls.h"
#include "decisions/StopSchedule.h"
#include "router/Metrics.h"
#include "serving/ConfigurationFollower.h"
#include "serving/KeptAnswer.h"
#include "serving/MemberQuotas.h"
#include "serving/RateLimits.h"
#include "serving/ReplicaAvailability.h"
#include "serving/ReplicaDirectory.h"
#include "serving/RetryBudgets.h"
#include "serving/ServedDemand.h"
#include "serving/ServiceKeepers.h"
#include "serving/Settings.h"
#include "serving/StreamOriginLookup.h"
#include "serving/SuspectRequests.h"
#include "serving/UnknownFields.h"

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
    RetryBudgets& retryBudgets;
    ServedDemand& servedDemand;
    ServiceKeepers& serviceKeepers;
    /// Estimated number of entries that share quotas, rate limits and connections.
    std::size_t entries = 6;
    /// Empty until the entry is told to stop.
    std::optional<decisions::StopSchedule> stop {};
    std::shared_ptr<AnswerMemory> answerMemory = std::make_shared<AnswerMemory>();

    [[nodiscard]] auto now() const -> Moment { return loop.timers().now(); }
};

} // namespace eelgrass::serving
