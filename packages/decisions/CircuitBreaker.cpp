#include "decisions/CircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace eelgrass::decisions {

namespace {

// What the last request counts in the share of failures, and how long a failure is remembered: a replica that nobody
// asks any more looks well again after some seconds, and is asked.
constexpr auto weight = 0.2;
constexpr auto halfLife = Duration(2s);
// A replica that breaks off one request in twenty does so three times in a row about once in eight thousand.
constexpr auto breaksToRest = 3U;
constexpr auto shortestRest = Duration(400ms);
constexpr auto mostDoublings = 3U;
// After this long without a break the next rest is a short one again.
constexpr auto forgets = Duration(10s);

} // namespace

auto CircuitBreaker::failureShare(Moment now) const noexcept -> double
{
    const auto age = static_cast<double>((now - countedAt_).count()) / static_cast<double>(halfLife.count());
    return share_ * std::exp2(-age);
}

auto CircuitBreaker::count(double failure, Moment now) noexcept -> void
{
    share_ = failureShare(now) * (1 - weight) + failure * weight;
    countedAt_ = now;
}

auto CircuitBreaker::succeeded(Moment sentAt, Moment now) noexcept -> void
{
    count(0, now);
    if (sentAt < openUntil_)
        return;
    breaks_ = 0;
    open_ = false;
    trying_ = false;
}

auto CircuitBreaker::failed(Moment now) noexcept -> void
{
    count(1, now);
    // It answers, if not well.
    trying_ = false;
    open_ = open_ && now < openUntil_;
    breaks_ = 0;
}

auto CircuitBreaker::connectionBroke(Moment now) noexcept -> void
{
    count(1, now);
    if (now - brokeAt_ > forgets)
        rests_ = 0;
    brokeAt_ = now;
    trying_ = false;
    if (++breaks_ < breaksToRest || now < openUntil_)
        return;
    open_ = true;
    openUntil_ = now + shortestRest * (1U << std::min(rests_++, mostDoublings));
}

auto CircuitBreaker::endedWithoutResult(Moment sentAt) noexcept -> void
{
    if (sentAt >= openUntil_)
        trying_ = false;
}

} // namespace eelgrass::decisions
