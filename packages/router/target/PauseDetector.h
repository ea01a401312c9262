#pragma once

#include "base/TimerService.h"

#include <cstdint>
#include <functional>

namespace eelgrass::router {

/// Detects that the process was paused: stopped, swapped out, or on a machine that was suspended.
///
/// A process that was paused may have lost its lease, its sessions and its target without noticing, so it must check
/// its ownership before it acts again.
class PauseDetector {
public:
    /// A gap in the boot clock longer than this is a pause. A process that takes over a target waits longer than this
    /// before its first order, so that a shorter, undetected pause of the old owner does no harm.
    static constexpr auto limit = Duration(1s);

    explicit PauseDetector(TimerService& timers, std::function<Moment()> bootClock = now)
        : clock_(std::move(bootClock))
        , last_(clock_())
        , timer_(timers.every(tick, [this] { look(); }))
    {
    }

    /// Number of pauses so far. Reads the clock, so that a pause that has just ended is included.
    [[nodiscard]] auto count() -> std::uint64_t
    {
        look();
        return count_;
    }

private:
    static constexpr auto tick = Duration(200ms);

    auto look() -> void
    {
        const auto present = clock_();
        if (present - last_ > limit)
            ++count_;
        last_ = present;
    }

    std::function<Moment()> clock_;
    Moment last_;
    std::uint64_t count_ = 0;
    Timer timer_;
};

} // namespace eelgrass::router
