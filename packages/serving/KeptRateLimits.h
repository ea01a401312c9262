#pragma once

#include "decisions/LimitedArrivals.h"
#include "serving/RateLimitRecord.h"

#include <map>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// The rate limits of replicas without an agent, or whose agent does not answer, for which this agent keeps the
/// permits.
class KeptRateLimits {
public:
    explicit KeptRateLimits(router::Metrics& metrics)
        : metrics_(metrics)
    {
    }

    /// Applies what an answer of a replica said. Returns whether the limit in force changed.
    auto apply(const ReplicaRateLimit& limit, std::string_view source, Moment now) -> bool;
    /// The arrivals at a replica; null if it has never announced a limit to this agent.
    [[nodiscard]] auto find(const ReplicaStart& start) -> decisions::LimitedArrivals*;
    /// The last statement of each replica, also of those whose limit has ended.
    [[nodiscard]] auto statements() const -> std::vector<ReplicaRateLimit>;

private:
    struct Kept {
        ReplicaStart start;
        decisions::LimitedArrivals arrivals;
        Moment usedAt {};
    };
    /// Drops the replicas of which nothing was heard for long.
    auto prune(Moment now) -> void;

    router::Metrics& metrics_;
    std::map<InstanceId, Kept> kept_;
};

} // namespace eelgrass::serving
