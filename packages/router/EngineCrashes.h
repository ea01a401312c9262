#pragma once

#include "decisions/CrashLedger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrass::router {

/// Crashes of engines under requests, booked for the request and for the weights that it ran on, with the ledger that
/// the users' side has too.
///
/// A request is a suspect after its first crash and runs alone from then on. A crash of a run that was alone counts
/// twice, as nothing else can have caused it: the second one refuses the request. Weights are refused as findCulprits
/// says: three requests that crashed engines with them, and no whole run since.
class EngineCrashes {
public:
    /// What a run of a request with this digest holds; no weights for a plain service.
    [[nodiscard]] static auto contentOf(const std::string& digest, const ModelName& model) -> decisions::RunContent;
    /// The number of a start of an engine, by the name that the engine gives it.
    [[nodiscard]] static auto numberOf(const std::string& incarnation) -> std::uint64_t;
    /// One start of a target's engine, the same at every process.
    [[nodiscard]] static auto startOf(const TargetId& target, std::uint64_t engineStart) -> decisions::StartHash;

    auto record(const decisions::RunContent& content, decisions::StartHash start, bool alone, Moment now) -> void;
    auto apply(const decisions::CrashReport& report, Moment now) -> void { (void)ledger_.apply(report, now); }
    /// A refused request stays refused, even if a run that began earlier succeeds.
    auto succeeded(const decisions::RunContent& content, Moment begunAt, Moment now) -> void;
    [[nodiscard]] auto crashes(const decisions::RunContent& content, Moment now) const -> std::uint32_t;
    /// Everything for which a run with this is refused.
    [[nodiscard]] auto refusals(const decisions::RunContent& content, Moment now) const
        -> std::vector<decisions::CrashLedger::Verdict>
    {
        return ledger_.refusals(content, now);
    }
    [[nodiscard]] auto reports(Moment now) const { return ledger_.reports(now); }
    auto expire(Moment now) -> void { (void)ledger_.expire(now); }

private:
    decisions::CrashLedger ledger_;
};

} // namespace eelgrass::router
