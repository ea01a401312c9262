#pragma once

#include "base/Clock.h"
#include "decisions/ArrivalPermits.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// One entry's share of a replica's rate limit while it reaches no process that keeps permits for all entries.
///
/// The share is one request in each slot of time, usable only while the slot has just begun. Unused permits must not
/// pile up: with some hundred entries, one permit in hand at each would be a burst of some hundred requests. Each entry
/// has its slots at other moments. All entries together use half of the limit, so that the chance overlap of their
/// slots stays within what the replica tolerates.
class PermitSlots {
public:
    /// `seed` is a hash of the entry and the replica, from which the moments of the slots follow.
    explicit PermitSlots(std::uint64_t seed) noexcept
        : seed_(seed)
    {
    }

    [[nodiscard]] auto take(double perSecond, std::size_t entries, Moment now) noexcept -> ArrivalPermits::Verdict
    {
        const auto seconds = static_cast<double>(std::max<std::size_t>(entries, 1))
            / (share * std::max(perSecond, ArrivalPermits::minPerSecond));
        const auto length = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        const auto phase = Duration(static_cast<Duration::rep>(seed_ % static_cast<std::uint64_t>(length.count())));
        const auto elapsed = now.time_since_epoch() + phase;
        const auto slot = elapsed / length;
        const auto offset = elapsed % length;
        if (slot == usedSlot_ || offset >= std::min(openTime, length))
            return { .retryAfter = length - offset, .askAgainAfter = length - offset };
        usedSlot_ = slot;
        return { .granted = true };
    }

private:
    static constexpr auto share = 0.5;
    static constexpr auto openTime = Duration(3s);

    std::uint64_t seed_;
    Duration::rep usedSlot_ = -1;
};

} // namespace eelgrass::decisions
