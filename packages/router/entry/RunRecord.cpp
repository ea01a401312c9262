#include "router/entry/RunRecord.h"

#include "base/Secrets.h"

#include <kj/debug.h>

namespace eelgrass::router {

namespace {

// If the table service is unavailable, an early refusal as `not_run` is better than a long wait: the caller can send
// the request again, and the idempotency key makes that safe.
constexpr auto ledgerTimeout = Duration(2s);

auto digestOf(const Call& call) -> std::string
{
    const auto& exchange = *call.exchange;
    auto text = exchange.method() + " " + exchange.path() + "?" + exchange.queryString() + "\n";
    text += exchange.body();
    return sha256Hex(text);
}

} // namespace

RunRecord::RunRecord(wire::MainLoop& loop, LedgerController& ledger, const Call& call)
    : loop_(loop)
    , ledger_(ledger)
    , key_(LedgerController::key(
          call.caller.member, call.idempotencyKey.empty() ? call.requestId.str() : call.idempotencyKey))
    , digest_(digestOf(call))
    , model_(call.model.name)
{
}

auto RunRecord::withTimeout(kj::Promise<LedgerRow> row, AttemptId ownAttempt) -> kj::Promise<ClaimStatus>
{
    auto timeout = loop_.sleep(ledgerTimeout).then([]() -> LedgerRow { KJ_FAIL_REQUIRE("the ledger is slow"); });
    return row.exclusiveJoin(kj::mv(timeout))
        .then([this, ownAttempt = std::move(ownAttempt)](
                  LedgerRow found) { return statusOf(std::move(found), ownAttempt); },
            [](kj::Exception&&) -> ClaimStatus {
                // Nothing was sent to a target. If this call's claim still reaches the ledger, it names an attempt that
                // no target knows; the next call that finds the claim revokes it.
                return Error(Step::Claim, 503, "ledger_away", "the platform's table service is away").retryAfter(1s);
            });
}

auto RunRecord::lookUp() -> kj::Promise<ClaimStatus> { return withTimeout(ledger_.read(key_), AttemptId()); }

auto RunRecord::claim(const AttemptId& attempt, const TargetId& target, Epoch epoch) -> kj::Promise<ClaimStatus>
{
    return withTimeout(ledger_.claim(key_, { digest_, attempt, target, epoch, model_ }, row_.version), attempt);
}

auto RunRecord::statusOf(LedgerRow row, const AttemptId& ownAttempt) -> ClaimStatus
{
    row_ = std::move(row);
    if (row_.unclaimed())
        return Unclaimed {};
    if (row_.claim.digest != digest_)
        return Error(Step::Claim, 422, "key_reused", "this Idempotency-Key names another request");
    if (row_.answer)
        return Answered { row_.claim.model, *row_.answer };
    if (row_.claim.attempt == ownAttempt)
        return Claimed {};
    return HeldBy { row_.claim };
}

auto RunRecord::setHead(int status, const std::string& contentType) -> void
{
    answer_.status = status;
    answer_.contentType = contentType;
}

auto RunRecord::appendText(std::string_view text, std::uint32_t tokens) -> void
{
    answer_.text += text;
    answer_.tokens += tokens;
}

auto RunRecord::finish(const AnswerEnd& end) -> kj::Promise<bool>
{
    answer_.finishReason = end.finishReason;
    answer_.error = end.error;
    return ledger_.finish(key_, row_, answer_);
}

auto RunRecord::releaseClaim() -> kj::Promise<void> { return ledger_.releaseClaim(key_, row_); }

} // namespace eelgrass::router
