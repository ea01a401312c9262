#include "decisions/LoadQueue.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Added to every wait, so that new requests have a nonzero priority and a load for many of them goes before a load for
// a single one.
constexpr auto baseAge = Duration(200ms);

} // namespace

auto loadPriority(double weight, Moment oldestAt, Moment now) -> double
{
    const auto age = std::chrono::duration<double>(std::max(now - oldestAt, Duration::zero()) + baseAge).count();
    return weight * age * age;
}

auto LoadQueue::enqueue(LoadRequest request) -> void { requests_[request.target] = request; }

auto LoadQueue::release(const TargetId& target) -> void
{
    if (grant_ && grant_->target == target)
        grant_.reset();
}

auto LoadQueue::grants(Moment now) -> std::vector<TargetId>
{
    // A target that was lost while it held the grant must not block the loads of all others.
    if (grant_ && grant_->expiresAt <= now)
        grant_.reset();
    if (grant_ || requests_.empty())
        return {};
    const auto best = std::max_element(requests_.begin(), requests_.end(), [&](const auto& a, const auto& b) {
        return loadPriority(a.second.weight, a.second.oldestAt, now)
            < loadPriority(b.second.weight, b.second.oldestAt, now);
    });
    const auto target = best->first;
    requests_.erase(best);
    grant_ = Grant { target, now + grantDuration };
    return { target };
}

auto LoadQueue::grantExpiresAt() const -> std::optional<Moment>
{
    return grant_ ? std::optional(grant_->expiresAt) : std::nullopt;
}

auto LoadRateLimiter::take(Moment now) -> bool
{
    const auto passed = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(burst, tokens_ + passed * perSecond_);
    refilledAt_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace eelgrass::decisions
