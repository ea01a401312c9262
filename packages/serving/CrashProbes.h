#pragma once

#include "base/Ids.h"
#include "decisions/ProbeLeases.h"
#include "serving/ReplicaDirectory.h"

#include <cstdint>
#include <map>
#include <set>

namespace eelgrass::serving {

/// The probes of this entry: requests that are sent although they are refused, to learn whether they still crash
/// replicas. All entries share the probes, which one agent grants for each thing that is refused; without agents each
/// entry grants its own.
///
/// A request is not held up to ask for a probe: it is refused, and a later one is the probe.
///
/// ```cpp
/// if (refused && !probes.claim(key, attempt)) refuse();
/// ```
class CrashProbes {
public:
    CrashProbes(wire::MainLoop& loop, const ReplicaDirectory& directory)
        : loop_(loop)
        , directory_(directory)
    {
    }

    /// Makes the attempt the probe if this entry has been granted one that nobody has claimed; asks for one if not.
    [[nodiscard]] auto claim(std::uint64_t key, const AttemptId& attempt) -> bool;
    /// Whether the attempt is the probe, which has not begun to run.
    [[nodiscard]] auto isProbe(std::uint64_t key, const AttemptId& attempt) const -> bool;
    /// The attempt is about to run, and is not repeated if it breaks off.
    auto runBegan(const AttemptId& attempt) -> void;

private:
    struct Probe {
        Moment until {};
        /// Empty while nobody has claimed it.
        AttemptId attempt;
    };
    [[nodiscard]] auto now() const -> Moment { return loop_.timers().now(); }
    auto ask(std::uint64_t key) -> void;
    auto onAnswer(std::uint64_t key, bool granted) -> void;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    std::map<std::uint64_t, Probe> probes_;
    std::set<std::uint64_t> asked_;
    /// Where the deployment has no agents.
    decisions::ProbeLeases ownLeases_;
};

} // namespace eelgrass::serving
