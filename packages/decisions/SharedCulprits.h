#pragma once

#include "decisions/CrashReport.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <vector>

namespace eelgrass::decisions {

/// The end of a replica's start under a request that held something shared.
struct SharedCrash {
    Moment at {};
    StartHash start;
    RequestDigest request;
    /// Whether the run had brought events.
    bool begun = false;
    /// Whether the start is known to have ended, and what ran there is known. If not, only the moment counts.
    bool confirmed = true;
};

/// The crashes under requests that held this, since the last whole run of such a request.
struct SharedRecord {
    SharedHash held;
    std::vector<SharedCrash> crashes;
    /// Whether a request with it ran whole not long before the first of these crashes.
    bool soundBefore = false;
};

/// What the crashes under something shared have in common.
struct CrashWeight {
    /// The number of replicas' starts, or of different requests, whichever is less. A request that crashes replicas
    /// again and again is to blame by itself, not what it shares with others.
    std::size_t crashes = 0;
    /// Moments at which they happened. Replicas that end within `crashMomentSpan` of each other are one event: a rack
    /// loses power, or all are killed at once, and each of them was running some request with what is popular.
    std::size_t moments = 0;

    [[nodiscard]] auto reaches(const CrashWeight& limit) const noexcept -> bool
    {
        return crashes >= limit.crashes && moments >= limit.moments;
    }
};

/// What makes replicas crash: everything that nothing tells apart so far. A run that holds all of it crashes its
/// replica; one that holds less may be sound, and its whole run clears what it holds.
struct Culprit {
    std::vector<SharedHash> together;
    CrashWeight weight;
    CrashWeight limit;
    Moment last {};
    /// Starts that ended under it.
    std::set<StartHash> starts {};

    [[nodiscard]] auto isHeldBy(const std::vector<SharedHash>& shared) const -> bool
    {
        return std::all_of(together.begin(), together.end(),
            [&](SharedHash one) { return std::find(shared.begin(), shared.end(), one) != shared.end(); });
    }
};

/// What it takes to be a culprit, for something that was not known to be sound before and for something that was: it
/// takes more to believe that weights or a prompt that served a moment ago crash replicas now.
inline constexpr auto sharedCrashLimit = CrashWeight { .crashes = 3, .moments = 2 };
inline constexpr auto soundCrashLimit = CrashWeight { .crashes = 4, .moments = 3 };
/// With so many crashes something is a culprit although other runs beside it always held something else.
inline constexpr auto certainCrashes = std::size_t(5);
/// So many crashes under something narrower make it a likelier cause than what all of its requests hold.
inline constexpr auto repeatedCrashes = std::size_t(2);
inline constexpr auto crashMomentSpan = Duration(1s);

[[nodiscard]] auto weightOf(std::vector<SharedCrash> crashes) -> CrashWeight;

/// Finds the fewest culprits that explain the crashes: what was never sound goes before what was, and the first that
/// had crashes enough before others. What only ran beside a culprit has no crash left of its own. What the culprit's
/// requests hold and others too, so that it reaches its limit first, is a culprit only together with it. Something
/// broad is no culprit alone before it has crashes enough without any narrower thing that repeats in its crashes: a
/// replica that was killed for another reason adds a crash to what all requests hold.
///
/// Runs that had brought no event are looked at first: a replica crashes as it begins to write, and those beside the
/// culprit are mostly under way.
[[nodiscard]] auto findCulprits(std::vector<SharedRecord> records) -> std::vector<Culprit>;

} // namespace eelgrass::decisions
