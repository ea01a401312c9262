#include "decisions/CircuitBreaker.h"

#include <algorithm>
#include <cmath>

namespace eelgrass::decisions {

namespace {

// Weight of the latest request in the share of failures, and half-life of that share. The decay makes a replica that
// receives no requests look healthy again after a few seconds, so that it receives some.
constexpr auto latestWeight = 0.2;
constexpr auto halfLife = Duration(2s);
// Number of broken connections in succession that opens the breaker. A replica that breaks the connection of one
// request in twenty breaks three in succession about once in eight thousand requests.
constexpr auto breaksToOpen = 3U;
constexpr auto shortestPause = Duration(400ms);
constexpr auto maxDoublings = 3U;
// After this long without a broken connection, the next pause is the shortest one again.
constexpr auto pauseResetTime = Duration(10s);

} // namespace

auto CircuitBreaker::failureShare(Moment now) const noexcept -> double
{
    const auto age = static_cast<double>((now - updatedAt_).count()) / static_cast<double>(halfLife.count());
    return failureShare_ * std::exp2(-age);
}

auto CircuitBreaker::recordOutcome(double failure, Moment now) noexcept -> void
{
    failureShare_ = failureShare(now) * (1 - latestWeight) + failure * latestWeight;
    updatedAt_ = now;
}

auto CircuitBreaker::succeeded(Moment sentAt, Moment now) noexcept -> void
{
    recordOutcome(0, now);
    if (sentAt < openUntil_)
        return;
    consecutiveBreaks_ = 0;
    open_ = false;
    probing_ = false;
}

auto CircuitBreaker::failed(Moment now) noexcept -> void
{
    recordOutcome(1, now);
    // An error is still an answer, so the replica is reachable.
    probing_ = false;
    open_ = open_ && now < openUntil_;
    consecutiveBreaks_ = 0;
}

auto CircuitBreaker::connectionBroke(Moment now) noexcept -> void
{
    recordOutcome(1, now);
    if (now - lastBreakAt_ > pauseResetTime)
        openings_ = 0;
    lastBreakAt_ = now;
    probing_ = false;
    if (++consecutiveBreaks_ < breaksToOpen || now < openUntil_)
        return;
    open_ = true;
    openUntil_ = now + shortestPause * (1U << std::min(openings_++, maxDoublings));
}

auto CircuitBreaker::endedWithoutResult(Moment sentAt) noexcept -> void
{
    if (sentAt >= openUntil_)
        probing_ = false;
}

} // namespace eelgrass::decisions
