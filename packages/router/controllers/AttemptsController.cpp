#include "router/controllers/AttemptsController.h"

#include "base/Log.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

// How long an ended attempt is kept for an entry that lost its session: longer than finding the loss and reconnecting.
constexpr auto keptAfterEnd = Duration(60s);
// How long a revoked attempt is remembered: longer than any start can lie in a frozen process's socket.
constexpr auto revokedKept = Duration(600s);
constexpr auto expiryPeriod = Duration(100ms);
// Loads of one adapter that may fail before those who wait for it are told; a single failure is often passing.
constexpr auto maxLoadFailures = 3;

auto notRun(Step step, int status, const char* type, const char* message, std::chrono::milliseconds retryAfter) -> Error
{
    return Error(step, status, type, message).retryAfter(retryAfter);
}

} // namespace

AttemptsController::AttemptsController(
    wire::MainLoop& loop, AnyRunner runner, SlotsController* slots, Metrics& metrics, Limits limits)
    : loop_(loop)
    , runner_(std::move(runner))
    , slots_(slots)
    , metrics_(metrics)
    , limits_(limits)
    , requests_(limits.queue, limits.batch)
{
    if (slots_) {
        slots_->onChange([this] { pump(); });
        slots_->onLoadTook([this](Duration time) { requests_.loadTook(time); });
    }
    expiry_ = loop_.timers().every(expiryPeriod, [this] { expire(); });
}

auto AttemptsController::start(StartOrder order, wire::schema::ChunkSink::Client sink) -> std::optional<Error>
{
    if (leaving_)
        return notRun(Step::Start, 503, "leaving", "this target is leaving", 1s);
    if (order.epoch != epoch_)
        return notRun(Step::Start, 409, "stale_epoch", "this target has another owner now", 0s);
    if (revoked_.contains(order.attempt))
        return notRun(Step::Start, 409, "revoked", "this attempt was revoked", 0s);
    if (attempts_.contains(order.attempt))
        return Error(Step::Start, 409, "duplicate_attempt", "this attempt is known already").run(RunState::Unknown);
    auto attempt = std::make_shared<Attempt>(loop_, std::move(order), now());
    if (auto refused = offer(attempt))
        return refused;
    attempt->output.attach(kj::mv(sink), ChunkNumber(0));
    attempts_[attempt->order.attempt] = attempt;
    queue_.push_back(attempt);
    if (slots_)
        slots_->asked(attempt->order.model);
    // Started in the next turn, so that the acceptance is on its way before the first chunk.
    loop_.spawn(kj::evalLater([this] { pump(); }));
    return std::nullopt;
}

auto AttemptsController::offer(const AttemptPtr& attempt) -> std::optional<Error>
{
    const auto& order = attempt->order;
    const auto deadline = order.deadline.count() > 0 ? attempt->acceptedAt + order.deadline : Moment::max();
    dropUnqueued();
    const auto answer = requests_.offer(
        { order.attempt, order.member, order.model, order.requestClass, attempt->acceptedAt, deadline }, resident(),
        running_, now());
    const auto* refused = std::get_if<decisions::Refused>(&answer);
    if (!refused)
        return std::nullopt;
    const auto later = std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter);
    if (refused->reason == decisions::Refused::Reason::Full)
        return notRun(Step::Queue, 503, "queue_full", "this target's queue is full", later);
    return notRun(Step::Queue, 503, "too_late", "the request could not be answered before its deadline", later);
}

auto AttemptsController::resident() const -> decisions::RequestQueue::IsResident
{
    return [slots = slots_](const ModelName& model) { return !slots || slots->ready(model); };
}

auto AttemptsController::dropUnqueued() -> void
{
    requests_.keepOnly([this](const AttemptId& id) {
        const auto found = attempts_.find(id);
        return found != attempts_.end() && found->second->state == Attempt::State::Queued;
    });
}

auto AttemptsController::resume(const AttemptId& id, wire::schema::ChunkSink::Client sink, ChunkNumber from) -> bool
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return false;
    found->second->output.attach(kj::mv(sink), from);
    return true;
}

auto AttemptsController::revoke(const AttemptId& id) -> Revoked
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second->state != Attempt::State::Queued)
        return Revoked::AlreadyStarted;
    revoked_[id] = loop_.timers().after(revokedKept, [this, id] { revoked_.erase(id); });
    if (found != attempts_.end()) {
        std::erase(queue_, found->second);
        attempts_.erase(found);
    }
    return Revoked::Yes;
}

