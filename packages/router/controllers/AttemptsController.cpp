#include "router/controllers/AttemptsController.h"

#include "base/Log.h"

#include <algorithm>
#include <utility>

namespace eelgrass::router {

namespace {

// How long an ended attempt stays available to an entry that lost its session: longer than the entry needs to notice
// the loss and to reconnect.
constexpr auto endedRetention = Duration(60s);
// How long a revocation is remembered: longer than a start request can stay in the socket of a suspended process.
constexpr auto revocationRetention = Duration(600s);
// A request that can no longer meet its deadline is refused within 50 ms of that moment.
constexpr auto expiryPeriod = Duration(40ms);
// Failed loads of one adapter after which its waiting requests are rejected; a single failure is often transient.
constexpr auto maxLoadFailures = 3;
// How long an attempt without a reader waits for an entry that lost its session: longer than the entry takes to notice
// (3 s) and to reconnect. After that, a repeatable attempt is cancelled, because it would occupy an adapter slot for no
// one.
constexpr auto reconnectGrace = Duration(10s);
// How long the answer of a non-repeatable attempt is kept for a caller that sends its request again.
constexpr auto unreleasedRetention = Duration(900s);

auto notRunError(Step step, int status, const char* type, const char* message, std::chrono::milliseconds retryAfter)
    -> Error
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
        slots_->onChange([this] { dispatch(); });
        slots_->onLoadTime([this](Duration time) { requests_.recordLoadTime(time); });
    }
    expiry_ = loop_.timers().every(expiryPeriod, [this] { expire(); });
}

auto AttemptsController::start(AttemptRequest request, wire::schema::ChunkSink::Client sink) -> std::optional<Error>
{
    if (leaving_)
        return notRunError(Step::Start, 503, "leaving", "this target is leaving", 1s);
    if (!engineAlive_)
        return notRunError(Step::Start, 503, "engine_away", "the engine of this target is away", 1s);
    if (request.epoch != epoch_)
        return notRunError(Step::Start, 409, "stale_epoch", "this target has another owner now", 0s);
    if (revoked_.contains(request.attempt))
        return notRunError(Step::Start, 409, "revoked", "this attempt was revoked", 0s);
    if (!request.givenText.empty() && !engineSoftware_.empty() && engineSoftware_ != request.software)
        return notRunError(Step::Start, 409, otherSoftwareType, "the answer began at another software version", 0s);
    if (attempts_.contains(request.attempt))
        return Error(Step::Start, 409, "duplicate_attempt", "this attempt is known already").run(RunState::Unknown);
    auto attempt = std::make_shared<Attempt>(loop_, std::move(request), now());
    if (auto refused = enqueue(attempt))
        return refused;
    attempt->output.attach(kj::mv(sink), ChunkNumber(0));
    attempts_[attempt->request.attempt] = attempt;
    queue_.push_back(attempt);
    if (slots_)
        slots_->recordDemand(attempt->request.model);
    // The run is deferred to the next event loop turn, so that the acceptance is sent before the first chunk.
    loop_.spawn(kj::evalLater([this] { dispatch(); }));
    return std::nullopt;
}

auto AttemptsController::enqueue(const AttemptPtr& attempt) -> std::optional<Error>
{
    const auto& request = attempt->request;
    const auto deadline = request.deadline.count() > 0 ? attempt->acceptedAt + request.deadline : Moment::max();
    removeUnqueued();
    const auto answer = requests_.offer(
        { request.attempt, request.member, request.model, request.requestClass, attempt->acceptedAt, deadline },
        resident(), running_, now());
    const auto* refused = std::get_if<decisions::Refused>(&answer);
    if (!refused)
        return std::nullopt;
    const auto later = std::chrono::ceil<std::chrono::milliseconds>(refused->retryAfter);
    if (refused->reason == decisions::Refused::Reason::Full)
        return notRunError(Step::Queue, 503, "queue_full", "this target's queue is full", later);
    return notRunError(Step::Queue, 503, "too_late", "the request could not be answered before its deadline", later);
}

