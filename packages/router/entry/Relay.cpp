#include "router/entry/Relay.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

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

auto Relay::createSink() -> wire::schema::ChunkSink::Client { return kj::heap<Sink>(weak_from_this(), attempt_); }

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
    request.setSink(createSink());
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