auto AttemptsController::cancel(const AttemptId& id) -> void
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end())
        return;
    auto attempt = found->second;
    attempt->cancelled = true;
    if (attempt->state == Attempt::State::Queued) {
        std::erase(queue_, attempt);
        attempts_.erase(id);
        return;
    }
    if (attempt->state == Attempt::State::Ended)
        return;
    auto cancel = std::visit([&](auto& runner) { return runner.cancel(attempt); }, runner_);
    // The slot stays pinned until the engine has let go of the stream.
    loop_.spawn(cancel.catch_([](kj::Exception&&) {}).then([this, attempt] {
        attempt->output.detach();
        attempt->work = nullptr;
        finished(attempt);
    }));
}

auto AttemptsController::idle() const noexcept -> bool
{
    return std::all_of(attempts_.begin(), attempts_.end(), [](const auto& entry) {
        const auto& attempt = *entry.second;
        return attempt.state == Attempt::State::Ended && (attempt.output.delivered() || !attempt.output.attached());
    });
}

auto AttemptsController::pump() -> void
{
    if (pumping_)
        return;
    pumping_ = true;
    dropUnqueued();
    while (const auto next = requests_.next(running_, resident(), now())) {
        if (slots_)
            slots_->pin(next->model);
        run(attempts_.at(next->attempt));
    }
    if (slots_) {
        noteStalls();
        slots_->want(requests_.loadCandidates(resident(), now()));
    }
    pumping_ = false;
    if (onChange_)
        onChange_();
}

auto AttemptsController::noteStalls() -> void
{
    for (const auto& attempt : queue_) {
        if (attempt->stalledAt || slots_->ready(attempt->order.model))
            continue;
        attempt->stalledAt = now();
        attempt->output.progress("loading adapter");
    }
}

auto AttemptsController::run(const AttemptPtr& attempt) -> void
{
    std::erase(queue_, attempt);
    attempt->state = Attempt::State::Running;
    attempt->queueWait = now() - attempt->acceptedAt;
    if (attempt->stalledAt)
        attempt->loadStall = now() - *attempt->stalledAt;
    ++running_;
    metrics_.observeShare("eelgrass_batch_fill", static_cast<double>(running_) / static_cast<double>(limits_.batch));
    attempt->work
        = std::visit([&](auto& runner) { return runner.run(attempt, epoch_); }, runner_)
              .then([this, attempt] { finished(attempt); })
              .eagerlyEvaluate([this, attempt](kj::Exception&& broken) {
                  log::error("attempt failed",
                      { { "attempt", attempt->order.attempt.str() }, { "reason", broken.getDescription().cStr() } });
                  attempt->output.end(
                      { .error = Error(Step::Engine, 500, "internal", "the attempt failed").run(RunState::Unknown) });
                  finished(attempt);
              });
}

auto AttemptsController::finished(const AttemptPtr& attempt) -> void
{
    if (attempt->state != Attempt::State::Running)
        return;
    attempt->state = Attempt::State::Ended;
    --running_;
    if (!attempt->cancelled)
        requests_.ran(attempt->order.requestClass, now() - attempt->acceptedAt - attempt->queueWait);
    metrics_.count("eelgrass_attempts_total", { { "outcome", attempt->cancelled ? "cancelled" : "ended" } });
    forgetLater(attempt);
    if (slots_)
        slots_->unpin(attempt->order.model);
    pump();
}

auto AttemptsController::giveUp(const AttemptPtr& attempt, Error error) -> void
{
    std::erase(queue_, attempt);
    attempt->state = Attempt::State::Ended;
    attempt->output.end({ .error = std::move(error) });
    forgetLater(attempt);
}

auto AttemptsController::forgetLater(const AttemptPtr& attempt) -> void
{
    const auto& id = attempt->order.attempt;
    forgetting_[id] = loop_.timers().after(keptAfterEnd, [this, id] {
        attempts_.erase(id);
        forgetting_.erase(id);
    });
}

auto AttemptsController::expire() -> void
{
    dropUnqueued();
    for (const auto& late : requests_.expire(resident(), now())) {
        const auto later = std::chrono::ceil<std::chrono::milliseconds>(late.retryAfter);
        giveUp(attempts_.at(late.attempt),
            notRun(Step::Queue, 503, "deadline", "the request could not start in time", later));
    }
    for (const auto& attempt : std::deque<AttemptPtr>(queue_)) {
        if (slots_ && slots_->failures(attempt->order.model) >= maxLoadFailures)
            giveUp(attempt, notRun(Step::Load, 503, "load_failed", "the adapter could not be loaded", 5s));
    }
    // Some answers of the decisions change with time alone, as when a load that nobody used may be evicted.
    pump();
}

} // namespace eelgrass::router
