#pragma once

#include "platform/RequestHeaders.h"
#include "router/Metrics.h"
#include "serving/Replica.h"

namespace eelgrass::serving {

/// The rate limits that replicas announce in their answers, as this entry knows them.
class RateLimits {
public:
    explicit RateLimits(router::Metrics& metrics)
        : metrics_(metrics)
    {
    }

    /// Notes what an answer says about its replica's limit. `requestedAt` is when the request was sent.
    auto observe(Replica& replica, const hosting::AnswerMetadata& answer, Moment requestedAt, Moment now) -> void;
    /// Counts a request that is sent to a replica which has announced a limit.
    auto countSend(const Replica& replica) -> void;

private:
    auto apply(Replica& replica, const decisions::RateLimitStatement& statement, std::string_view source) -> void;

    router::Metrics& metrics_;
};

} // namespace eelgrass::serving
