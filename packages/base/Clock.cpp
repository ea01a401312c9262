#include "base/Clock.h"

#include <ctime>

namespace eelgrass {

auto now() noexcept -> Moment
{
    auto time = timespec {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Moment(std::chrono::duration_cast<Duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace eelgrass
