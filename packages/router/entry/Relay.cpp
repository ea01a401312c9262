#include "router/entry/Relay.h"

#include "base/Log.h"
#include "base/Secrets.h"

namespace eelgrass::router {

namespace {

// Targets tried for one request; more would spend a caller's patience on a system that has no room.
constexpr auto maxAttempts = 3;
constexpr auto resumeDelay = Duration(200ms);
// A target process that restarts is back within this.
constexpr auto patience = Duration(15s);
// A new connection to a target process that lives is there within milliseconds. A repeatable request that finds another
// target goes there after this, since a frozen process takes connections and never answers on them.
constexpr auto repeatablePatience = Duration(1s);
// Before the only target is tried again: its process or engine has just started anew.
constexpr auto sameTargetDelay = Duration(300ms);
constexpr auto suspectPoll = Duration(50ms);

auto digestOf(const Call& call) -> std::string
{
    // It begins with the member: what one member's request does is never held against another's.
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

/// Takes the chunks of one attempt; those of an attempt that was given up are turned away.
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
        auto piece = Piece { .status = params.getStatus(), .tokens = params.getTokens() };
        piece.contentType = params.getContentType();
        piece.data = textOf(params.getData());
        return current()->receive(ChunkNumber(params.getNumber()), std::move(piece));
    }

    auto end(EndContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        return current()->receive(ChunkNumber(params.getNumber()), Piece { .end = read(params.getEnd()) });
    }

