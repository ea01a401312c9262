#pragma once

#include "base/Clock.h"

#include <optional>

namespace eelgrass::decisions {

/// Computes the earliest local time at which a peer can have produced an answer.
///
/// Designed for long polls, which the peer answers only on a change or after a timeout. Judged by the time of the
/// request alone, the answer "no change" would be as old as the whole wait. Each answer contains the peer's steady
/// clock. Since an answer is produced after its request was sent, it gives a lower bound of the time by which the
/// peer's clock is behind the local one. The fastest answer gives the highest lower bound, which limits the age of
/// every other answer. The two clocks are assumed to drift apart by at most `maxDriftRate`.
///
/// ```cpp
/// clock.note(askedAt, answer.peerTime);
/// freshness.confirmed(clock.earliest(askedAt, answer.peerTime));
/// ```
class RemoteClock {
public:
    /// Records an answer produced at `peerTime` by the peer's clock, to a request sent at `askedAt` by the local clock.
    constexpr auto note(Moment askedAt, Duration peerTime) noexcept -> void
    {
        if (lastPeerTime_ && peerTime < *lastPeerTime_)
            // The clock went back, so another peer with another clock is answering.
            offset_.reset();
        lastPeerTime_ = peerTime;
        const auto offset = askedAt.time_since_epoch() - peerTime;
        if (!offset_ || offset > offsetWithDrift(askedAt)) {
            offset_ = offset;
            offsetMeasuredAt_ = askedAt;
        }
    }
    /// Earliest local time at which an answer with `peerTime`, to a request sent at `askedAt`, can have been produced.
    [[nodiscard]] constexpr auto earliest(Moment askedAt, Duration peerTime) const noexcept -> Moment
    {
        return offset_ ? std::max(askedAt, Moment(peerTime + offsetWithDrift(askedAt))) : askedAt;
    }

private:
    static constexpr auto maxDriftRate = 0.0005;

    [[nodiscard]] constexpr auto offsetWithDrift(Moment now) const noexcept -> Duration
    {
        const auto passed = static_cast<double>((now - offsetMeasuredAt_).count());
        return *offset_ - Duration(static_cast<Duration::rep>(maxDriftRate * passed));
    }

    /// Lower bound of the difference between the local clock and the peer's.
    std::optional<Duration> offset_;
    Moment offsetMeasuredAt_ {};
    std::optional<Duration> lastPeerTime_;
};

} // namespace eelgrass::decisions
