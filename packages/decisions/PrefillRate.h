#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// How many prompt tokens an engine reads in a millisecond, from when requests were granted and began to answer.
///
/// Load made for: replicas that differ in speed, and one that turns slow while its health check passes.
/// Harm prevented: work placed and promised by a rate that the engine does not reach; streams on a slow engine whose
/// pauses grow too long while it reads prompts that a fast one reads unnoticed.
/// Only time in which something is being read counts, so that an idle engine does not look slow. The figure follows the
/// last few tens of thousands of tokens: less would follow single prompts whose cached parts were misjudged.
///
/// ```cpp
/// rate.granted(now);
/// rate.started(request.unreadTokens, now);
/// limits.readRate = rate.perMillisecond();
/// ```
class PrefillRate {
public:
    /// `expected` is taken until enough has been read.
    explicit PrefillRate(double expected) noexcept
        : expected_(expected)
    {
    }

    auto granted(Moment now) noexcept -> void;
    auto started(std::uint64_t tokens, Moment now) noexcept -> void;
    /// A granted request ended before it began to answer.
    auto dropped() noexcept -> void;
    [[nodiscard]] auto perMillisecond() const noexcept -> double;

private:
    double expected_;
    std::size_t reading_ = 0;
    Moment mark_ {};
    double tokens_ = 0;
    double milliseconds_ = 0;
};

} // namespace eelgrass::decisions