auto AttemptsController::resident() const -> decisions::RequestQueue::IsResident
{
    return [slots = slots_](const ModelName& model) { return !slots || slots->ready(model); };
}

auto AttemptsController::removeUnqueued() -> void
{
    requests_.keepOnly([this](const AttemptId& id) {
        const auto found = attempts_.find(id);
        return found != attempts_.end() && found->second->state == Attempt::State::Queued;
    });
}

auto AttemptsController::resume(ResumeRequest request, wire::schema::ChunkSink::Client sink) -> kj::Promise<bool>
{
    const auto found = attempts_.find(request.attempt);
    if (found != attempts_.end()) {
        const auto& attempt = found->second;
        if (attempt->adopted && attempt->task == nullptr && attempt->state == Attempt::State::Running)
            streamAdopted(attempt, request, kj::mv(sink));
        else if (attempt->output.has(request.chunk))
            attempt->output.attach(kj::mv(sink), request.chunk);
        else
            return false;
        return true;
    }
    if (revoked_.contains(request.attempt) || request.model.empty())
        return false;
    auto known = std::visit([&](auto& runner) { return runner.knows(request.attempt, request.model); }, runner_);
    return known.then(
        [this, request = std::move(request), sink = kj::mv(sink)](bool there) mutable -> kj::Promise<bool> {
            // The attempt's start request may have arrived while the engine was being queried.
            if (!attempts_.contains(request.attempt)) {
                if (!there)
                    return false;
                adopt(request.attempt, request.model);
            }
            return resume(std::move(request), kj::mv(sink));
        },
        [](kj::Exception&&) { return false; });
}

auto AttemptsController::adopt(const AttemptId& id, const ModelName& model) -> void
{
    auto request = AttemptRequest { .attempt = id, .model = model };
    auto attempt = std::make_shared<Attempt>(loop_, std::move(request), now());
    attempt->adopted = true;
    attempt->started = true;
    attempt->state = Attempt::State::Running;
    attempt->pinned = slots_ && slots_->pinResident(model);
    ++running_;
    attempts_[id] = attempt;
    rememberStarted(id);
    log::info("attempt adopted", { { "attempt", id.str() }, { "model", model.str() } });
}

auto AttemptsController::streamAdopted(
    const AttemptPtr& attempt, const ResumeRequest& request, wire::schema::ChunkSink::Client sink) -> void
{
    attempt->output.beginAt(request.chunk, request.token);
    attempt->output.attach(kj::mv(sink), request.chunk);
    runTask(attempt, std::visit([&](auto& runner) { return runner.adopt(attempt); }, runner_));
}

auto AttemptsController::reconcileEngineStreams(const std::vector<targets::EngineStream>& streams) -> void
{
    for (const auto& [id, attempt] : std::map<AttemptId, AttemptPtr>(attempts_)) {
        if (!attempt->adopted || attempt->task != nullptr || attempt->state != Attempt::State::Running)
            continue;
        const auto runs = std::any_of(
            streams.begin(), streams.end(), [&id = id](const auto& stream) { return stream.attempt == id; });
        if (runs)
            continue;
        finish(attempt);
        // The engine keeps the generated output, so an entry that resumes the attempt is served from the engine.
        attempts_.erase(id);
    }
}

auto AttemptsController::rememberStarted(const AttemptId& id) -> void
{
    // Enough for a day of filed submissions, at about 100 bytes each. Once older IDs are dropped, an unknown attempt is
    // never reported as revoked, because it may have been started.
    constexpr auto remembered = std::size_t(100000);
    if (!startedOnce_.insert(id).second)
        return;
    startedOnceOrder_.push_back(id);
    if (startedOnceOrder_.size() <= remembered)
        return;
    startedOnce_.erase(startedOnceOrder_.front());
    startedOnceOrder_.pop_front();
    startedOnceTrimmed_ = true;
}

