#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::chaos {

/// A source of choices that depends on its seed alone, whatever library it is built with.
class Choices {
public:
    explicit Choices(std::uint64_t seed)
        : engine_(seed)
    {
    }

    /// A number from 0 to `bound - 1`.
    auto below(std::uint64_t bound) -> std::uint64_t { return engine_() % bound; }
    auto between(std::uint64_t least, std::uint64_t most) -> std::uint64_t { return least + below(most - least + 1); }
    /// True in `percent` of a hundred.
    auto chance(std::uint64_t percent) -> bool { return below(100) < percent; }

private:
    std::mt19937_64 engine_;
};

/// How many processes a run has; today's size of both deployments by default.
struct Size {
    int engines = 9;
    int services = 3;
    int entries = 3;
    int callersPerEntry = 4;
    std::chrono::milliseconds time { 4000 };
};

enum class FaultKind {
    KillEntry,
    KillTarget,
    KillEngine,
    KillService,
    FreezeEntry,
    FreezeTarget,
    FreezeEngine,
    FreezePlatform,
    StopEntry,
    StopTarget,
    PlatformDown,
    PlatformSlow,
    PlatformLosesAnswers,
    HostListLags,
    WeightStoreFails,
    LoadsFail,
    EngineCold,
    EngineLosesAnswers,
    EngineHangs,
    EngineMisnames,
    EngineIgnoresFence,
    ServiceLosesAnswers,
    ServiceHangs,
    CutTarget,
    SilenceTarget,
    HalfOpenTarget,
    DelayTarget,
    ReorderTarget,
    CrashRequest,
};

[[nodiscard]] auto toString(FaultKind kind) -> std::string_view;

/// One fault of a run. Its victim is the process that it strikes, `platform`, or empty for a fault that comes from a
/// caller.
struct Fault {
    FaultKind kind {};
    std::string victim;
    std::chrono::milliseconds at {};
    std::chrono::milliseconds lasts {};
    /// Answers lost, loads failed and the like.
    int count = 0;
};

/// Everything that a seed decides before a run begins.
struct Plan {
    std::uint64_t seed = 0;
    Size size;
    /// Only planned stops and patches: no caller may notice anything.
    bool plannedOnly = false;
    std::vector<Fault> faults;
};

[[nodiscard]] auto makePlan(std::uint64_t seed, const Size& size) -> Plan;

/// Names of the processes of a run.
[[nodiscard]] auto engineTarget(std::uint64_t index) -> std::string;
[[nodiscard]] auto serviceTarget(std::uint64_t index) -> std::string;
[[nodiscard]] auto entryName(std::uint64_t index) -> std::string;

} // namespace eelgrass::chaos
