#pragma once

#include "base/TimerService.h"

#include <functional>
#include <utility>
#include <vector>

namespace eelgrass {

/// Calls made from the loop, after the callback at hand has returned: for what must not be destroyed or entered from
/// within its own callback.
///
/// ```cpp
/// deferred.add([held = std::move(connection)] {});
/// ```
class DeferredCalls {
public:
    explicit DeferredCalls(TimerService& timers) noexcept
        : timers_(timers)
    {
    }

    auto add(std::function<void()> call) -> void
    {
        calls_.push_back(std::move(call));
        if (!timer_.active())
            timer_ = timers_.after(Duration(0), [this] { run(); });
    }

private:
    auto run() -> void
    {
        const auto calls = std::exchange(calls_, {});
        for (const auto& call : calls)
            call();
    }

    TimerService& timers_;
    std::vector<std::function<void()>> calls_;
    Timer timer_;
};

} // namespace eelgrass
