#include "router/entry/Relay.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

// Number of attempts for one request. More attempts would keep the caller waiting on a system that has no capacity
// left.
constexpr auto maxAttempts = 3;
// Refusals by targets of another software version that do not count as attempts.
constexpr auto maxOtherSoftwareRefusals = 8;
constexpr auto resumeDelay = Duration(200ms);
// A restarted target process is available again within this time. After that, the attempt counts as lost.
constexpr auto resumeLimit = Duration(15s);
// A live target process accepts a new connection within milliseconds, but a frozen one accepts connections and never
// answers on them. After this time, a repeatable request moves to another target if one is available.
constexpr auto repeatableResumeLimit = Duration(1s);
// Delay before the second try of a target whose process or engine has just restarted.
constexpr auto sameTargetRetryDelay = Duration(300ms);
constexpr auto suspectPollPeriod = Duration(50ms);

auto digestOf(const Call& call) -> std::string
{
    // The digest starts with the member, so that a crash caused by one member's request never counts against another
    // member.
    const auto text = call.model.name.str() + "\n" + call.servicePath + "\n" + std::string(call.exchange->body());
    return call.caller.member.str() + "/" + sha256Hex(text);
}

auto lostError(const TargetId& target) -> Error
{
    return Error(Step::Relay, 502, "target_lost", "the target was lost during the answer")
        .at(target.str())
        .run(RunState::Unknown);
}

} // namespace

/// Receives the chunks of one attempt. Rejects them once the relay has abandoned the attempt.
class Relay::Sink final : public wire::schema::ChunkSink::Server {
public:
    Sink(std::weak_ptr<Relay> relay, AttemptId attempt)
        : relay_(std::move(relay))
        , attempt_(std::move(attempt))
    {
    }

    auto chunk(ChunkContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        auto received = AnswerChunk { .status = params.getStatus(), .tokens = params.getTokens() };
        received.contentType = params.getContentType();
        received.data = textOf(params.getData());
        received.software = SoftwareVersion(params.getSoftware());
        return current()->receiveChunk(ChunkNumber(params.getNumber()), std::move(received));
    }

    auto end(EndContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        return current()->receiveChunk(ChunkNumber(params.getNumber()), AnswerChunk { .end = read(params.getEnd()) });
    }

    auto progress(ProgressContext context) -> kj::Promise<void> override
    {
        current()->writer_.setProgress(context.getParams().getNote());
        return kj::READY_NOW;
    }

private:
    auto current() -> std::shared_ptr<Relay>
    {
        auto relay = relay_.lock();
        const auto live = relay && !relay->done_ && relay->attempt_ == attempt_;
        KJ_REQUIRE(live, "this attempt is over");
        return relay;
    }

    std::weak_ptr<Relay> relay_;
    AttemptId attempt_;
};

Relay::Relay(wire::MainLoop& loop, const RelayControllers& controllers, CallPtr call)
    : loop_(loop)
    , targets_(controllers.targets)
    , quarantine_(controllers.quarantine)
    , metrics_(controllers.metrics)
    , call_(std::move(call))
    , suspect_(QuarantineController::requestOf(digestOf(*call_), call_->model.name))
    , writer_(loop, call_)
{
    if (call_->neverRepeat)
        record_ = std::make_unique<RunRecord>(loop, controllers.ledger, *call_);
    auto pair = kj::newPromiseAndFulfiller<void>();
    finished_ = kj::mv(pair.fulfiller);
    whenFinished_ = pair.promise.fork();
}

Relay::~Relay() { releaseSuspectTurn(); }

auto Relay::run() -> kj::Promise<void>
{
    call_->exchange->onOver([self = weak_from_this()](bool whole) {
        auto relay = self.lock();
        if (relay && !whole)
            relay->handleHangUp();
    });
    auto outcome = record_ ? record_->lookUp().then([self = shared_from_this()](ClaimStatus status) {
        return self->handleClaimStatus(std::move(status));
    })
                           : tryNextTarget();
    return outcome.exclusiveJoin(whenFinished_.addBranch()).attach(kj::heap(shared_from_this()));
}