auto AttemptsController::revoke(const AttemptId& id) -> Revoked
{
    // An attempt whose start has arrived is shared rather than revoked. Of two simultaneous sends of a request, the
    // second finds the claim of the first and may ask for the first send's attempt just before the start arrives. If
    // the second send then revoked the attempt, which is queued by that time, both callers would be refused.
    const auto found = attempts_.find(id);
    if (found != attempts_.end())
        return found->second->output.has(ChunkNumber(0)) ? Revoked::Replayable : Revoked::AlreadyStarted;
    if (startedOnce_.contains(id) || startedOnceTrimmed_)
        return Revoked::AlreadyStarted;
    revoked_[id] = loop_.timers().after(revocationRetention, [this, id] { revoked_.erase(id); });
    return Revoked::Yes;
}

auto AttemptsController::release(const AttemptId& id) -> void
{
    const auto found = attempts_.find(id);
    if (found != attempts_.end())
        found->second->output.release();
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
    // The slot stays pinned until the engine has released the stream.
    loop_.spawn(cancel.catch_([](kj::Exception&&) {}).then([this, attempt] {
        attempt->output.detach();
        attempt->task = nullptr;
        finish(attempt);
    }));
}

auto AttemptsController::isComplete(const Attempt& attempt) const -> bool
{
    if (attempt.state != Attempt::State::Ended)
        return false;
    if (attempt.output.delivered() || attempt.cancelled)
        return true;
    // An entry that lost its session resumes the answer within the grace period, unless the entry is gone for good.
    return !attempt.output.attached() && now() - attempt.output.detachedAt() > reconnectGrace;
}

auto AttemptsController::idle() const noexcept -> bool
{
    return std::all_of(
        attempts_.begin(), attempts_.end(), [this](const auto& entry) { return isComplete(*entry.second); });
}

auto AttemptsController::awaited(const AttemptId& id) const -> bool
{
    const auto found = attempts_.find(id);
    return found != attempts_.end() && !isComplete(*found->second);
}

auto AttemptsController::cancelAbandoned() -> void
{
    auto abandoned = std::vector<AttemptId>();
    for (const auto& [id, attempt] : attempts_) {
        // A non-repeatable attempt continues: its caller joins it by sending the request again.
        const auto wanted = attempt->request.neverRepeat || attempt->adopted || attempt->output.attached();
        if (attempt->state == Attempt::State::Ended || wanted)
            continue;
        if (now() - attempt->output.detachedAt() > reconnectGrace)
            abandoned.push_back(id);
    }
    for (const auto& id : abandoned)
        cancel(id);
}

auto AttemptsController::dispatch() -> void
{
    if (dispatching_)
        return;
    dispatching_ = true;
    removeUnqueued();
    while (const auto next = requests_.next(running_, resident(), now())) {
        const auto attempt = attempts_.at(next->attempt);
        // A request that was running when an engine died runs alone, so that a second crash identifies the request that
        // crashes engines and fails no other request.
        if (suspectRunning_ || (attempt->request.crashes > 0 && running_ > 0)) {
            requests_.putBack(*next);
            break;
        }
        if (slots_)
            slots_->pin(next->model);
        run(attempt);
    }
    if (slots_) {
        recordLoadStalls();
        slots_->requestLoads(requests_.loadCandidates(resident(), now()));
    }
    dispatching_ = false;
    if (onChange_)
        onChange_();
}

