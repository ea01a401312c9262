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
};

/// The crashes under requests that held this, since the last whole run of such a request.
struct SharedRecord {
    SharedHash held;
    std::vector<SharedCrash> crashes;
    /// Whether a request with it ran whole not long before the first of these crashes.
    bool soundBefore = false;
};

/// What makes replicas crash: everything that nothing tells apart so far. A run that holds all of it crashes its
/// replica; one that holds less may be sound, and its whole run clears what it holds.
struct Culprit {
    std::vector<SharedHash> together;
    /// Crashes that count (see `weightOf`), and how many were needed.
    std::size_t weight = 0;
    std::size_t limit = 0;
    Moment last {};
    /// Starts that ended under it.
    std::set<StartHash> starts {};

    [[nodiscard]] auto isHeldBy(const std::vector<SharedHash>& shared) const -> bool
    {
        return std::all_of(together.begin(), together.end(), [&](SharedHash one) {
            return std::find(shared.begin(), shared.end(), one) != shared.end();
        });
    }
};

/// Crashes under different requests that count, for something that was sound before and for something that was not:
/// it takes more to believe that weights or a prompt that served a moment ago crash replicas now.
inline constexpr auto sharedCrashLimit = std::size_t(3);
inline constexpr auto soundCrashLimit = std::size_t(4);
/// Replicas that end within this time of each other are one event: a rack loses power, or all are killed at once, and
/// each of them was running some request with what is popular.
inline constexpr auto crashMomentSpan = Duration(1s);

/// The number of events, replicas and requests that the crashes have in common: the least of the three. A request that
/// crashes replicas again and again is to blame by itself, not what it shares with others.
[[nodiscard]] auto weightOf(std::vector<SharedCrash> crashes) -> std::size_t;

/// Finds the fewest culprits that explain the crashes: what was never sound goes before what was, and the one with the
/// most crashes before others. What only ran beside a culprit has no crash left of its own.
[[nodiscard]] auto findCulprits(std::vector<SharedRecord> records) -> std::vector<Culprit>;

} // namespace eelgrass::decisions
