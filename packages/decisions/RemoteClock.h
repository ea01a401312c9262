#pragma once

#include "base/Clock.h"

#include <optional>

namespace eelgrass::decisions {

/// Tells when, by the own clock, a peer's answer was made, at the earliest.
///
/// Load made for: questions that the peer answers only when there is something to tell, or after a while. By their
/// sending alone the answer "nothing new" is as old as its wait. Each answer bears the peer's own steady clock; the
/// quickest one tells how far that clock is behind ours at the most, and so how old any other answer is at the most.
/// The two clocks are taken to drift apart by `drift` at the worst.
///
/// ```cpp
/// clock.note(askedAt, answer.peerTime);
/// freshness.confirmed(clock.earliest(askedAt, answer.peerTime));
/// ```
class RemoteClock {
public:
    /// An answer made at `peerTime` of the peer's clock to a question asked at `askedAt` of ours.
    constexpr auto note(Moment askedAt, Duration peerTime) noexcept -> void
    {
        if (last_ && peerTime < *last_)
            // It went back: another peer answers, by another clock.
            offset_.reset();
        last_ = peerTime;
        const auto offset = askedAt.time_since_epoch() - peerTime;
        if (!offset_ || offset > drifted(askedAt)) {
            offset_ = offset;
            offsetAt_ = askedAt;
        }
    }
    /// When that answer was made, at the earliest.
    [[nodiscard]] constexpr auto earliest(Moment askedAt, Duration peerTime) const noexcept -> Moment
    {
        return offset_ ? std::max(askedAt, Moment(peerTime + drifted(askedAt))) : askedAt;
    }

private:
    static constexpr auto drift = 0.0005;

    [[nodiscard]] constexpr auto drifted(Moment now) const noexcept -> Duration
    {
        const auto passed = static_cast<double>((now - offsetAt_).count());
        return *offset_ - Duration(static_cast<Duration::rep>(drift * passed));
    }

    /// What to add to the peer's clock to have ours, at the least.
    std::optional<Duration> offset_;
    Moment offsetAt_ {};
    std::optional<Duration> last_;
};

} // namespace eelgrass::decisions
