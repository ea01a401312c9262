#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrass::decisions {

/// When clients may come back whose requests are all refused until the same moment.
///
/// Designed for replicas that want no requests for some seconds. If all clients came back when the first replica
/// accepts requests again, most of them would be refused once more. Each refused client is therefore told a later time
/// than the one before it, and more urgent requests are told earlier times.
///
/// ```cpp
/// respond(503, (opensAt - now) + returns.next(priority, opensAt, now));
/// ```
class ReturnTimes {
public:
    /// Returns the delay after `opensAt` for the next refused request of this priority, where 0 is the most urgent.
    [[nodiscard]] auto next(std::uint32_t priority, Moment opensAt, Moment now) -> Duration
    {
        if (now >= lastOpening_)
            refused_.clear();
        lastOpening_ = std::max(lastOpening_, opensAt);
        auto ahead = std::size_t(0);
        for (const auto& [other, count] : refused_)
            ahead += other <= priority ? count : 0;
        ++refused_[priority];
        return interval * static_cast<Duration::rep>(ahead % maxIntervals);
    }

private:
    static constexpr auto interval = Duration(20ms);
    static constexpr auto maxIntervals = std::size_t(100);

    Moment lastOpening_ {};
    /// Number of requests refused since the last opening, by priority.
    std::map<std::uint32_t, std::size_t> refused_;
};

} // namespace eelgrass::decisions
