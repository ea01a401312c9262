#include "decisions/PollSchedule.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

constexpr auto spread = 0.25;

} // namespace

PollSchedule::PollSchedule(Duration period, Duration limit, std::uint64_t seed)
    : period_(period)
    , limit_(limit)
    , failing_(period)
    , random_(seed)
{
}

auto PollSchedule::next(Outcome outcome) -> Duration
{
    if (outcome == Outcome::Failed)
        failing_ = std::min(failing_ * 2, limit_);
    else
        failing_ = period_;
    auto factor = std::uniform_real_distribution<double>(1 - spread, 1 + spread)(random_);
    return std::chrono::duration_cast<Duration>(failing_ * factor);
}

} // namespace eelgrass::decisions
