// The part of Relay that goes on after a target has refused the request or was lost.
#include "router/entry/Relay.h"

#include "base/Log.h"

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

auto lostError(const TargetId& target) -> Error
{
    return Error(Step::Relay, 502, "target_lost", "the target was lost during the answer")
        .at(target.str())
        .run(RunState::Unknown);
}

} // namespace

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
            request.setSink(self->createSink());
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

} // namespace eelgrass::router
