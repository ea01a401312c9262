#pragma once

#include "base/Clock.h"

namespace eelgrass::decisions {

/// The times of a planned stop of an entry, which the platform kills when its grace period is over.
///
/// ```cpp
/// const auto schedule = StopSchedule(now, settings.grace);
/// if (now >= schedule.acceptsUntil()) listener.close();
/// ```
class StopSchedule {
public:
    constexpr StopSchedule(Moment began, Duration grace) noexcept
        : began_(began)
        , grace_(grace)
    {
    }

    [[nodiscard]] constexpr auto began() const noexcept -> Moment { return began_; }
    /// From here on the platform sends no new connections, so idle ones may be closed.
    [[nodiscard]] constexpr auto closesIdleAt() const noexcept -> Moment { return began_ + balancerDelay; }
    /// A connection that comes later is refused: a request on it could not be finished in time.
    [[nodiscard]] constexpr auto acceptsUntil() const noexcept -> Moment { return began_ + acceptTime; }
    /// Requests that are still open end here.
    [[nodiscard]] constexpr auto requestsEnd() const noexcept -> Moment { return began_ + grace_ - endMargin; }

private:
    // The platform stops sending connections after two failed probes a second apart.
    static constexpr auto balancerDelay = Duration(2500ms);
    static constexpr auto acceptTime = Duration(2900ms);
    // Time of the grace period that is left for the end of the process.
    static constexpr auto endMargin = Duration(500ms);

    Moment began_;
    Duration grace_;
};

} // namespace eelgrass::decisions