    auto progress(ProgressContext context) -> kj::Promise<void> override
    {
        current()->writer_.progress(context.getParams().getNote());
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
    , digest_(digestOf(*call_))
    , writer_(loop, call_)
{
    if (call_->neverRepeat)
        record_ = std::make_unique<RunRecord>(loop, controllers.ledger, *call_);
    auto pair = kj::newPromiseAndFulfiller<void>();
    finished_ = kj::mv(pair.fulfiller);
    whenFinished_ = pair.promise.fork();
}

Relay::~Relay() { endSuspect(); }

auto Relay::run() -> kj::Promise<void>
{
    call_->exchange->onOver([self = weak_from_this()](bool whole) {
        auto relay = self.lock();
        if (relay && !whole)
            relay->hungUp();
    });
    auto way = record_ ? record_->lookUp().then(
                   [self = shared_from_this()](Standing standing) { return self->stand(std::move(standing)); })
                       : tryNext();
    return way.exclusiveJoin(whenFinished_.addBranch()).attach(kj::heap(shared_from_this()));
}

auto Relay::stand(Standing standing) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (const auto* held = std::get_if<HeldBy>(&standing))
        return join(held->claim);
    if (const auto* answered = std::get_if<Answered>(&standing))
        replay(*answered);
    else if (const auto* error = std::get_if<Error>(&standing))
        giveUp(*error);
    else
        return tryNext();
    return kj::READY_NOW;
}

auto Relay::runsAs(const ModelName& model) -> void
{
    // Failure: between two sends of a request another version came in force, and the first answer was told under it.
    // The ledger says what ran, so the caller hears just that.
    call_->model = withModelName(std::move(call_->model), model);
    writer_.nameModel();
}

auto Relay::replay(const Answered& answered) -> void
{
    runsAs(answered.model);
    const auto& answer = answered.answer;
    writer_.head(answer.status, answer.contentType);
    if (!answer.text.empty())
        writer_.text(answer.text, answer.tokens);
    recorded_ = true;
    metrics_.count("eelgrass_replays_total", {});
    writer_.end({ .finishReason = answer.finishReason, .completionTokens = answer.tokens, .error = answer.error });
    finish();
}

auto Relay::join(const Claim& claim) -> kj::Promise<void>
{
    log::info("attempt joined",
        { { "step", "claim" }, { "peer", claim.target.str() }, { "attempt", claim.attempt.str() },
            { "request_id", call_->requestId.str() } });
    runsAs(claim.model);
    attempt_ = claim.attempt;
    target_ = claim.target;
    epoch_ = claim.epoch;
    nextChunk_ = ChunkNumber(0);
    early_.clear();
    return resume(claim.target, now());
}

auto Relay::tryNext() -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (quarantine_.isQuarantined(digest_)) {
        giveUp(Error(Step::Admit, 422, "quarantined", "this request crashed two engines and is not run again"));
        return kj::READY_NOW;
    }
    // A suspect sent many times at once would take one engine down each: it runs one at a time.
    if (quarantine_.crashes(digest_) > 0 && !suspect_) {
        suspect_ = quarantine_.tryStart(digest_);
        if (!suspect_)
            return loop_.sleep(suspectPoll).then([self = shared_from_this()] { return self->tryNext(); });
    }
    const auto target = attempts_ < maxAttempts ? targets_.place(placement()) : std::nullopt;
    if (!target)
        return noTarget();
    tried_.push_back(*target);
    return startAt(*target);
}

auto Relay::placement() const -> decisions::PlacementRequest
{
    auto request
        = decisions::PlacementRequest { .model = call_->model.name, .serves = call_->model.base, .tried = tried_ };
    if (call_->kind == AttemptRequest::Kind::Service)
        request.serves = call_->service;
    return request;
}

auto Relay::noTarget() -> kj::Promise<void>
{
    // A target that lost its engine, or changed hands, can take the request again in a moment.
    if (mayReturn_ && attempts_ < maxAttempts) {
        ++attempts_;
        tried_.clear();
        return loop_.sleep(sameTargetDelay).then([self = shared_from_this()] { return self->tryNext(); });
    }
    auto error = refusal_ ? *refusal_ : Error(Step::Place, 503, "no_target", "no target can take the request now");
    // A target that refused says when it expects to have room; that is the honest time to come back.
    if (!error.retryAfter() || *error.retryAfter() < 1s)
        error = Error(std::move(error)).retryAfter(1s);
    giveUp(error);
    return kj::READY_NOW;
}

auto Relay::startAt(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    if (!link)
        return tryNext();
    return link->session().then(
        [self = shared_from_this(), target](
            wire::schema::TargetSession::Client session) { return self->claimAt(target, kj::mv(session)); },
        [self = shared_from_this(), target](kj::Exception&& failed) {
            // Nothing was sent: another target may take it.
            log::info("target not reached",
                { { "step", "connect" }, { "peer", target.str() }, { "reason", failed.getDescription().cStr() } });
            self->targets_.markUnreachable(target);
            self->mayReturn_ = true;
            return self->tryNext();
        });
}

auto Relay::claimAt(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    ++attempts_;
    auto attempt = AttemptId(call_->requestId.str() + "." + std::to_string(attempts_));
    epoch_ = targets_.epoch(target);
    if (!record_) {
        attempt_ = std::move(attempt);
        return send(target, kj::mv(session));
    }
    return record_->claim(attempt, target, epoch_)
        .then([self = shared_from_this(), target, attempt, session = kj::mv(session)](
                  Standing standing) mutable -> kj::Promise<void> {
            if (!std::holds_alternative<Claimed>(standing))
                return self->stand(std::move(standing));
            self->attempt_ = std::move(attempt);
            self->claimed_ = true;
            return self->send(target, kj::mv(session));
        });
}

auto Relay::attemptRequest() -> AttemptRequest
{
    const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(now() - call_->receivedAt);
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
        .digest = digest_,
        .skipTokens = writer_.written(),
        .givenText = given_,
        .crashes = crashes_ = quarantine_.crashes(digest_),
    };
    if (call_->kind == AttemptRequest::Kind::Service) {
        request.method = call_->exchange->method();
        request.contentType = call_->exchange->header("Content-Type");
    }
    return request;
}

