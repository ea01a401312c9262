#include "router/Poller.h"

#include "base/Log.h"

#include <random>

namespace eelgrass::router {

namespace {

// A configuration must be in force within 12 s. The longest interval between polls after an outage, including its
// jitter, leaves half of that time.
constexpr auto longestInterval = Duration(4s);

} // namespace

Poller::Poller(wire::MainLoop& loop, std::string subject, Duration period, Poll poll)
    : loop_(loop)
    , subject_(std::move(subject))
    , poll_(std::move(poll))
    , schedule_(period, longestInterval, std::random_device()())
{
}

auto Poller::pollOnce() -> void
{
    using Outcome = decisions::PollSchedule::Outcome;
    loop_.spawn(poll_().then([this] { scheduleNext(Outcome::Answered); },
        [this](kj::Exception&& lost) {
            log::warn(subject_ + " not read", { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
            scheduleNext(Outcome::Failed);
        }));
}

auto Poller::scheduleNext(decisions::PollSchedule::Outcome outcome) -> void
{
    timer_ = loop_.timers().after(schedule_.next(outcome), [this] { pollOnce(); });
}

} // namespace eelgrass::router
