#include "router/Poller.h"

#include "base/Log.h"

#include <random>

namespace eelgrass::router {

namespace {

// A configuration must be in force within 12 s: the longest pause after an outage, with its jitter, leaves half of
// that.
constexpr auto longestPause = Duration(4s);

} // namespace

Poller::Poller(wire::MainLoop& loop, std::string what, Duration period, Poll poll)
    : loop_(loop)
    , what_(std::move(what))
    , poll_(std::move(poll))
    , schedule_(period, longestPause, std::random_device()())
{
}

auto Poller::tick() -> void
{
    using Outcome = decisions::PollSchedule::Outcome;
    loop_.spawn(poll_().then([this] { again(Outcome::Answered); },
        [this](kj::Exception&& lost) {
            log::warn(what_ + " not read", { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
            again(Outcome::Failed);
        }));
}

auto Poller::again(decisions::PollSchedule::Outcome outcome) -> void
{
    timer_ = loop_.timers().after(schedule_.next(outcome), [this] { tick(); });
}

} // namespace eelgrass::router
