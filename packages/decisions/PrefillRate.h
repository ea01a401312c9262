#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// Estimates how many prompt tokens an engine processes per millisecond (its prefill rate), from the times at which
/// requests were granted and started to answer.
///
/// Designed for replicas of different speed, and for a replica that becomes slow while its health check passes. The
/// measured rate prevents requests from being placed and admitted by a rate that the engine does not reach. It also
/// prevents streams on a slow engine from pausing too long during prompts which a fast engine processes without a
/// noticeable pause.
///
/// Only the time in which prompts are processed counts, so that an idle engine does not look slow. The estimate covers
/// the last few tens of thousands of tokens; with fewer tokens, a single prompt whose cached part was misjudged would
/// distort it.
///
/// ```cpp
/// rate.granted(now);
/// rate.started(request.unreadTokens, now);
/// limits.readRate = rate.perMillisecond();
/// ```
class PrefillRate {
public:
    /// `expected` is the rate in tokens per millisecond that is assumed until enough tokens were processed.
    explicit PrefillRate(double expected) noexcept
        : expected_(expected)
    {
    }

    /// Records that a request was granted, so that its prompt is being processed.
    auto granted(Moment now) noexcept -> void;
    /// Records that a request started to answer after `tokens` prompt tokens were processed for it.
    auto started(std::uint64_t tokens, Moment now) noexcept -> void;
    /// Records that a granted request ended before it started to answer, or that it is not waited for any more.
    auto dropped() noexcept -> void;
    /// Records that a request started to answer after all, `took` after it was granted.
    auto readLate(std::uint64_t tokens, Duration took) noexcept -> void;
    [[nodiscard]] auto perMillisecond() const noexcept -> double;

private:
    auto add(std::uint64_t tokens, Duration took) noexcept -> void;

    double expected_;
    std::size_t inPrefill_ = 0;
    Moment measuredUntil_ {};
    double tokens_ = 0;
    double milliseconds_ = 0;
};

} // namespace eelgrass::decisions
