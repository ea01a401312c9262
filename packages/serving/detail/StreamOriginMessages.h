#pragma once

#include "serving/StreamOrigins.h"
#include "serving/detail/NewsAge.h"
#include "wire/generated/Agent.capnp.h"

namespace eelgrass::serving::detail {

inline auto fill(wire::schema::StreamOrigin::Builder into, const StreamOrigins::Statement& statement, Moment now)
    -> void
{
    const auto& [stream, known] = statement;
    into.setMember(stream.member.str());
    into.setAttempt(stream.attempt.str());
    into.setService(known.origin.service.str());
    into.setSoftware(known.origin.software.str());
    into.setKeepMs(millisecondsSince(now, known.keptUntil));
    into.setAgeMs(ageOfMoment(known.notedAt, now));
}

[[nodiscard]] inline auto readStreamId(wire::schema::StreamOrigin::Reader origin) -> StreamId
{
    return { MemberId(origin.getMember().cStr()), AttemptId(origin.getAttempt().cStr()) };
}

[[nodiscard]] inline auto readKnown(wire::schema::StreamOrigin::Reader origin, Moment now) -> StreamOrigins::Known
{
    return { .origin = { ServiceName(origin.getService().cStr()), SoftwareVersion(origin.getSoftware().cStr()) },
        .notedAt = now - Duration(milliseconds(origin.getAgeMs())),
        .keptUntil = now + Duration(milliseconds(origin.getKeepMs())) };
}

/// Notes the origin of a stream, if the message names one.
inline auto note(StreamOrigins& origins, wire::schema::StreamOrigin::Reader origin, Moment now) -> void
{
    const auto stream = readStreamId(origin);
    if (!stream.attempt.empty())
        origins.note(stream, readKnown(origin, now).origin, now, Duration(milliseconds(origin.getKeepMs())));
}

} // namespace eelgrass::serving::detail
