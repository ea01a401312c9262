#include "decisions/LoadQueue.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Counts for something from its first moment, so that many fresh waiters go before one.
constexpr auto leastAge = Duration(200ms);

} // namespace

auto loadPriority(double weight, Moment oldestAt, Moment now) -> double
{
    const auto age = std::chrono::duration<double>(std::max(now - oldestAt, Duration::zero()) + leastAge).count();
    return weight * age * age;
}

auto LoadQueue::ask(LoadRequest ask) -> void { asks_[ask.target] = ask; }

auto LoadQueue::release(const TargetId& target) -> void
{
    if (grant_ && grant_->target == target)
        grant_.reset();
}

auto LoadQueue::grants(Moment now) -> std::vector<TargetId>
{
    // A target that died with its turn must not stop the loads of all others.
    if (grant_ && grant_->endsAt <= now)
        grant_.reset();
    if (grant_ || asks_.empty())
        return {};
    const auto best = std::max_element(asks_.begin(), asks_.end(), [&](const auto& a, const auto& b) {
        return loadPriority(a.second.weight, a.second.oldestAt, now)
            < loadPriority(b.second.weight, b.second.oldestAt, now);
    });
    const auto target = best->first;
    asks_.erase(best);
    grant_ = Grant { target, now + grantLasts };
    return { target };
}

auto LoadQueue::grantExpiresAt() const -> std::optional<Moment>
{
    return grant_ ? std::optional(grant_->endsAt) : std::nullopt;
}

auto LoadRateLimiter::take(Moment now) -> bool
{
    const auto passed = std::chrono::duration<double>(now - at_).count();
    saved_ = std::min(atOnce, saved_ + passed * perSecond_);
    at_ = now;
    if (saved_ < 1)
        return false;
    saved_ -= 1;
    return true;
}

} // namespace eelgrass::decisions
