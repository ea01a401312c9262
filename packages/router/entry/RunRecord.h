#pragma once

#include "router/controllers/LedgerController.h"
#include "router/entry/Call.h"

#include <variant>

namespace eelgrass::router {

/// No attempt has the request; it may be claimed.
struct Unclaimed { };
/// The claim is this call's own; the request may be sent.
struct Claimed { };
/// Another attempt has the request; it is to be joined, or revoked.
struct HeldBy {
    Claim claim;
};
/// The request is answered; its caller gets that answer again.
struct Answered {
    ModelName model;
    StoredAnswer answer;
};
using Standing = std::variant<Unclaimed, Claimed, HeldBy, Answered, Error>;

/// One call that may run only once, and its row in the ledger.
class RunRecord {
public:
    RunRecord(wire::MainLoop& loop, LedgerController& ledger, const Call& call);

    /// How the request stands. Never rejects: a ledger that is away is an error of the kind `not_run`.
    [[nodiscard]] auto lookUp() -> kj::Promise<Standing>;
    /// Takes the request for this attempt, or says who has it.
    [[nodiscard]] auto claim(const AttemptId& attempt, const TargetId& target, Epoch epoch) -> kj::Promise<Standing>;

    /// Gathers the answer.
    auto head(int status, const std::string& contentType) -> void;
    auto text(std::string_view text, std::uint32_t tokens) -> void;
    /// Writes how it ended. True when the ledger has it.
    [[nodiscard]] auto finish(const AnswerEnd& end) -> kj::Promise<bool>;
    /// The claimed attempt did not and will not run.
    [[nodiscard]] auto free() -> kj::Promise<void>;

private:
    auto judge(LedgerRow row, const AttemptId& own) -> Standing;
    auto bounded(kj::Promise<LedgerRow> row, AttemptId own) -> kj::Promise<Standing>;

    wire::MainLoop& loop_;
    LedgerController& ledger_;
    std::string key_;
    std::string digest_;
    ModelName model_;
    LedgerRow row_;
    StoredAnswer answer_;
};

} // namespace eelgrass::router
