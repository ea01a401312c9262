#include "decisions/PrefillRate.h"

#include <algorithm>
#include <chrono>

namespace eelgrass::decisions {

namespace {

// Number of tokens that the estimate covers, about eight long prompts, and number of tokens by which the expected rate
// is weighted in the estimate.
constexpr auto coveredTokens = 80000.0;
constexpr auto priorTokens = 20000.0;
// Bounds of the estimate relative to the expected rate: an engine that seems very slow still receives requests, and a
// very high rate only shows that prompts were already cached.
constexpr auto minFactor = 0.1;
constexpr auto maxFactor = 1.5;

} // namespace

auto PrefillRate::granted(Moment now) noexcept -> void
{
    if (inPrefill_++ == 0)
        measuredUntil_ = now;
}

auto PrefillRate::started(std::uint64_t tokens, Moment now) noexcept -> void
{
    if (inPrefill_ == 0)
        return;
    --inPrefill_;
    add(tokens, now - measuredUntil_);
    measuredUntil_ = now;
}

auto PrefillRate::readLate(std::uint64_t tokens, Duration took) noexcept -> void { add(tokens, took); }

auto PrefillRate::add(std::uint64_t tokens, Duration took) noexcept -> void
{
    tokens_ += static_cast<double>(tokens);
    milliseconds_ += std::chrono::duration<double, std::milli>(took).count();
    if (tokens_ <= coveredTokens)
        return;
    milliseconds_ *= coveredTokens / tokens_;
    tokens_ = coveredTokens;
}

auto PrefillRate::dropped() noexcept -> void
{
    if (inPrefill_ > 0)
        --inPrefill_;
}

auto PrefillRate::perMillisecond() const noexcept -> double
{
    const auto rate = (tokens_ + priorTokens) / (milliseconds_ + priorTokens / expected_);
    return std::clamp(rate, minFactor * expected_, maxFactor * expected_);
}

} // namespace eelgrass::decisions