auto Relay::handleClaimStatus(ClaimStatus status) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (const auto* held = std::get_if<HeldBy>(&status))
        return joinAttempt(held->claim);
    if (const auto* answered = std::get_if<Answered>(&status))
        replayAnswer(*answered);
    else if (const auto* error = std::get_if<Error>(&status))
        endWithError(*error);
    else
        return tryNextTarget();
    return kj::READY_NOW;
}

auto Relay::adoptModel(const ModelName& model) -> void
{
    // If a new version takes effect before a caller sends the same request again, the stored answer would be reported
    // under the new version. The caller therefore gets the version that ran, which the ledger records.
    call_->model = withModelName(std::move(call_->model), model);
    writer_.updateModel();
}

auto Relay::replayAnswer(const Answered& answered) -> void
{
    adoptModel(answered.model);
    const auto& answer = answered.answer;
    writer_.setHead(answer.status, answer.contentType);
    if (!answer.text.empty())
        writer_.appendText(answer.text, answer.tokens);
    recorded_ = true;
    metrics_.count("eelgrass_replays_total", {});
    writer_.finish({ .finishReason = answer.finishReason, .completionTokens = answer.tokens, .error = answer.error });
    finish();
}

auto Relay::joinAttempt(const Claim& claim) -> kj::Promise<void>
{
    log::info("attempt joined",
        { { "step", "claim" }, { "peer", claim.target.str() }, { "attempt", claim.attempt.str() },
            { "request_id", call_->requestId.str() } });
    adoptModel(claim.model);
    attempt_ = claim.attempt;
    target_ = claim.target;
    epoch_ = claim.epoch;
    nextChunk_ = ChunkNumber(0);
    earlyChunks_.clear();
    return resume(claim.target, now());
}

auto Relay::tryNextTarget() -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (const auto refusal = quarantine_.refusal(suspect_)) {
        endWithError(Error(Step::Admit, 422, "quarantined", std::string(*refusal)));
        return kj::READY_NOW;
    }
    // Each concurrent run of a request that crashes engines could bring down another engine, so such requests run one
    // at a time.
    if (quarantine_.crashes(suspect_) > 0 && !holdsSuspectTurn_) {
        holdsSuspectTurn_ = quarantine_.tryStart(suspect_);
        if (!holdsSuspectTurn_)
            return loop_.sleep(suspectPollPeriod).then([self = shared_from_this()] { return self->tryNextTarget(); });
    }
    const auto target = mayTryAgain() ? targets_.place(placementRequest()) : std::nullopt;
    if (!target)
        return handleNoTarget();
    tried_.push_back(*target);
    return connectAndStart(*target);
}

auto Relay::placementRequest() const -> decisions::PlacementRequest
{
    auto request
        = decisions::PlacementRequest { .model = call_->model.name, .serves = call_->model.base, .tried = tried_ };
    if (call_->kind == AttemptRequest::Kind::Service)
        request.serves = call_->service;
    if (!givenText_.empty())
        request.software = software_;
    return request;
}

auto Relay::handleNoTarget() -> kj::Promise<void>
{
    // A target that lost its engine or got a new owner can accept the request again shortly after.
    if (mayRetryTried_ && mayTryAgain()) {
        ++attempts_;
        tried_.clear();
        return loop_.sleep(sameTargetRetryDelay).then([self = shared_from_this()] { return self->tryNextTarget(); });
    }
    auto error
        = lastRefusal_ ? *lastRefusal_ : Error(Step::Place, 503, "no_target", "no target can take the request now");
    // A target that refuses a request for lack of capacity says when it expects to have capacity. The caller gets that
    // time as `Retry-After`.
    if (!error.retryAfter() || *error.retryAfter() < 1s)
        error = Error(std::move(error)).retryAfter(1s);
    endWithError(error);
    return kj::READY_NOW;
}

auto Relay::connectAndStart(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    if (!link)
        return tryNextTarget();
    return link->session().then(
        [self = shared_from_this(), target](
            wire::schema::TargetSession::Client session) { return self->claimAndSend(target, kj::mv(session)); },
        [self = shared_from_this(), target](kj::Exception&& failed) {
            // Nothing was sent, so another target may run the request.
            log::info("target not reached",
                { { "step", "connect" }, { "peer", target.str() }, { "reason", failed.getDescription().cStr() } });
            self->targets_.markUnreachable(target);
            self->mayRetryTried_ = true;
            return self->tryNextTarget();
        });
}

