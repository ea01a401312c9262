#pragma once

#include "base/TimerService.h"

#include <memory>
#include <thread>

namespace eelgrass::tests {

/// The clock of a process that is suspended right before one of its readings, while the rest of the world goes on.
class SuspendingClock {
public:
    explicit SuspendingClock(Duration suspension)
        : state_(std::make_shared<State>(State { .suspension = suspension }))
    {
    }

    [[nodiscard]] auto clock() const -> TimerService::Clock
    {
        return [state = state_] {
            if (state->readingsLeft > 0 && --state->readingsLeft == 0)
                std::this_thread::sleep_for(state->suspension);
            return eelgrass::now();
        };
    }
    /// Suspends at the `reading`th reading from now, counted from 1.
    auto suspendAt(int reading) -> void { state_->readingsLeft = reading; }
    /// Whether that reading has come.
    [[nodiscard]] auto suspended() const -> bool { return state_->readingsLeft == 0; }

private:
    struct State {
        Duration suspension {};
        int readingsLeft = 0;
    };

    std::shared_ptr<State> state_;
};

} // namespace eelgrass::tests
