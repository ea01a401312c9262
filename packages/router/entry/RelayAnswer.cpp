// The part of Relay that passes the answer on to the caller.
#include "router/entry/Relay.h"

#include "base/Log.h"

namespace eelgrass::router {

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

} // namespace eelgrass::router