auto Relay::claimAndSend(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    ++attempts_;
    auto attempt = AttemptId(call_->requestId.str() + "." + std::to_string(attempts_));
    epoch_ = targets_.epoch(target);
    if (!record_) {
        attempt_ = std::move(attempt);
        return sendStart(target, kj::mv(session));
    }
    return record_->claim(attempt, target, epoch_)
        .then([self = shared_from_this(), target, attempt, session = kj::mv(session)](
                  ClaimStatus status) mutable -> kj::Promise<void> {
            if (!std::holds_alternative<Claimed>(status))
                return self->handleClaimStatus(std::move(status));
            self->attempt_ = std::move(attempt);
            self->claimed_ = true;
            return self->sendStart(target, kj::mv(session));
        });
}

auto Relay::attemptRequest() -> AttemptRequest
{
    const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(now() - call_->receivedAt);
    startedAt_ = now();
    auto request = AttemptRequest {
        .attempt = attempt_,
        .requestId = call_->requestId,
        .member = call_->caller.member,
        .model = call_->model.name,
        .requestClass = call_->requestClass,
        .deadline = std::max(call_->deadline - spent, std::chrono::milliseconds(1)),
        .neverRepeat = call_->neverRepeat,
        .epoch = epoch_,
        .kind = call_->kind,
        .body
        = call_->kind == AttemptRequest::Kind::Service ? std::string(call_->exchange->body()) : call_->body.dump(),
        .path = call_->servicePath,
        .digest = suspect_.digest,
        .skipTokens = writer_.tokensWritten(),
        .givenText = givenText_,
        .crashes = crashesAtStart_ = quarantine_.crashes(suspect_),
        .software = software_,
    };
    if (call_->kind == AttemptRequest::Kind::Service) {
        request.method = call_->exchange->method();
        request.contentType = call_->exchange->header("Content-Type");
    }
    return request;
}

