#include "tests/chaos/Plan.h"

#include <array>

namespace eelgrass::chaos {

namespace {

constexpr auto names = std::array { "kill_entry", "kill_target", "kill_engine", "kill_service", "freeze_entry",
    "freeze_target", "freeze_engine", "freeze_platform", "stop_entry", "stop_target", "platform_down", "platform_slow",
    "platform_loses_answers", "host_list_lags", "weight_store_fails", "loads_fail", "engine_cold",
    "engine_loses_answers", "engine_hangs", "engine_misnames", "engine_ignores_fence", "service_loses_answers",
    "service_hangs", "cut_target", "silence_target", "half_open_target", "delay_target", "reorder_target",
    "crash_request" };

// Every fourth seed plays planned stops alone, where nothing at all may be noticed.
constexpr auto plannedEvery = 4;

auto victimOf(FaultKind kind, const Size& size, Choices& choices) -> std::string
{
    auto engine = engineTarget(choices.below(static_cast<std::uint64_t>(size.engines)));
    auto service = serviceTarget(choices.below(static_cast<std::uint64_t>(size.services)));
    auto entry = entryName(choices.below(static_cast<std::uint64_t>(size.entries)));
    auto target = choices.chance(75) ? engine : service;
    switch (kind) {
    case FaultKind::KillEntry:
    case FaultKind::FreezeEntry:
    case FaultKind::StopEntry:
        return entry;
    case FaultKind::KillTarget:
    case FaultKind::FreezeTarget:
    case FaultKind::StopTarget:
    case FaultKind::CutTarget:
    case FaultKind::SilenceTarget:
    case FaultKind::HalfOpenTarget:
    case FaultKind::DelayTarget:
    case FaultKind::ReorderTarget:
        return target;
    case FaultKind::KillEngine:
    case FaultKind::FreezeEngine:
    case FaultKind::LoadsFail:
    case FaultKind::EngineCold:
    case FaultKind::EngineLosesAnswers:
    case FaultKind::EngineHangs:
    case FaultKind::EngineMisnames:
    case FaultKind::EngineIgnoresFence:
        return engine + "-behind";
    case FaultKind::KillService:
    case FaultKind::ServiceLosesAnswers:
    case FaultKind::ServiceHangs:
        return service + "-behind";
    case FaultKind::CrashRequest:
        return {};
    default:
        return "platform";
    }
}

} // namespace

auto toString(FaultKind kind) -> std::string_view { return names.at(static_cast<std::size_t>(kind)); }

auto engineTarget(std::uint64_t index) -> std::string { return "t" + std::to_string(index + 1); }
auto serviceTarget(std::uint64_t index) -> std::string { return "s" + std::to_string(index + 1); }
auto entryName(std::uint64_t index) -> std::string { return "e" + std::to_string(index + 1); }

auto makePlan(std::uint64_t seed, const Size& size) -> Plan
{
    constexpr auto leastFaults = 6;
    constexpr auto mostFaults = 16;
    constexpr auto leastMs = 100;
    constexpr auto mostMs = 3500;
    constexpr auto mostCount = 4;
    auto choices = Choices(seed);
    auto plan = Plan { seed, size, seed % plannedEvery == 0, {} };
    const auto number = choices.between(leastFaults, mostFaults);
    const auto time = static_cast<std::uint64_t>(size.time.count());
    for (auto index = std::uint64_t(0); index < number; ++index) {
        auto fault = Fault { .kind = static_cast<FaultKind>(choices.below(names.size())) };
        if (plan.plannedOnly)
            fault.kind = choices.chance(50) ? FaultKind::StopEntry : FaultKind::StopTarget;
        fault.victim = victimOf(fault.kind, size, choices);
        fault.at = std::chrono::milliseconds(choices.below(time));
        fault.lasts = std::chrono::milliseconds(choices.between(leastMs, mostMs));
        fault.count = static_cast<int>(choices.between(1, mostCount));
        plan.faults.push_back(std::move(fault));
    }
    return plan;
}

} // namespace eelgrass::chaos
