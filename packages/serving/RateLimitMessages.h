#pragma once

#include "decisions/AnnouncedRateLimit.h"
#include "serving/Types.h"
#include "serving/detail/NewsAge.h"
#include "wire/generated/Agent.capnp.h"

namespace eelgrass::serving {

/// What one start of a replica last said about its rate limit.
struct ReplicaRateLimit {
    ReplicaStart start;
    decisions::RateLimitStatement statement;
};

namespace detail {

inline auto fill(wire::schema::RateLimitStatement::Builder into, const ReplicaRateLimit& limit, Moment now) -> void
{
    const auto& statement = limit.statement;
    into.setInstance(limit.start.instance.str());
    into.setBirth(limit.start.startTime.value());
    into.setLimited(statement.perSecond.has_value());
    into.setPerSecond(statement.perSecond.value_or(0));
    into.setRequestedAgoMs(millisecondsSince(statement.requestedAt, now));
    into.setAnsweredAgoMs(millisecondsSince(statement.answeredAt, now));
}

inline auto readRateLimit(wire::schema::RateLimitStatement::Reader from, Moment now) -> ReplicaRateLimit
{
    return { { InstanceId(from.getInstance().cStr()), StartTime(from.getBirth()) },
        { from.getLimited() ? std::optional(from.getPerSecond()) : std::nullopt,
            now - milliseconds(from.getRequestedAgoMs()), now - milliseconds(from.getAnsweredAgoMs()) } };
}

} // namespace detail

} // namespace eelgrass::serving
