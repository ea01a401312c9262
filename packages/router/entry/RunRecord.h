#pragma once

#include "router/controllers/LedgerController.h"
#include "router/entry/Call.h"

#include <variant>

namespace eelgrass::router {

/// No attempt has claimed the request.
struct Unclaimed { };
/// This call holds the claim and may send the request to a target.
struct Claimed { };
/// Another attempt holds the claim; it must be joined or revoked.
struct HeldBy {
    Claim claim;
};
/// The request is finished; its caller gets the stored answer.
struct Answered {
    ModelName model;
    StoredAnswer answer;
};
/// State of a request in the ledger, or the error that kept it from being read or claimed.
using ClaimStatus = std::variant<Unclaimed, Claimed, HeldBy, Answered, Error>;

/// The ledger row of a call that may run only once.
class RunRecord {
public:
    RunRecord(wire::MainLoop& loop, LedgerController& ledger, const Call& call);

    /// The request's state in the ledger. Never rejects: an unavailable ledger gives an Error with the run state
    /// `not_run`.
    [[nodiscard]] auto lookUp() -> kj::Promise<ClaimStatus>;
    /// Claims the request for this attempt if no other attempt has claimed it, and returns the resulting state. Never
    /// rejects; errors are returned as by lookUp().
    [[nodiscard]] auto claim(const AttemptId& attempt, const TargetId& target, Epoch epoch) -> kj::Promise<ClaimStatus>;

    /// Collects the status and content type of the answer that finish() stores.
    auto setHead(int status, const std::string& contentType) -> void;
    /// Collects a part of the answer's text.
    auto appendText(std::string_view text, std::uint32_t tokens) -> void;
    /// Stores the collected answer and how it ended. Resolves to true if the ledger has the answer.
    [[nodiscard]] auto finish(const AnswerEnd& end) -> kj::Promise<bool>;
    /// Gives up the claim of an attempt that did not run and will not run.
    [[nodiscard]] auto releaseClaim() -> kj::Promise<void>;

private:
    auto statusOf(LedgerRow row, const AttemptId& ownAttempt) -> ClaimStatus;
    auto withTimeout(kj::Promise<LedgerRow> row, AttemptId ownAttempt) -> kj::Promise<ClaimStatus>;

    wire::MainLoop& loop_;
    LedgerController& ledger_;
    std::string key_;
    std::string digest_;
    ModelName model_;
    LedgerRow row_;
    StoredAnswer answer_;
};

} // namespace eelgrass::router
