#pragma once

#include "decisions/AnnouncedRateLimit.h"
#include "decisions/ArrivalPermits.h"

namespace eelgrass::decisions {

/// The requests that one start of a replica gets, kept within the rate limit that it has announced, if any.
class LimitedArrivals {
public:
    auto apply(const RateLimitStatement& statement, Moment now) noexcept -> AnnouncedRateLimit::Change
    {
        const auto change = announced_.apply(statement);
        if (change == AnnouncedRateLimit::Change::Ended)
            permits_.clear();
        else if (change != AnnouncedRateLimit::Change::None)
            permits_.setRate(*announced_.perSecond(), now);
        return change;
    }
    [[nodiscard]] auto announced() const noexcept -> const AnnouncedRateLimit& { return announced_; }
    [[nodiscard]] auto limited() const noexcept -> bool { return permits_.limited(); }
    [[nodiscard]] auto permits() noexcept -> ArrivalPermits& { return permits_; }
    /// Time until a request that comes after `ahead` others may be sent.
    [[nodiscard]] auto timeUntilPermit(std::size_t ahead, Moment now) const noexcept -> Duration
    {
        return limited() ? permits_.timeUntilPermit(ahead, now) : Duration(0);
    }

private:
    AnnouncedRateLimit announced_;
    ArrivalPermits permits_;
};

} // namespace eelgrass::decisions
