#include "decisions/QuotaBucket.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

constexpr auto maxRetrySeconds = 10.0;

auto secondsOf(Duration time) noexcept -> double { return std::chrono::duration<double>(time).count(); }

} // namespace

auto QuotaBucket::refill(Moment now) noexcept -> void
{
    // A new bucket starts empty, because the amounts that other processes granted before are unknown.
    const auto credit
        = refilledAt_ == Moment() ? 0 : rate_.perSecond * secondsOf(std::max(now - refilledAt_, Duration(0)));
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
    const auto missing = required - (level_ + rate_.lenience);
    if (missing <= 0) {
        level_ -= amount;
        return { .granted = true };
    }
    const auto wait = rate_.perSecond > 0 ? std::min((missing + pendingRetries_) / rate_.perSecond, maxRetrySeconds)
                                          : maxRetrySeconds;
    pendingRetries_ = std::min(pendingRetries_ + amount, maxRetrySeconds * rate_.perSecond);
    return { .retryAfter = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)) };
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
