#pragma once

#include "base/Clock.h"

#include <optional>

namespace eelgrass::decisions {

/// Tells as of which moment the answers of a peer are that is asked by long polls.
///
/// Designed for answers on which it depends whether a revoked key is still accepted, at a process that may be suspended
/// between any two steps, and for peers whose clocks say nothing for certain. An answer contains all that was written
/// before it was asked for. An empty answer to a long poll says besides that nothing was written while the peer waited,
/// so it is as of the end of that wait. Both moments follow from the moment of asking, which has to be read before the
/// call is written: a delay after that, of this process, the peer or the network, makes an answer older and never
/// newer.
///
/// A peer that answered before its wait was over, by this process's clock or by its own, is not taken to have waited.
///
/// ```cpp
/// freshness.confirmed(polls.asOf({ .askedAt = asked, .receivedAt = now, .wait = wait, .empty = rows.empty() }));
/// ```
class LongPolls {
public:
    struct Answer {
        /// Read before the call was written, and after the answer was received.
        Moment askedAt {};
        Moment receivedAt {};
        Duration wait {};
        bool empty = false;
        /// The peer's steady clock, if the answer states it.
        std::optional<Duration> peerTime {};
    };

    /// All that was written before this moment is in the answer or was known before. Answers are told in their order.
    [[nodiscard]] constexpr auto asOf(const Answer& answer) noexcept -> Moment
    {
        const auto waitedHere = answer.receivedAt - answer.askedAt >= answer.wait;
        const auto waitedThere = !last_ || !answer.peerTime || *answer.peerTime - last_->peerTime >= answer.wait;
        clockStep_ = stepUntil(answer);
        last_.reset();
        if (answer.peerTime)
            last_ = Last { answer.askedAt, *answer.peerTime };
        return answer.empty && waitedHere && waitedThere ? answer.askedAt + answer.wait : answer.askedAt;
    }

    /// By how much the peer's clock went back, or further on than can have passed, between the last two answers; 0 for
    /// a clock that may be steady. Another process of the peer may have answered.
    [[nodiscard]] constexpr auto clockStep() const noexcept -> Duration { return clockStep_; }

private:
    struct Last {
        Moment askedAt {};
        Duration peerTime {};
    };

    [[nodiscard]] constexpr auto stepUntil(const Answer& answer) const noexcept -> Duration
    {
        // For the difference of two clocks' speeds and for rounding.
        constexpr auto tolerance = Duration(20ms);
        if (!last_ || !answer.peerTime)
            return {};
        const auto passedThere = *answer.peerTime - last_->peerTime;
        if (passedThere < Duration(0))
            return passedThere;
        const auto most = answer.receivedAt - last_->askedAt + tolerance;
        return passedThere > most ? passedThere - most : Duration(0);
    }

    std::optional<Last> last_;
    Duration clockStep_ {};
};

} // namespace eelgrass::decisions