auto Relay::send(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>
{
    target_ = target;
    nextChunk_ = ChunkNumber(0);
    early_.clear();
    auto request = session.startRequest();
    router::write(attemptRequest(), request.initRequest());
    request.setSink(kj::heap<Sink>(weak_from_this(), attempt_));
    return request.send()
        .attach(watch(target))
        .then(
            [self = shared_from_this(), target](auto&& answer) -> kj::Promise<void> {
                self->targets_.report(answer.getState());
                if (!answer.getAccepted())
                    return self->refusedBy(target, read(answer.getRefusal()));
                return self->follow(target);
            },
            [self = shared_from_this(), target](kj::Exception&&) {
                // The start may have arrived: the target process is asked, never passed over.
                return self->resume(target, now());
            });
}

auto Relay::watch(const TargetId& target) -> kj::Own<kj::Promise<void>>
{
    // While someone holds this, the session is watched by quick heartbeats: a question into a session that went silent
    // would otherwise wait for the slow ones.
    auto link = targets_.link(target);
    return kj::heap(link ? link->whenLost() : kj::Promise<void>(kj::READY_NOW));
}

auto Relay::refusedBy(const TargetId& target, const Error& error) -> kj::Promise<void>
{
    target_.reset();
    log::info("target refused",
        { { "step", std::string(toString(error.step())) }, { "peer", target.str() }, { "type", error.type() },
            { "attempt", attempt_.str() } });
    metrics_.count("eelgrass_refusals_total", { { "type", error.type() } });
    if (error.run() != RunState::NotRun || error.status() < 409 || error.status() == 413 || error.status() == 422) {
        giveUp(error);
        return kj::READY_NOW;
    }
    // Refused for its old epoch only, or as an attempt that was revoked: the same target takes it with the epoch that
    // came with the refusal, or as a new attempt. Passed over, a draft was refused whose adapter is nowhere else.
    if (error.type() == "stale_epoch" || error.type() == "not_started" || error.type() == "revoked")
        std::erase(tried_, target);
    mayReturn_ = mayReturn_ || error.type() == "stale_epoch" || error.type() == "engine_away"
        || error.type() == "adapter_not_loaded";
    if (error.status() >= 500)
        refusal_ = error;
    return tryNext();
}

auto Relay::follow(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    auto lost = link ? link->whenLost() : kj::Promise<void>(kj::READY_NOW);
    return lost.then([self = shared_from_this(), target] { return self->resume(target, now()); });
}

auto Relay::resume(const TargetId& target, Moment lostAt) -> kj::Promise<void>
{
    if (done_ || target_ != target)
        return kj::READY_NOW;
    const auto waited = now() - lostAt;
    if (waited > patience || (waited > repeatablePatience && repeatable() && targets_.canPlace(placement())))
        return elsewhere(lostError(target));
    auto link = targets_.link(target);
    if (!link)
        return resumeLater(target, lostAt);
    auto late = loop_.sleep(repeatablePatience).then([]() -> wire::schema::TargetSession::Client {
        KJ_FAIL_REQUIRE("the target process does not answer");
    });
    return link->session()
        .exclusiveJoin(kj::mv(late))
        .then([self = shared_from_this(), target](wire::schema::TargetSession::Client session) {
            // What came early on the lost session is sent again.
            self->early_.clear();
            auto request = session.resumeRequest();
            request.setAttempt(self->attempt_.str());
            request.setNextChunk(self->nextChunk_.value());
            request.setNextToken(self->writer_.written());
            request.setModel(self->call_->model.name.str());
            request.setSink(kj::heap<Sink>(self->weak_from_this(), self->attempt_));
            return request.send().attach(self->watch(target));
        })
        .then([self = shared_from_this(), target](
                  auto&& answer) { return answer.getKnown() ? self->follow(target) : self->unknownAt(target); },
            [self = shared_from_this(), target, lostAt](kj::Exception&&) { return self->resumeLater(target, lostAt); });
}

auto Relay::resumeLater(const TargetId& target, Moment lostAt) -> kj::Promise<void>
{
    return loop_.sleep(resumeDelay).then([self = shared_from_this(), target, lostAt] {
        return self->resume(target, lostAt);
    });
}

auto Relay::unknownAt(const TargetId& target) -> kj::Promise<void>
{
    // Under another owner the attempt may have run or not, and nobody is left who could tell.
    if (targets_.epoch(target) != epoch_)
        return elsewhere(lostError(target));
    auto link = targets_.link(target);
    if (!link)
        return elsewhere(lostError(target));
    return link->session()
        .then([self = shared_from_this(), target](wire::schema::TargetSession::Client session) {
            auto request = session.revokeRequest();
            request.setAttempt(self->attempt_.str());
            return request.send().attach(self->watch(target));
        })
        .then(
            [self = shared_from_this(), target](auto&& answer) {
                if (answer.getKnown())
                    return self->resume(target, now());
                if (!answer.getRevoked())
                    return self->elsewhere(lostError(target));
                // Its start never came, and if it still comes it is refused.
                return self->refusedBy(
                    target, Error(Step::Start, 503, "not_started", "the start did not reach the target"));
            },
            [self = shared_from_this(), target](kj::Exception&&) { return self->resumeLater(target, now()); });
}

auto Relay::elsewhere(const Error& error) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    if (record_ && !begun_) {
        // It may have been answered meanwhile, and its output let go: the ledger then has it.
        return record_->lookUp().then([self = shared_from_this(), error](Standing standing) {
            if (const auto* answered = std::get_if<Answered>(&standing))
                self->replay(*answered);
            else
                self->giveUp(error);
        });
    }
    if (!repeatable()) {
        giveUp(error);
        return kj::READY_NOW;
    }
    // The caller has the beginning of an answer. The rest is generated from the prompt and just that beginning, on the
    // same adapter and version, so that the whole is one answer.
    log::info("answer goes on elsewhere",
        { { "step", "relay" }, { "peer", error.peer() }, { "attempt", attempt_.str() }, { "type", error.type() } });
    metrics_.count("eelgrass_continuations_total", { { "type", error.type() } });
    cancelAt(target_);
    target_.reset();
    mayHaveRun_ = true;
    mayReturn_ = true;
    refusal_ = error;
    return tryNext();
}