auto AttemptsController::recordLoadStalls() -> void
{
    for (const auto& attempt : queue_) {
        if (attempt->stalledAt || slots_->ready(attempt->request.model))
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
    metrics_.observeRatio("eelgrass_batch_fill", static_cast<double>(running_) / static_cast<double>(limits_.batch));
    attempt->started = true;
    attempt->pinned = slots_;
    attempt->engineStart = engineStart_;
    attempt->startedAt = now();
    suspectRunning_ = attempt->request.crashes > 0;
    if (attempt->request.neverRepeat)
        rememberStarted(attempt->request.attempt);
    runTask(attempt, confirmOwner_().then([this, attempt](bool owner) -> kj::Promise<void> {
        if (owner)
            return std::visit([&](auto& runner) { return runner.run(attempt, epoch_); }, runner_);
        attempt->output.end(
            { .error = notRunError(Step::Start, 409, "stale_epoch", "this target has another owner now", 0s) });
        return kj::READY_NOW;
    }));
}

auto AttemptsController::runTask(const AttemptPtr& attempt, kj::Promise<void> task) -> void
{
    attempt->task
        = task.then([this, attempt] { finish(attempt); }).eagerlyEvaluate([this, attempt](kj::Exception&& broken) {
              log::error("attempt failed",
                  { { "attempt", attempt->request.attempt.str() }, { "reason", broken.getDescription().cStr() } });
              attempt->output.end(
                  { .error = Error(Step::Engine, 500, "internal", "the attempt failed").run(RunState::Unknown) });
              finish(attempt);
          });
}

auto AttemptsController::finish(const AttemptPtr& attempt) -> void
{
    if (attempt->state != Attempt::State::Running)
        return;
    attempt->state = Attempt::State::Ended;
    --running_;
    if (!attempt->cancelled)
        requests_.recordRunTime(attempt->request.requestClass, now() - attempt->acceptedAt - attempt->queueWait);
    suspectRunning_ = suspectRunning_ && running_ > 0;
    recordCrash(*attempt);
    metrics_.count("eelgrass_attempts_total", { { "outcome", attempt->cancelled ? "cancelled" : "ended" } });
    scheduleRemoval(attempt);
    if (slots_ && std::exchange(attempt->pinned, false))
        slots_->unpin(attempt->request.model);
    dispatch();
}

auto AttemptsController::recordCrash(const Attempt& attempt) -> void
{
    const auto content = EngineCrashes::contentOf(attempt.request.digest, attempt.request.model);
    const auto* error = attempt.output.error();
    if (!error)
        return engineCrashes_.succeeded(content, attempt.startedAt, now());
    if (error->type() != "engine_lost")
        return;
    const auto alone = attempt.request.crashes > 0;
    engineCrashes_.record(content, decisions::StartHash(attempt.engineStart), alone, now());
}

auto AttemptsController::reject(const AttemptPtr& attempt, Error error) -> void
{
    std::erase(queue_, attempt);
    attempt->state = Attempt::State::Ended;
    attempt->output.end({ .error = std::move(error) });
    scheduleRemoval(attempt);
}

auto AttemptsController::setEngineAlive(bool alive) -> void
{
    engineAlive_ = alive;
    if (alive)
        return;
    // Queued attempts were not sent to the engine, so they are rejected at once and another target can run them.
    for (const auto& attempt : std::deque<AttemptPtr>(queue_))
        reject(attempt, notRunError(Step::Queue, 503, "engine_away", "the engine of this target is away", 1s));
}

auto AttemptsController::scheduleRemoval(const AttemptPtr& attempt) -> void
{
    const auto& id = attempt->request.attempt;
    const auto kept = attempt->request.neverRepeat ? unreleasedRetention : endedRetention;
    removalTimers_[id] = loop_.timers().after(kept, [this, id] {
        attempts_.erase(id);
        removalTimers_.erase(id);
    });
}

auto AttemptsController::expire() -> void
{
    cancelAbandoned();
    removeUnqueued();
    for (const auto& late : requests_.expire(resident(), now())) {
        const auto later = std::chrono::ceil<std::chrono::milliseconds>(late.retryAfter);
        reject(attempts_.at(late.attempt),
            notRunError(Step::Queue, 503, "deadline", "the request could not start in time", later));
    }
    for (const auto& attempt : std::deque<AttemptPtr>(queue_)) {
        if (slots_ && slots_->loadFailures(attempt->request.model) >= maxLoadFailures)
            reject(attempt, notRunError(Step::Load, 503, "load_failed", "the adapter could not be loaded", 5s));
    }
    // Some decisions change with time alone: an adapter that was loaded but never used may become evictable.
    dispatch();
}

} // namespace eelgrass::router
