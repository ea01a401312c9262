#include "decisions/AnnouncedRateLimit.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// A statement that reaches a process through others looks newer than it is, by this much at most unless a process on
// the way was suspended: its age is measured when it is sent.
constexpr auto maxForwardingDelay = Duration(300ms);

} // namespace

auto AnnouncedRateLimit::apply(const RateLimitStatement& statement) noexcept -> Change
{
    if (!last_) {
        if (!statement.perSecond)
            return Change::None;
        last_ = statement;
        return Change::Learned;
    }
    const auto before = last_->perSecond;
    const auto isLower = statement.perSecond && (!before || *statement.perSecond < *before);
    const auto isNewer = statement.requestedAt >= last_->answeredAt + maxForwardingDelay;
    const auto isOlder = statement.answeredAt + maxForwardingDelay < last_->requestedAt;
    if (isOlder)
        return Change::None;
    if (statement.perSecond == before) {
        last_->requestedAt = std::max(last_->requestedAt, statement.requestedAt);
        last_->answeredAt = std::max(last_->answeredAt, statement.answeredAt);
        return Change::None;
    }
    if (!isLower && !isNewer)
        return Change::None;
    const auto answeredAt = std::max(last_->answeredAt, statement.answeredAt);
    last_ = statement;
    last_->answeredAt = answeredAt;
    if (!statement.perSecond)
        return Change::Ended;
    return before ? Change::Changed : Change::Learned;
}

} // namespace eelgrass::decisions
