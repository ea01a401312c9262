#include "decisions/PollSchedule.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

constexpr auto jitter = 0.25;

} // namespace

PollSchedule::PollSchedule(Duration period, Duration limit, std::uint64_t seed)
    : period_(period)
    , limit_(limit)
    , delay_(period)
    , random_(seed)
{
}

auto PollSchedule::next(Outcome outcome) -> Duration
{
    if (outcome == Outcome::Failed)
        delay_ = std::min(delay_ * 2, limit_);
    else
        delay_ = period_;
    auto factor = std::uniform_real_distribution<double>(1 - jitter, 1 + jitter)(random_);
    return std::chrono::duration_cast<Duration>(delay_ * factor);
}

} // namespace eelgrass::decisions
