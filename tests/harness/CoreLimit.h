#pragma once

#include <cstddef>
#include <sched.h>

namespace eelgrass::tests {

/// Restricts this thread, and the processes that it starts, to the first `cores` processor cores until it is lifted.
class CoreLimit {
public:
    explicit CoreLimit(std::size_t cores)
    {
        sched_getaffinity(0, sizeof(before_), &before_);
        if (cores == 0)
            return;
        auto allowed = cpu_set_t {};
        for (auto core = 0; core < CPU_SETSIZE && static_cast<std::size_t>(CPU_COUNT(&allowed)) < cores; ++core) {
            if (CPU_ISSET(core, &before_))
                CPU_SET(core, &allowed);
        }
        sched_setaffinity(0, sizeof(allowed), &allowed);
    }
    ~CoreLimit() { lift(); }
    auto lift() -> void { sched_setaffinity(0, sizeof(before_), &before_); }
    CoreLimit(const CoreLimit&) = delete;
    auto operator=(const CoreLimit&) -> CoreLimit& = delete;

private:
    cpu_set_t before_ {};
};

} // namespace eelgrass::tests
