#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace eelgrass::decisions {

/// Tells a replica that is only silent from one that is gone, by the reports that its agent asks it for.
///
/// Designed for replicas that do nothing for up to two seconds and then go on. When two reports without an answer were
/// taken for the end of the replica, its agent forgot its name, its adapters and the orders under way, and the replica
/// was out of use until a health check, which waits for a place in the replica's batch, had named it again.
///
/// A silent replica gets nothing new, but all that is known of it is kept. It is gone if it cannot be reached, or if
/// its silence is too long for a pause.
///
/// ```cpp
/// if (silence.reportFailed(ReplicaSilence::Failure::NoAnswerInTime, askedAt, now)) forgetReplica();
/// if (!silence.silent()) grant(requests);
/// ```
class ReplicaSilence {
public:
    enum class Failure {
        /// The replica took the call and did not answer in time.
        NoAnswerInTime,
        /// The connection was refused or broke off, or the answer was no report.
        NoReport,
    };

    /// Records a report.
    auto reported() noexcept -> void { *this = {}; }
    /// Records a report that was asked for at `askedAt` and failed. Returns whether this shows that the replica is
    /// gone; true once, until the next report.
    auto reportFailed(Failure failure, Moment askedAt, Moment now) noexcept -> bool
    {
        if (failures_++ == 0)
            since_ = askedAt;
        silent_ = silent_ || failure == Failure::NoAnswerInTime;
        if (gone_ || failures_ < failuresToEnd)
            return false;
        gone_ = failure == Failure::NoReport || now - since_ > maxPause;
        return gone_;
    }

    /// Whether a report got no answer in time, and none has come since.
    [[nodiscard]] auto silent() const noexcept -> bool { return silent_; }
    /// Whether the silence is too long for requests that wait for this replica.
    [[nodiscard]] auto lasting() const noexcept -> bool { return silent_ && failures_ >= failuresToEnd; }
    /// How long ago the first report without an answer was asked for.
    [[nodiscard]] auto length(Moment now) const noexcept -> Duration
    {
        return failures_ > 0 ? now - since_ : Duration(0);
    }

private:
    // The peer of a kept connection may close it just as a call is written, so one failure shows nothing.
    static constexpr auto failuresToEnd = 2U;
    // Longer than any pause of a replica that works, which is two seconds, and than clients wait for an event; shorter
    // than the three heartbeats after which the platform's list no longer names the replica.
    static constexpr auto maxPause = Duration(2500ms);

    std::uint32_t failures_ = 0;
    Moment since_ {};
    bool silent_ = false;
    bool gone_ = false;
};

} // namespace eelgrass::decisions
