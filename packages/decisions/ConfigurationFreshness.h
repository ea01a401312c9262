#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <optional>

namespace eelgrass::decisions {

/// Until when an entry may act on what its configuration allows.
///
/// Load made for: keys taken away while some entries are cut off from the store, stand still, or are told by others.
/// Harm prevented: a request of a caller who lost its key runs, since an entry that had not heard of it went on by what
/// it knew. An entry acts only while its configuration is known to have been the newest at a moment that is less than
/// the bound ago. That is the moment of the proof, not of its arrival: what comes from another entry, or out of a
/// socket after a pause of the process, is as old as it was there and on its way.
///
/// ```cpp
/// freshness.confirmed(askedAt - age);
/// if (!freshness.holds(now)) return refuse();
/// ```
class ConfigurationFreshness {
public:
    explicit constexpr ConfigurationFreshness(Duration bound) noexcept
        : bound_(bound)
    {
    }

    /// What is in force here was the newest there was at `at`.
    constexpr auto confirmed(Moment at) noexcept -> void
    {
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
    }
    [[nodiscard]] constexpr auto holds(Moment now) const noexcept -> bool { return age(now) < bound_; }
    /// The longest time while nothing was confirmed.
    [[nodiscard]] constexpr auto age(Moment now) const noexcept -> Duration
    {
        return confirmedAt_ ? std::max(now - *confirmedAt_, Duration(0)) : Duration::max();
    }

private:
    Duration bound_;
    std::optional<Moment> confirmedAt_;
};

} // namespace eelgrass::decisions
