#include "router/target/LoadTurns.h"

namespace eelgrass::router {

namespace {

// Asked again this often: age counts in the queue, and an entry that froze or lost the ask is found out.
constexpr auto askPeriod = Duration(1s);
// A live entry answers the former ask as soon as the next one comes, so silence for three of them is a lost entry.
constexpr auto silenceLimit = 3 * askPeriod;
// What the weight store gives to all, shared by the targets of a deployment of today.
constexpr auto loadsPerSecond = 2.0;
constexpr auto usualTargets = std::size_t(9);

} // namespace

LoadTurns::LoadTurns(wire::MainLoop& loop, std::string target, Holder holder)
    : loop_(loop)
    , target_(std::move(target))
    , holder_(std::move(holder))
    , pacer_(loadsPerSecond, usualTargets)
{
}

auto LoadTurns::ask(double weight, Moment oldestAt) -> void
{
    weight_ = weight;
    oldestAt_ = oldestAt;
    if (held_ || (askedWeight_ && *askedWeight_ >= weight))
        return;
    if (!askedWeight_)
        heardAt_ = now();
    send();
}

auto LoadTurns::send() -> void
{
    if (held_)
        return;
    askedWeight_ = weight_;
    askedAt_ = holder_();
    again_ = loop_.timers().after(askPeriod, [this] { send(); });
    if (!askedAt_ || now() - heardAt_ > silenceLimit)
        return paceAlone();
    auto request = askedAt_->loadTurnRequest();
    request.setTarget(target_);
    request.setWeight(weight_);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - oldestAt_);
    request.setWaitedMs(static_cast<std::uint32_t>(std::max<std::int64_t>(waited.count(), 0)));
    const auto number = ++number_;
    loop_.spawn(request.send().then([this, number](auto&& answer) { answered(number, answer.getGranted()); },
        [this, number](kj::Exception&&) {
            if (number == number_ && !held_)
                paceAlone();
        }));
}

auto LoadTurns::answered(std::uint64_t number, bool granted) -> void
{
    heardAt_ = now();
    if (!granted || held_ || !askedWeight_)
        return;
    // A grant for an older ask is one all the same: the queue took this target's ask out.
    if (number <= number_)
        begin();
}

auto LoadTurns::paceAlone() -> void
{
    if (pacer_.take(now()))
        begin();
}

auto LoadTurns::begin() -> void
{
    held_ = true;
    again_ = {};
    // In a later turn: the caller may be in the middle of looking through its queue.
    loop_.spawn(kj::evalLater([this] {
        if (held_ && onTurn_)
            onTurn_();
    }));
}

auto LoadTurns::done() -> void
{
    if (!held_ && !askedWeight_)
        return;
    held_ = false;
    askedWeight_.reset();
    again_ = {};
    if (!askedAt_)
        return;
    auto request = askedAt_->loadDoneRequest();
    request.setTarget(target_);
    loop_.spawn(request.send().ignoreResult().catch_([](kj::Exception&&) {}));
    askedAt_.reset();
}

} // namespace eelgrass::router
