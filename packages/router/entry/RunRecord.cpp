#include "router/entry/RunRecord.h"

#include "base/Secrets.h"

#include <kj/debug.h>

namespace eelgrass::router {

namespace {

// A caller of a filed submission is better refused soon, as certainly not run, than left waiting on a store that is
// away: it can send again, and the key makes that safe.
constexpr auto ledgerLimit = Duration(2s);

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

auto RunRecord::bounded(kj::Promise<LedgerRow> row, AttemptId own) -> kj::Promise<Standing>
{
    auto late = loop_.sleep(ledgerLimit).then([]() -> LedgerRow { KJ_FAIL_REQUIRE("the ledger is slow"); });
    return row.exclusiveJoin(kj::mv(late))
        .then([this, own = std::move(own)](LedgerRow found) { return judge(std::move(found), own); },
            [](kj::Exception&&) -> Standing {
                // Nothing was sent. A claim of this call that still reaches the ledger names an attempt that no target
                // has; whoever finds it revokes it.
                return Error(Step::Claim, 503, "ledger_away", "the platform's table service is away").retryAfter(1s);
            });
}

auto RunRecord::lookUp() -> kj::Promise<Standing> { return bounded(ledger_.read(key_), AttemptId()); }

auto RunRecord::claim(const AttemptId& attempt, const TargetId& target, Epoch epoch) -> kj::Promise<Standing>
{
    return bounded(ledger_.claim(key_, { digest_, attempt, target, epoch, model_ }, row_.version), attempt);
}

auto RunRecord::judge(LedgerRow row, const AttemptId& own) -> Standing
{
    row_ = std::move(row);
    if (row_.unclaimed())
        return Unclaimed {};
    if (row_.claim.digest != digest_)
        return Error(Step::Claim, 422, "key_reused", "this Idempotency-Key names another request");
    if (row_.answer)
        return Answered { row_.claim.model, *row_.answer };
    if (row_.claim.attempt == own)
        return Claimed {};
    return HeldBy { row_.claim };
}

auto RunRecord::head(int status, const std::string& contentType) -> void
{
    answer_.status = status;
    answer_.contentType = contentType;
}

auto RunRecord::text(std::string_view text, std::uint32_t tokens) -> void
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

auto RunRecord::free() -> kj::Promise<void> { return ledger_.releaseClaim(key_, row_); }

} // namespace eelgrass::router