auto Relay::sendStart(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>
{
    target_ = target;
    nextChunk_ = ChunkNumber(0);
    earlyChunks_.clear();
    auto request = session.startRequest();
    router::write(attemptRequest(), request.initRequest());
    request.setSink(kj::heap<Sink>(weak_from_this(), attempt_));
    return request.send()
        .attach(watchSession(target))
        .then(
            [self = shared_from_this(), target](auto&& answer) -> kj::Promise<void> {
                self->targets_.report(answer.getState());
                if (!answer.getAccepted())
                    return self->handleRefusal(target, read(answer.getRefusal()));
                return self->resumeWhenLost(target);
            },
            [self = shared_from_this(), target](kj::Exception&&) {
                // The start may have arrived, so the target process must be asked before anything else is tried.
                return self->resume(target, now());
            });
}

auto Relay::watchSession(const TargetId& target) -> kj::Own<kj::Promise<void>>
{
    // The session is checked with frequent heartbeats while the returned promise is held. Otherwise a request sent on a
    // silent session would wait until the infrequent idle heartbeats detect the loss.
    auto link = targets_.link(target);
    return kj::heap(link ? link->whenLost() : kj::Promise<void>(kj::READY_NOW));
}

auto Relay::handleRefusal(const TargetId& target, const Error& error) -> kj::Promise<void>
{
    target_.reset();
    log::info("target refused",
        { { "step", std::string(toString(error.step())) }, { "peer", target.str() }, { "type", error.type() },
            { "attempt", attempt_.str() } });
    metrics_.count("eelgrass_refusals_total", { { "type", error.type() } });
    if (error.run() != RunState::NotRun || error.status() < 409 || error.status() == 413 || error.status() == 422) {
        endWithError(error);
        return kj::READY_NOW;
    }
    // A target that refused an old epoch accepts the request with the epoch that came with the refusal. A target that
    // refused a revoked attempt accepts a new attempt. Both may be tried again: when such a target was skipped,
    // requests failed whose adapter was on no other target.
    if (error.type() == "stale_epoch" || error.type() == "not_started" || error.type() == "revoked")
        std::erase(tried_, target);
    mayRetryTried_ = mayRetryTried_ || error.type() == "stale_epoch" || error.type() == "engine_away"
        || error.type() == "adapter_not_loaded";
    // Such a refusal costs one message, and its state keeps placement off the target from then on.
    if (error.type() == otherSoftwareType)
        ++otherSoftwareRefusals_;
    if (error.status() >= 500)
        lastRefusal_ = error;
    return tryNextTarget();
}

auto Relay::resumeWhenLost(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    auto sessionLost = link ? link->whenLost() : kj::Promise<void>(kj::READY_NOW);
    return sessionLost.then([self = shared_from_this(), target] { return self->resume(target, now()); });
}

auto Relay::resume(const TargetId& target, Moment lostAt) -> kj::Promise<void>
{
    if (done_ || target_ != target)
        return kj::READY_NOW;
    const auto waited = now() - lostAt;
    if (waited > resumeLimit
        || (waited > repeatableResumeLimit && isRepeatable() && targets_.canPlace(placementRequest())))
        return continueElsewhere(lostError(target));
    auto link = targets_.link(target);
    if (!link)
        return resumeAfterDelay(target, lostAt);
    auto timeout = loop_.sleep(repeatableResumeLimit).then([]() -> wire::schema::TargetSession::Client {
        KJ_FAIL_REQUIRE("the target process does not answer");
    });
    return link->session()
        .exclusiveJoin(kj::mv(timeout))
        .then([self = shared_from_this(), target](wire::schema::TargetSession::Client session) {
            // Chunks that arrived out of order on the lost session are sent again.
            self->earlyChunks_.clear();
            auto request = session.resumeRequest();
            request.setAttempt(self->attempt_.str());
            request.setNextChunk(self->nextChunk_.value());
            request.setNextToken(self->writer_.tokensWritten());
            request.setModel(self->call_->model.name.str());
            request.setSink(kj::heap<Sink>(self->weak_from_this(), self->attempt_));
            return request.send().attach(self->watchSession(target));
        })
        .then(
            [self = shared_from_this(), target](auto&& answer) {
                return answer.getKnown() ? self->resumeWhenLost(target) : self->handleUnknownAttempt(target);
            },
            [self = shared_from_this(), target, lostAt](
                kj::Exception&&) { return self->resumeAfterDelay(target, lostAt); });
}

auto Relay::resumeAfterDelay(const TargetId& target, Moment lostAt) -> kj::Promise<void>
{
    return loop_.sleep(resumeDelay).then([self = shared_from_this(), target, lostAt] {
        return self->resume(target, lostAt);
    });
}

auto Relay::handleUnknownAttempt(const TargetId& target) -> kj::Promise<void>
{
    // The epoch changed with the target's owner: the attempt may or may not have run, and no process knows which.
    if (targets_.epoch(target) != epoch_)
        return continueElsewhere(lostError(target));
    auto link = targets_.link(target);
    if (!link)
        return continueElsewhere(lostError(target));
    return link->session()
        .then([self = shared_from_this(), target](wire::schema::TargetSession::Client session) {
            auto request = session.revokeRequest();
            request.setAttempt(self->attempt_.str());
            return request.send().attach(self->watchSession(target));
        })
        .then(
            [self = shared_from_this(), target](auto&& answer) {
                if (answer.getKnown())
                    return self->resume(target, now());
                if (!answer.getRevoked())
                    return self->continueElsewhere(lostError(target));
                // The start never arrived. If it arrives later, the target refuses it.
                return self->handleRefusal(
                    target, Error(Step::Start, 503, "not_started", "the start did not reach the target"));
            },
            [self = shared_from_this(), target](kj::Exception&&) { return self->resumeAfterDelay(target, now()); });
}

auto Relay::continueElsewhere(const Error& error) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (record_ && !answerBegun_) {
        // The attempt may have finished and its output may have been released. In that case the answer is in the
        // ledger.
        return record_->lookUp().then([self = shared_from_this(), error](ClaimStatus status) {
            if (const auto* answered = std::get_if<Answered>(&status))
                self->replayAnswer(*answered);
            else
                self->endWithError(error);
        });
    }
    if (!isRepeatable() || !canContinue()) {
        log::info("answer not continued",
            { { "step", "relay" }, { "peer", error.peer() }, { "attempt", attempt_.str() },
                { "began_on", software_.str() } });
        endWithError(error);
        return kj::READY_NOW;
    }
    // The caller may already have the start of the answer. Another target generates the rest from the prompt and that
    // text, on the same adapter, adapter version and software version, so that both parts form one answer.
    log::info("answer goes on elsewhere",
        { { "step", "relay" }, { "peer", error.peer() }, { "attempt", attempt_.str() }, { "type", error.type() },
            { "began_on", software_.str() } });
    metrics_.count("eelgrass_continuations_total", { { "type", error.type() } });
    cancelAttempt(target_);
    target_.reset();
    mayHaveRun_ = true;
    mayRetryTried_ = true;
    lastRefusal_ = error;
    return tryNextTarget();
}

