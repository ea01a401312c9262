#include "decisions/ArrivalPermits.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Permits kept for requests that arrive together: some, and those of half a second.
constexpr auto minBurst = 2.0;
constexpr auto burstTime = 0.5;
// A higher limit has no effect at any load, and would exceed the precision of the bucket.
constexpr auto maxPerSecond = 1e6;
// How much later than the next permit an entry asks again at most.
constexpr auto maxAskDelay = Duration(1s);
// How much later than it was told a refused request may come back.
constexpr auto returnMargin = Duration(300ms);

} // namespace

auto ArrivalPermits::setRate(double perSecond, Moment now) noexcept -> void
{
    const auto rate = std::clamp(perSecond, minPerSecond, maxPerSecond);
    bucket_.setRate({ .perSecond = rate, .burst = minBurst + burstTime * rate }, now);
    limited_ = true;
}

auto ArrivalPermits::take(Moment now) noexcept -> bool
{
    return bucket_.timeUntil(1, now) <= Duration(0) && bucket_.take(1, now).granted;
}

auto ArrivalPermits::take(std::uint32_t priority, double cost, Moment now) -> Verdict
{
    const auto keepsOne = moreUrgentExpected(priority, now) && bucket_.timeUntil(cost + 1, now) > Duration(0);
    const auto verdict
        = keepsOne ? QuotaBucket::Verdict { .retryAfter = bucket_.refuse(cost, now) } : bucket_.take(cost, now);
    if (verdict.granted)
        expectedUntil_.erase(priority);
    else
        expectedUntil_[priority] = now + verdict.retryAfter + returnMargin;
    const auto latest = bucket_.timeUntil(cost, now) + maxAskDelay;
    return { verdict.granted, verdict.retryAfter, std::min(verdict.retryAfter, latest) };
}

auto ArrivalPermits::timeUntilPermit(std::size_t ahead, Moment now) const noexcept -> Duration
{
    return bucket_.timeUntil(static_cast<double>(ahead) + 1, now);
}

auto ArrivalPermits::moreUrgentExpected(std::uint32_t priority, Moment now) const -> bool
{
    return std::any_of(expectedUntil_.begin(), expectedUntil_.lower_bound(priority),
        [&](const auto& entry) { return now < entry.second; });
}

} // namespace eelgrass::decisions
