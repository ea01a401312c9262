#include "router/entry/Relay.h"

#include "base/Log.h"
#include "base/Secrets.h"

namespace eelgrass::router {

namespace {

// Targets tried for one request; more would spend a caller's patience on a system that has no room.
constexpr auto maxAttempts = 3;
constexpr auto maxResumes = 10;
constexpr auto resumeDelay = Duration(200ms);

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

Relay::Relay(wire::MainLoop& loop, TargetsController& targets, Metrics& metrics, CallPtr call)
    : loop_(loop)
    , targets_(targets)
    , metrics_(metrics)
    , call_(std::move(call))
    , writer_(loop, call_)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    finished_ = kj::mv(pair.fulfiller);
    whenFinished_ = pair.promise.fork();
}

auto Relay::run() -> kj::Promise<void>
{
    call_->exchange->onOver([self = weak_from_this()](bool whole) {
        auto relay = self.lock();
        if (relay && !whole)
            relay->hungUp();
    });
    return tryNext().exclusiveJoin(whenFinished_.addBranch()).attach(kj::heap(shared_from_this()));
}

auto Relay::tryNext() -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    auto request
        = decisions::PlacementRequest { .model = call_->model.name, .serves = call_->model.base, .tried = tried_ };
    if (call_->kind == StartOrder::Kind::Service)
        request.serves = call_->service;
    const auto target = attempts_ < maxAttempts ? targets_.place(request) : std::nullopt;
    if (!target) {
        giveUp(Error(Step::Place, 503, "no_target", "no target can take the request now").retryAfter(1s));
        return kj::READY_NOW;
    }
    ++attempts_;
    tried_.push_back(*target);
    return startAt(*target);
}

auto Relay::startAt(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    if (!link)
        return tryNext();
    return link->session().then(
        [self = shared_from_this(), target](
            wire::schema::TargetSession::Client session) { return self->send(target, kj::mv(session)); },
        [self = shared_from_this(), target](kj::Exception&& failed) {
            // Nothing was sent: another target may take it.
            log::info("target not reached",
                { { "step", "connect" }, { "peer", target.str() }, { "reason", failed.getDescription().cStr() } });
            self->targets_.unreachable(target);
            return self->tryNext();
        });
}

auto Relay::order(const TargetId& target) -> StartOrder
{
    const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(now() - call_->receivedAt);
    auto order = StartOrder {
        .attempt = attempt_,
        .request = call_->request,
        .member = call_->caller.member,
        .model = call_->model.name,
        .requestClass = call_->requestClass,
        .deadline = std::max(call_->deadline - spent, std::chrono::milliseconds(1)),
        .neverRepeat = call_->neverRepeat,
        .epoch = targets_.epoch(target),
        .kind = call_->kind,
        .body = call_->kind == StartOrder::Kind::Service ? std::string(call_->exchange->body()) : call_->body.dump(),
        .path = call_->servicePath,
    };
    if (call_->kind == StartOrder::Kind::Service) {
        order.method = call_->exchange->method();
        order.contentType = call_->exchange->header("Content-Type");
    }
    return order;
}

auto Relay::send(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    attempt_ = AttemptId(call_->request.str() + "." + std::to_string(attempts_));
    target_ = target;
    nextChunk_ = ChunkNumber(0);
    early_.clear();
    auto request = session.startRequest();
    router::write(order(target), request.initRequest());
    request.setSink(kj::heap<Sink>(weak_from_this(), attempt_));
    return request.send().then(
        [self = shared_from_this(), target](auto&& answer) -> kj::Promise<void> {
            self->targets_.report(answer.getState());
            if (!answer.getAccepted())
                return self->refusedBy(target, read(answer.getRefusal()));
            return self->follow(target);
        },
        [self = shared_from_this(), target](kj::Exception&&) {
            // The start may have arrived: the target process is asked, never passed over.
            return self->resume(target, 0);
        });
}