auto Relay::isRepeatable() const -> bool { return !record_ && call_->kind != AttemptRequest::Kind::Service; }

auto Relay::mayTryAgain() const -> bool
{
    return attempts_ < maxAttempts + std::min(otherSoftwareRefusals_, maxOtherSoftwareRefusals);
}

auto Relay::canContinue() const -> bool { return givenText_.empty() || !software_.empty(); }

auto Relay::receiveChunk(ChunkNumber number, AnswerChunk chunk) -> kj::Promise<void>
{
    // This chunk was sent again after a resume. The caller already has it.
    if (number < nextChunk_)
        return kj::READY_NOW;
    if (number == nextChunk_)
        return processChunk(std::move(chunk));
    // The chunk arrived before its predecessors and is buffered, since writing it now would corrupt the answer. It is
    // acknowledged only when it is written, because an acknowledgement covers all earlier chunks. The target process
    // stops sending at its own high-water mark, which bounds this buffer.
    auto pair = kj::newPromiseAndFulfiller<void>();
    earlyChunks_[number] = { std::move(chunk), kj::mv(pair.fulfiller) };
    return kj::mv(pair.promise);
}

auto Relay::processChunk(AnswerChunk chunk) -> kj::Promise<void>
{
    nextChunk_ = nextChunk_.next();
    if (auto link = targets_.link(*target_))
        link->noteActivity();
    if (chunk.end) {
        handleEnd(*chunk.end);
        return kj::READY_NOW;
    }
    writeChunk(chunk);
    const auto next = earlyChunks_.find(nextChunk_);
    if (next == earlyChunks_.end())
        return writer_.whenWritable();
    auto early = std::move(next->second);
    earlyChunks_.erase(next);
    return processChunk(std::move(early.chunk)).then([fulfiller = kj::mv(early.fulfiller)]() mutable {
        fulfiller->fulfill();
    });
}

auto Relay::writeChunk(const AnswerChunk& chunk) -> void
{
    answerBegun_ = true;
    if (chunk.status > 0) {
        writer_.setHead(chunk.status, chunk.contentType);
        if (record_)
            record_->setHead(chunk.status, chunk.contentType);
    }
    if (chunk.data.empty())
        return;
    if (givenText_.empty() && isRepeatable())
        software_ = chunk.software;
    const auto isFirst = !writer_.firstTokenAt();
    writer_.appendText(chunk.data, chunk.tokens);
    if (record_)
        record_->appendText(chunk.data, chunk.tokens);
    else if (isRepeatable())
        givenText_ += chunk.data;
    const auto at = now();
    if (isFirst) {
        const auto& member = call_->caller.member;
        metrics_.observe("eelgrass_time_to_first_token_seconds", member, call_->requestClass, at - call_->receivedAt);
        betweenTokens_ = &metrics_.series("eelgrass_between_tokens_seconds", member, call_->requestClass);
    } else {
        Metrics::observe(*betweenTokens_, at - lastTokenAt_);
    }
    lastTokenAt_ = at;
}

