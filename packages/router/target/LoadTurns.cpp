#include "router/target/LoadTurns.h"

namespace eelgrass::router {

namespace {

// The request is repeated at this interval, because the age of a request counts in the queue, and because an entry may
// have stopped or lost the request.
constexpr auto requestPeriod = Duration(1s);
// A live entry answers the previous request as soon as the next one arrives, so an entry that answers none of three
// requests is lost.
constexpr auto silenceLimit = 3 * requestPeriod;
// Loads per second that the weight store can serve in total, and the number of targets that share them in a current
// deployment. The two values set the rate of loads while no entry answers.
constexpr auto loadsPerSecond = 2.0;
constexpr auto typicalTargets = std::size_t(9);

} // namespace

LoadTurns::LoadTurns(wire::MainLoop& loop, std::string target, FindQueueHolder findHolder)
    : loop_(loop)
    , target_(std::move(target))
    , findHolder_(std::move(findHolder))
    , rateLimiter_(loadsPerSecond, typicalTargets)
{
}

auto LoadTurns::requestTurn(double weight, Moment oldestAt) -> void
{
    weight_ = weight;
    oldestAt_ = oldestAt;
    if (hasTurn_ || (requestedWeight_ && *requestedWeight_ >= weight))
        return;
    if (!requestedWeight_)
        lastAnswerAt_ = now();
    send();
}

auto LoadTurns::send() -> void
{
    if (hasTurn_)
        return;
    requestedWeight_ = weight_;
    requestedFrom_ = findHolder_();
    retryTimer_ = loop_.timers().after(requestPeriod, [this] { send(); });
    if (!requestedFrom_ || now() - lastAnswerAt_ > silenceLimit)
        return paceLocally();
    auto request = requestedFrom_->loadTurnRequest();
    request.setTarget(target_);
    request.setWeight(weight_);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now() - oldestAt_);
    request.setWaitedMs(static_cast<std::uint32_t>(std::max<std::int64_t>(waited.count(), 0)));
    const auto number = ++lastRequest_;
    loop_.spawn(request.send().then([this, number](auto&& answer) { handleAnswer(number, answer.getGranted()); },
        [this, number](kj::Exception&&) {
            if (number == lastRequest_ && !hasTurn_)
                paceLocally();
        }));
}

auto LoadTurns::handleAnswer(std::uint64_t number, bool granted) -> void
{
    lastAnswerAt_ = now();
    if (!granted || hasTurn_ || !requestedWeight_)
        return;
    // A grant for an older request counts too, because that grant removed this target from the queue.
    if (number <= lastRequest_)
        startTurn();
}

auto LoadTurns::paceLocally() -> void
{
    if (rateLimiter_.take(now()))
        startTurn();
}

auto LoadTurns::startTurn() -> void
{
    hasTurn_ = true;
    retryTimer_ = {};
    // The callback is deferred to a later event loop turn, because the caller may be iterating over its queue.
    loop_.spawn(kj::evalLater([this] {
        if (hasTurn_ && onTurn_)
            onTurn_();
    }));
}

auto LoadTurns::releaseTurn() -> void
{
    if (!hasTurn_ && !requestedWeight_)
        return;
    hasTurn_ = false;
    requestedWeight_.reset();
    retryTimer_ = {};
    if (!requestedFrom_)
        return;
    auto request = requestedFrom_->loadDoneRequest();
    request.setTarget(target_);
    loop_.spawn(request.send().ignoreResult().catch_([](kj::Exception&&) {}));
    requestedFrom_.reset();
}

} // namespace eelgrass::router
