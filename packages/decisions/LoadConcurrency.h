#pragma once

#include "base/Clock.h"

#include <cstddef>

namespace eelgrass::decisions {

/// Limits how many adapters one replica fetches at a time, depending on how long its latest fetches took.
///
/// Designed for the time after a power loss, when all replicas are empty at once and many rare adapters are requested
/// at the same time. The weight store divides its bandwidth among all loads, so with four loads from each replica all
/// of them would arrive late. With fewer loads at a time most requests get their adapters in time, and as many adapters
/// arrive in total. Adapters that only late requests wait for are fetched one at a time: since the store is shared,
/// each such load delays a request that could have been on time.
///
/// No process counts the loads of all replicas. Each replica falls back to one load at a time after a slow load and
/// allows one more after each fast one, similar to congestion control. Loads from host memory do not use the store and
/// are not recorded.
///
/// ```cpp
/// if (loading < concurrency.limit(wanted.late)) order(load);
/// concurrency.ended(now - orderedAt);
/// ```
class LoadConcurrency {
public:
    /// Number of loads that may be in progress; `late` if only late requests wait for the adapter.
    [[nodiscard]] auto limit(bool late = false) const noexcept -> std::size_t { return late ? 1 : limit_; }
    /// Records a finished load from the weight store and its duration.
    auto ended(Duration took) noexcept -> void
    {
        if (took > congestedDuration)
            limit_ = 1;
        else if (limit_ < maxLimit)
            ++limit_;
    }

private:
    // The number of loads that an engine accepts at a time.
    static constexpr auto maxLimit = std::size_t(4);
    // Longer loads indicate a congested store; the deployment's operators report 250 to 300 ms for a single load.
    static constexpr auto congestedDuration = Duration(450ms);

    std::size_t limit_ = 1;
};

} // namespace eelgrass::decisions
