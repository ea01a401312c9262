/// Drives a timer service by a clock of its own, as the unit tests do: nothing waits, and every run is the same.
#include "base/TimerService.h"

#include <iostream>

using namespace eelgrass;

auto main() -> int
{
    auto clock = Moment();
    auto timers = TimerService([&] { return clock; });
    auto beats = 0;
    const auto heartbeat = timers.every(1s, [&] { ++beats; });
    constexpr auto seconds = 5;
    for (auto second = 0; second < seconds; ++second) {
        clock += Duration(1s);
        timers.runDue();
    }
    std::cout << beats << " heartbeats in " << seconds << " s that never passed\n";
    return 0;
}
