#pragma once

#include "base/TimerService.h"

#include <cstdint>
#include <functional>

namespace eelgrass::router {

/// Notices that the process stood still: stopped, swapped out, or on a machine that slept.
///
/// A process that stood still may have lost its lease, its sessions and its target without knowing it. What it is about
/// to do is then checked first.
class PauseWatch {
public:
    /// A gap of the boot clock over this is a pause. Whoever takes over a target waits longer than this before its
    /// first order, so that a shorter, unnoticed pause does no harm.
    static constexpr auto limit = Duration(1s);

    explicit PauseWatch(TimerService& timers, std::function<Moment()> bootClock = bootNow)
        : clock_(std::move(bootClock))
        , last_(clock_())
        , timer_(timers.every(tick, [this] { look(); }))
    {
    }

    /// How many pauses there were. It looks at the clock itself, so that it also counts one that ended just now.
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
