#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <random>

namespace eelgrass::decisions {

/// When to read the platform next.
///
/// Load: 400 entries that poll two things each, all started by the same event, as when a zone comes back. Read in step
/// they would come as one burst a period; so each delay is drawn from the period give or take a quarter. A platform
/// that fails is asked less and less often: retries must not be what keeps it down. The limit of the back-off keeps an
/// accepted configuration in force everywhere within seconds of the platform's return.
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
    Duration failing_;
    std::mt19937_64 random_;
};

} // namespace eelgrass::decisions
