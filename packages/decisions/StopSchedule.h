#pragma once

#include "base/Clock.h"

#include <algorithm>

namespace eelgrass::decisions {

/// The times of a planned stop of an entry, which the platform kills when its grace period is over.
///
/// A stop has an end that every request knows. Until then it has a complete answer, or it is a stream that runs and is
/// broken off. Whoever comes too late for that is refused and goes to another entry.
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
    [[nodiscard]] constexpr auto closesIdleAt() const noexcept -> Moment
    {
        return std::min(began_ + balancerDelay, requestsEnd());
    }
    /// A connection that comes later is refused: a request on it could not be finished in time.
    [[nodiscard]] constexpr auto acceptsUntil() const noexcept -> Moment
    {
        return std::min(began_ + acceptTime, requestsEnd());
    }
    /// Whether a request that has been read whole at `readAt`, and takes until `endAt` at most, is served. The platform
    /// expects to see a late one whole, while an early one may be cut off as it runs.
    [[nodiscard]] constexpr auto serves(Moment readAt, Moment endAt) const noexcept -> bool
    {
        return readAt < std::min(began_ + earlyTime, requestsEnd()) || endAt <= requestsEnd();
    }
    /// Requests that are still open end here.
    [[nodiscard]] constexpr auto requestsEnd() const noexcept -> Moment
    {
        return began_ + grace_ - std::min(endMargin, grace_ / 2);
    }
    /// The process ends here, whatever its clients have taken of their answers.
    [[nodiscard]] constexpr auto processEnds() const noexcept -> Moment
    {
        return began_ + grace_ - std::min(exitMargin, grace_ / 4);
    }

private:
    // The platform stops sending connections after two failed probes a second apart.
    static constexpr auto balancerDelay = Duration(2500ms);
    static constexpr auto acceptTime = Duration(2900ms);
    // Less than the three seconds that the platform counts, as the signal may be handled late.
    static constexpr auto earlyTime = Duration(2900ms);
    // Time of the grace period that is left for clients to take their last answers, and for the end of the process.
    static constexpr auto endMargin = Duration(500ms);
    static constexpr auto exitMargin = Duration(200ms);

    Moment began_;
    Duration grace_;
};

} // namespace eelgrass::decisions