auto Relay::repeatable() const -> bool { return !record_ && call_->kind != AttemptRequest::Kind::Service; }

auto Relay::receive(ChunkNumber number, Piece piece) -> kj::Promise<void>
{
    // Sent again after a resume: the caller has it.
    if (number < nextChunk_)
        return kj::READY_NOW;
    if (number == nextChunk_)
        return take(std::move(piece));
    // It overtook the chunks before it. Written now it would garble the answer, so it waits for its turn; it is
    // acknowledged only then, because an acknowledgement stands for all before it. The target process stops at its
    // own high-water mark, which bounds what can wait here.
    auto pair = kj::newPromiseAndFulfiller<void>();
    early_[number] = { std::move(piece), kj::mv(pair.fulfiller) };
    return kj::mv(pair.promise);
}

auto Relay::take(Piece piece) -> kj::Promise<void>
{
    nextChunk_ = nextChunk_.next();
    if (auto link = targets_.link(*target_))
        link->heard();
    if (piece.end) {
        end(*piece.end);
        return kj::READY_NOW;
    }
    write(piece);
    const auto next = early_.find(nextChunk_);
    if (next == early_.end())
        return writer_.writable();
    auto early = std::move(next->second);
    early_.erase(next);
    return take(std::move(early.piece)).then([fulfiller = kj::mv(early.fulfiller)]() mutable { fulfiller->fulfill(); });
}

auto Relay::write(const Piece& piece) -> void
{
    begun_ = true;
    if (piece.status > 0) {
        writer_.head(piece.status, piece.contentType);
        if (record_)
            record_->head(piece.status, piece.contentType);
    }
    if (piece.data.empty())
        return;
    const auto first = !writer_.firstTokenAt();
    writer_.text(piece.data, piece.tokens);
    if (record_)
        record_->text(piece.data, piece.tokens);
    else if (repeatable())
        given_ += piece.data;
    const auto at = now();
    if (first) {
        const auto& member = call_->caller.member;
        metrics_.observe("eelgrass_time_to_first_token_seconds", member, call_->requestClass, at - call_->receivedAt);
        betweenTokens_ = &metrics_.series("eelgrass_between_tokens_seconds", member, call_->requestClass);
    } else {
        Metrics::observe(*betweenTokens_, at - lastTokenAt_);
    }
    lastTokenAt_ = at;
}

