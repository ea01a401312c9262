#include "decisions/QuotaBucket.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

constexpr auto maxRetrySeconds = 10.0;
constexpr auto maxWaitSeconds = 3600.0;

auto secondsOf(Duration time) noexcept -> double { return std::chrono::duration<double>(time).count(); }

} // namespace

auto QuotaBucket::accrued(Moment now) const noexcept -> double
{
    // A new bucket starts empty, because the amounts that other processes granted before are unknown.
    return refilledAt_ == Moment() ? 0 : rate_.perSecond * secondsOf(std::max(now - refilledAt_, Duration(0)));
}

auto QuotaBucket::timeFor(double amount, double maxSeconds) const noexcept -> Duration
{
    if (amount <= 0)
        return Duration(0);
    const auto seconds = rate_.perSecond > 0 ? std::min(amount / rate_.perSecond, maxSeconds) : maxSeconds;
    // Rounded up, so that there is credit once the time has passed.
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

auto QuotaBucket::refill(Moment now) noexcept -> void
{
    const auto credit = accrued(now);
    refilledAt_ = std::max(refilledAt_, now);
    level_ = std::min(level_ + credit, rate_.burst);
    pendingRetries_ = std::max(pendingRetries_ - credit, 0.0);
}

auto QuotaBucket::setRate(const QuotaRate& rate, Moment now) noexcept -> void
{
    refill(now);
    rate_ = rate;
    level_ = std::min(level_, rate_.burst);
}

auto QuotaBucket::take(double amount, Moment now) noexcept -> Verdict
{
    refill(now);
    const auto required = std::min(amount, rate_.burst + rate_.lenience);
    if (required > level_ + rate_.lenience)
        return { .retryAfter = refuse(amount, now) };
    level_ -= amount;
    return { .granted = true };
}

auto QuotaBucket::refuse(double amount, Moment now) noexcept -> Duration
{
    refill(now);
    const auto required = std::min(amount, rate_.burst + rate_.lenience);
    const auto missing = std::max(required - (level_ + rate_.lenience), 0.0);
    const auto wait = timeFor(missing + pendingRetries_, maxRetrySeconds);
    pendingRetries_ = std::min(pendingRetries_ + amount, maxRetrySeconds * rate_.perSecond);
    return wait;
}

auto QuotaBucket::timeUntil(double amount, Moment now) const noexcept -> Duration
{
    return timeFor(amount - std::min(level_ + accrued(now), rate_.burst) - rate_.lenience, maxWaitSeconds);
}

auto QuotaBucket::charge(double amount, Moment now) noexcept -> void
{
    refill(now);
    level_ = std::min(level_ - amount, rate_.burst);
}

auto QuotaBucket::capLevel(double level, Moment now) noexcept -> void
{
    refill(now);
    level_ = std::min(level_, level);
}

auto QuotaBucket::level(Moment now) noexcept -> double
{
    refill(now);
    return level_;
}

} // namespace eelgrass::decisions
