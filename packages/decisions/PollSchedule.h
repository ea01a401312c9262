#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <random>

namespace eelgrass::decisions {

/// Computes the delay until the next poll of the platform.
///
/// Designed for 400 entries that poll two resources each and are all started by the same event, such as the return of a
/// zone. Synchronized polls would arrive as one burst per period. Each delay is therefore drawn at random from the
/// period plus or minus a quarter. While polls fail, the delay doubles, so that retries do not prevent the platform
/// from recovering. The limit of the backoff ensures that an accepted configuration is in force everywhere within
/// seconds of the platform's return.
///
/// ```cpp
/// auto schedule = PollSchedule(1s, 4s, seed);
/// after(schedule.next(PollSchedule::Outcome::Answered), poll);
/// ```
class PollSchedule {
public:
    enum class Outcome { Answered, Failed };

    PollSchedule(Duration period, Duration limit, std::uint64_t seed);

    [[nodiscard]] auto next(Outcome) -> Duration;

private:
    Duration period_;
    Duration limit_;
    Duration delay_;
    std::mt19937_64 random_;
};

} // namespace eelgrass::decisions
