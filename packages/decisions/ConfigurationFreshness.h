#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <optional>

namespace eelgrass::decisions {

/// Decides how long an entry may act on its configuration without a new confirmation.
///
/// Designed for keys that are revoked while some entries are cut off from the store, are paused, or receive the
/// configuration from other entries. The time limit prevents an entry that has not received the change from running the
/// request of a caller whose key was revoked.
///
/// An entry acts only while its configuration is known to have been the newest one less than `bound` ago. The age
/// counts from the moment at which the configuration was the newest one, not from the arrival of the confirmation: a
/// confirmation from another entry, or one read from a socket after the process was paused, has aged at its sender and
/// on its way.
///
/// ```cpp
/// freshness.confirmed(askedAt - age, now);
/// if (!freshness.holds(now)) return refuse();
/// ```
class ConfigurationFreshness {
public:
    explicit constexpr ConfigurationFreshness(Duration bound) noexcept
        : bound_(bound)
    {
    }

    /// Records that the configuration in force was the newest one at `at`. A moment after `now` cannot be right and
    /// records nothing: it would hold longer than any other.
    constexpr auto confirmed(Moment at, Moment now) noexcept -> void
    {
        if (at > now)
            return;
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
    }
    [[nodiscard]] constexpr auto holds(Moment now) const noexcept -> bool { return age(now) < bound_; }
    /// Time since the last confirmed moment; `Duration::max()` if nothing was confirmed yet.
    [[nodiscard]] constexpr auto age(Moment now) const noexcept -> Duration
    {
        return confirmedAt_ ? now - *confirmedAt_ : Duration::max();
    }

private:
    Duration bound_;
    std::optional<Moment> confirmedAt_;
};

} // namespace eelgrass::decisions
