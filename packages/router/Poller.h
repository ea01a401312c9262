#pragma once

#include "base/Clock.h"
#include "base/TimerService.h"
#include "decisions/PollSchedule.h"
#include "wire/MainLoop.h"

#include <functional>
#include <string>

namespace eelgrass::router {

/// Reads from the platform periodically, one read at a time, with jitter and with backoff while reads fail.
class Poller {
public:
    using Poll = std::function<kj::Promise<void>()>;

    /// `subject` names what is read; it appears in the log line of a failed read.
    Poller(wire::MainLoop& loop, std::string subject, Duration period, Poll poll);

    /// Polls at once, and then periodically.
    auto start() -> void { pollOnce(); }

private:
    auto pollOnce() -> void;
    auto scheduleNext(decisions::PollSchedule::Outcome outcome) -> void;

    wire::MainLoop& loop_;
    std::string subject_;
    Poll poll_;
    decisions::PollSchedule schedule_;
    Timer timer_;
};

} // namespace eelgrass::router
