#pragma once

#include "decisions/CrashLedger.h"
#include "serving/detail/NewsAge.h"
#include "wire/generated/Agent.capnp.h"

#include <utility>
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
        into[index].setBegun(crash.begun);
        auto shared = into[index].initShared(static_cast<unsigned>(crash.shared.size()));
        for (auto part = 0U; part < shared.size(); ++part)
            shared.set(part, crash.shared[part].value());
    }
}

inline auto fill(
    capnp::List<wire::schema::WholeRun>::Builder into, const std::vector<decisions::WholeRun>& runs, Moment now) -> void
{
    for (auto index = 0U; index < into.size(); ++index) {
        into[index].setHeld(runs[index].held.value());
        into[index].setAgeMs(millisecondsSince(runs[index].begunAt, now));
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
        auto report = decisions::CrashReport { decisions::RequestDigest(crash.getRequest()),
            decisions::StartHash(crash.getStart()), crash.getBreaksBefore(),
            static_cast<decisions::CrashEvidence>(crash.getEvidence()),
            now - Duration(std::chrono::milliseconds(crash.getAgeMs())) };
        for (const auto held : crash.getShared())
            report.shared.emplace_back(held);
        report.begun = crash.getBegun();
        crashes.push_back(std::move(report));
    }
    return crashes;
}

[[nodiscard]] inline auto readWholeRuns(capnp::List<wire::schema::WholeRun>::Reader list, Moment now)
    -> std::vector<decisions::WholeRun>
{
    auto runs = std::vector<decisions::WholeRun>();
    runs.reserve(list.size());
    for (auto run : list)
        runs.push_back(
            { decisions::SharedHash(run.getHeld()), now - Duration(std::chrono::milliseconds(run.getAgeMs())) });
    return runs;
}

} // namespace eelgrass::serving::detail