auto Relay::refusedBy(const TargetId& target, const Error& error) -> kj::Promise<void>
{
    target_.reset();
    log::info("target refused",
        { { "step", std::string(toString(error.step())) }, { "peer", target.str() }, { "type", error.type() },
            { "attempt", attempt_.str() } });
    metrics_.count("eelgrass_refusals_total", { { "type", error.type() } });
    if (error.run() == RunState::NotRun && error.status() >= 409)
        return tryNext();
    giveUp(error);
    return kj::READY_NOW;
}

auto Relay::follow(const TargetId& target) -> kj::Promise<void>
{
    auto link = targets_.link(target);
    auto lost = link ? link->whenLost() : kj::Promise<void>(kj::READY_NOW);
    return lost.then([self = shared_from_this(), target] { return self->resume(target, 0); });
}

auto Relay::resume(const TargetId& target, int tries) -> kj::Promise<void>
{
    if (done_)
        return kj::READY_NOW;
    auto link = targets_.link(target);
    if (!link || tries >= maxResumes) {
        const auto run = nextChunk_ > ChunkNumber(0) ? RunState::Partial : RunState::Unknown;
        giveUp(
            Error(Step::Relay, 502, "target_lost", "the target was lost during the answer").at(target.str()).run(run));
        return kj::READY_NOW;
    }
    return link->session()
        .then([self = shared_from_this()](wire::schema::TargetSession::Client session) {
            // What came early on the lost session is sent again.
            self->early_.clear();
            auto request = session.resumeRequest();
            request.setAttempt(self->attempt_.str());
            request.setNextChunk(self->nextChunk_.value());
            request.setSink(kj::heap<Sink>(self->weak_from_this(), self->attempt_));
            return request.send();
        })
        .then(
            [self = shared_from_this(), target](auto&& answer) -> kj::Promise<void> {
                if (answer.getKnown())
                    return self->follow(target);
                return self->resume(target, maxResumes);
            },
            [self = shared_from_this(), target, tries](kj::Exception&&) {
                return self->loop_.sleep(resumeDelay).then([self, target, tries] {
                    return self->resume(target, tries + 1);
                });
            });
}

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
    if (piece.status > 0)
        writer_.head(piece.status, piece.contentType);
    if (piece.data.empty())
        return;
    const auto first = !writer_.firstTokenAt();
    writer_.text(piece.data, piece.tokens);
    if (first)
        metrics_.observe("eelgrass_time_to_first_token_seconds", call_->caller.member, call_->requestClass,
            now() - call_->receivedAt);
}

auto Relay::end(const AnswerEnd& end) -> void
{
    const auto& member = call_->caller.member;
    metrics_.observe("eelgrass_load_stall_seconds", member, call_->requestClass, end.loadStall);
    metrics_.observe("eelgrass_queue_wait_seconds", member, call_->requestClass, end.queueWait);
    if (end.error && end.error->run() == RunState::NotRun && end.error->status() >= 500) {
        // Handed back unstarted: it goes elsewhere.
        loop_.spawn(refusedBy(*target_, *end.error));
        return;
    }
    writer_.end(end);
    finish();
}

auto Relay::giveUp(const Error& error) -> void
{
    if (done_)
        return;
    log::info("request refused",
        { { "step", std::string(toString(error.step())) }, { "peer", error.peer() }, { "type", error.type() },
            { "request_id", call_->request.str() }, { "member", call_->caller.member.str() } });
    writer_.refuse(error);
    finish();
}

auto Relay::finish() -> void
{
    if (done_)
        return;
    done_ = true;
    metrics_.observe("eelgrass_answer_seconds", call_->caller.member, call_->requestClass, now() - call_->receivedAt);
    finished_->fulfill();
}

auto Relay::hungUp() -> void
{
    if (done_)
        return;
    if (target_) {
        if (auto link = targets_.link(*target_); link && link->open()) {
            loop_.spawn(link->session()
                            .then([attempt = attempt_](wire::schema::TargetSession::Client session) {
                                auto request = session.cancelRequest();
                                request.setAttempt(attempt.str());
                                return request.send().ignoreResult();
                            })
                            .catch_([](kj::Exception&&) {}));
        }
    }
    metrics_.count("eelgrass_hangups_total", {});
    finish();
}

} // namespace eelgrass::router