auto Relay::end(const AnswerEnd& end) -> void
{
    const auto& member = call_->caller.member;
    metrics_.observe("eelgrass_load_stall_seconds", member, call_->requestClass, end.loadStall);
    metrics_.observe("eelgrass_queue_wait_seconds", member, call_->requestClass, end.queueWait);
    if (!end.error) {
        quarantine_.recordSuccess(digest_);
        return answered(end);
    }
    const auto target = *target_;
    const auto lost = end.error->type() == "engine_lost";
    if (lost && quarantine_.recordCrash(digest_, crashes_)) {
        auto error = Error(Step::Engine, 422, "quarantined", "this request crashed two engines");
        return answered({ .error = std::move(error).at(target.str()).run(end.error->run()) });
    }
    endSuspect();
    // Handed back unstarted: it goes elsewhere.
    if (end.error->run() == RunState::NotRun && end.error->status() >= 409)
        loop_.spawn(refusedBy(target, *end.error).attach(kj::heap(shared_from_this())));
    else if (lost && repeatable())
        loop_.spawn(elsewhere(*end.error).attach(kj::heap(shared_from_this())));
    else
        answered(end);
}

auto Relay::answered(const AnswerEnd& end) -> void
{
    if (done_)
        return;
    writer_.end(end);
    if (!record_ || recorded_ || (end.error && end.error->run() == RunState::NotRun))
        return finish();
    recorded_ = true;
    // The caller has its answer; this call stays until the ledger has it too, and then the target process lets go.
    loop_.spawn(record_->finish(end).then([self = shared_from_this()](bool kept) {
        if (kept)
            self->releaseAt(self->target_);
        self->finish();
    }));
}

auto Relay::giveUp(Error error) -> void
{
    if (done_)
        return;
    if (writer_.written() > 0)
        error = std::move(error).run(RunState::Partial);
    else if (mayHaveRun_ && error.run() == RunState::NotRun)
        error = std::move(error).run(RunState::Unknown);
    log::info("request refused",
        { { "step", std::string(toString(error.step())) }, { "peer", error.peer() }, { "type", error.type() },
            { "request_id", call_->requestId.str() }, { "member", call_->caller.member.str() } });
    writer_.refuse(error);
    if (record_ && claimed_ && error.run() == RunState::NotRun)
        loop_.spawn(record_->free().attach(kj::heap(shared_from_this())));
    finish();
}

auto Relay::finish() -> void
{
    if (done_)
        return;
    done_ = true;
    endSuspect();
    metrics_.observe("eelgrass_answer_seconds", call_->caller.member, call_->requestClass, now() - call_->receivedAt);
    if (log::debugs()) {
        log::debug("request over",
            { { "step", "relay" }, { "peer", target_ ? target_->str() : "" }, { "request_id", call_->requestId.str() },
                { "member", call_->caller.member.str() }, { "adapter", call_->model.adapter.str() },
                { "attempt", attempt_.str() } });
    }
    finished_->fulfill();
}

auto Relay::endSuspect() -> void
{
    if (std::exchange(suspect_, false))
        quarantine_.finish(digest_);
}

template <typename MakeRequest> auto Relay::tell(const std::optional<TargetId>& target, MakeRequest makeRequest) -> void
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

auto Relay::cancelAt(const std::optional<TargetId>& target) -> void
{
    tell(target, [](auto& session) { return session.cancelRequest(); });
}

auto Relay::releaseAt(const std::optional<TargetId>& target) -> void
{
    tell(target, [](auto& session) { return session.releaseRequest(); });
}

auto Relay::hungUp() -> void
{
    if (done_)
        return;
    metrics_.count("eelgrass_hangups_total", {});
    // What may run only once goes on: its caller may come back for the answer, and it must not be run again for that.
    if (record_)
        return;
    cancelAt(target_);
    finish();
}

} // namespace eelgrass::router
