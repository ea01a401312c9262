#pragma once

#include "base/Clock.h"
#include "base/TimerService.h"
#include "decisions/PollSchedule.h"
#include "wire/MainLoop.h"

#include <functional>
#include <string>

namespace eelgrass::router {

/// Reads something of the platform again and again, one read at a time, with jitter, and less often while it fails.
class Poller {
public:
    using Poll = std::function<kj::Promise<void>()>;

    /// `what` names the thing read in the log line of a failure.
    Poller(wire::MainLoop& loop, std::string what, Duration period, Poll poll);

    /// Polls at once and from here on.
    auto start() -> void { tick(); }

private:
    auto tick() -> void;
    auto again(decisions::PollSchedule::Outcome outcome) -> void;

    wire::MainLoop& loop_;
    std::string what_;
    Poll poll_;
    decisions::PollSchedule schedule_;
    Timer timer_;
};

} // namespace eelgrass::router