auto Relay::handleEnd(const AnswerEnd& end) -> void
{
    const auto& member = call_->caller.member;
    metrics_.observe("eelgrass_load_stall_seconds", member, call_->requestClass, end.loadStall);
    metrics_.observe("eelgrass_queue_wait_seconds", member, call_->requestClass, end.queueWait);
    if (!end.error) {
        quarantine_.recordSuccess(suspect_, startedAt_);
        return finishAnswer(end);
    }
    const auto target = *target_;
    const auto engineLost = end.error->type() == "engine_lost";
    const auto refusal
        = engineLost ? quarantine_.recordCrash(suspect_, target, end.engineStart, crashesAtStart_ > 0) : std::nullopt;
    if (refusal) {
        auto error = Error(Step::Engine, 422, "quarantined", std::string(*refusal));
        return finishAnswer({ .error = std::move(error).at(target.str()).run(end.error->run()) });
    }
    releaseSuspectTurn();
    // The target returned the attempt without starting it, so another target may run it.
    if (end.error->run() == RunState::NotRun && end.error->status() >= 409)
        loop_.spawn(handleRefusal(target, *end.error).attach(kj::heap(shared_from_this())));
    else if (engineLost && isRepeatable())
        loop_.spawn(continueElsewhere(*end.error).attach(kj::heap(shared_from_this())));
    else
        finishAnswer(end);
}

auto Relay::finishAnswer(const AnswerEnd& end) -> void
{
    if (done_)
        return;
    writer_.finish(end);
    if (!record_ || recorded_ || (end.error && end.error->run() == RunState::NotRun))
        return finish();
    recorded_ = true;
    // The caller has the answer. The relay lives on until the ledger has it too; then the target process may discard
    // its copy.
    loop_.spawn(record_->finish(end).then([self = shared_from_this()](bool kept) {
        if (kept)
            self->releaseAttempt(self->target_);
        self->finish();
    }));
}

auto Relay::endWithError(Error error) -> void
{
    if (done_)
        return;
    if (writer_.tokensWritten() > 0)
        error = std::move(error).run(RunState::Partial);
    else if (mayHaveRun_ && error.run() == RunState::NotRun)
        error = std::move(error).run(RunState::Unknown);
    log::info("request refused",
        { { "step", std::string(toString(error.step())) }, { "peer", error.peer() }, { "type", error.type() },
            { "request_id", call_->requestId.str() }, { "member", call_->caller.member.str() } });
    writer_.finishWithError(error);
    if (record_ && claimed_ && error.run() == RunState::NotRun)
        loop_.spawn(record_->releaseClaim().attach(kj::heap(shared_from_this())));
    finish();
}

auto Relay::finish() -> void
{
    if (done_)
        return;
    done_ = true;
    releaseSuspectTurn();
    metrics_.observe("eelgrass_answer_seconds", call_->caller.member, call_->requestClass, now() - call_->receivedAt);
    if (log::debugs()) {
        log::debug("request over",
            { { "step", "relay" }, { "peer", target_ ? target_->str() : "" }, { "request_id", call_->requestId.str() },
                { "member", call_->caller.member.str() }, { "adapter", call_->model.adapter.str() },
                { "attempt", attempt_.str() } });
    }
    finished_->fulfill();
}

auto Relay::releaseSuspectTurn() -> void
{
    if (std::exchange(holdsSuspectTurn_, false))
        quarantine_.finish(suspect_);
}

template <typename MakeRequest>
auto Relay::sendOnOpenSession(const std::optional<TargetId>& target, MakeRequest makeRequest) -> void
{
    auto link = target ? targets_.link(*target) : nullptr;
    if (!link || !link->isOpen())
        return;
    loop_.spawn(link->session()
                    .then([attempt = attempt_, makeRequest](wire::schema::TargetSession::Client session) {
                        auto request = makeRequest(session);
                        request.setAttempt(attempt.str());
                        return request.send().ignoreResult();
                    })
                    .catch_([](kj::Exception&&) {}));
}

auto Relay::cancelAttempt(const std::optional<TargetId>& target) -> void
{
    sendOnOpenSession(target, [](auto& session) { return session.cancelRequest(); });
}

auto Relay::releaseAttempt(const std::optional<TargetId>& target) -> void
{
    sendOnOpenSession(target, [](auto& session) { return session.releaseRequest(); });
}

auto Relay::handleHangUp() -> void
{
    if (done_)
        return;
    metrics_.count("eelgrass_hangups_total", {});
    // A request that may run only once is not cancelled: its caller may send the request again to fetch the answer, and
    // the request must not run a second time for that.
    if (record_)
        return;
    cancelAttempt(target_);
    finish();
}

} // namespace eelgrass::router
