#pragma once

#include "decisions/CrashLedger.h"
#include "serving/detail/NewsAge.h"
#include "wire/generated/Agent.capnp.h"

#include <vector>

/// How messages between processes carry reports on runs that ended without their answers.
namespace eelgrass::serving::detail {

inline auto fill(capnp::List<wire::schema::RequestCrash>::Builder into,
    const std::vector<decisions::CrashReport>& crashes, Moment now) -> void
{
    for (auto index = 0U; index < into.size(); ++index) {
        const auto& crash = crashes[index];
        into[index].setRequest(crash.request.value());
        into[index].setStart(crash.start.value());
        into[index].setBreaksBefore(crash.breaksBefore);
        into[index].setEvidence(static_cast<wire::schema::CrashEvidence>(crash.evidence));
        into[index].setAgeMs(millisecondsSince(crash.at, now));
    }
}

[[nodiscard]] inline auto readCrashes(capnp::List<wire::schema::RequestCrash>::Reader list, Moment now)
    -> std::vector<decisions::CrashReport>
{
    auto crashes = std::vector<decisions::CrashReport>();
    crashes.reserve(list.size());
    for (auto crash : list) {
        // A kind that a later version of the software has added.
        if (crash.getEvidence() > wire::schema::CrashEvidence::CLEARED)
            continue;
        crashes.push_back({ decisions::RequestDigest(crash.getRequest()), decisions::StartHash(crash.getStart()),
            crash.getBreaksBefore(), static_cast<decisions::CrashEvidence>(crash.getEvidence()),
            now - Duration(std::chrono::milliseconds(crash.getAgeMs())) });
    }
    return crashes;
}

} // namespace eelgrass::serving::detail
