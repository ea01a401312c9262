#pragma once

#include "base/Ids.h"
#include "platform/PlatformClient.h"
#include "router/WireTypes.h"
#include "wire/MainLoop.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::router {

/// The attempt that may run a request, as the ledger has it. Written before anything is sent.
struct Claim {
    /// Digest of path and body: another body under the same key is another request.
    std::string digest;
    AttemptId attempt;
    TargetId target;
    Epoch epoch;
    /// Adapter and version that it runs on; empty for a plain service.
    ModelName model;
};

/// An answer as the ledger keeps it, to be given again to a caller that sends its request again.
struct StoredAnswer {
    int status = 200;
    std::string contentType;
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;
    /// Set when the answer broke off, or nothing better than "unknown" can be said for good.
    std::optional<Error> error;
};

/// A row of the ledger. Version 0: there is none.
struct LedgerRow {
    std::uint64_t version = 0;
    Claim claim;
    std::optional<StoredAnswer> answer;

    /// No attempt may run the request now.
    [[nodiscard]] auto unclaimed() const noexcept -> bool { return version == 0 || claim.attempt.empty(); }
};

/// The ledger of requests that may run at most once: rows `run/<member>/<key>` in the platform's table service.
///
/// A row is inserted before a request is first sent, and only if there is none; so however often and wherever a caller
/// sends it, one attempt at most is ever started. Every call rejects while the platform is away.
///
/// ```cpp
/// auto row = ledger.claim(key, claim, 0);   // ours if row.claim.attempt == claim.attempt
/// ```
class LedgerController {
public:
    LedgerController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Removes rows past their time, from here on.
    auto start() -> void;

    /// The row's key for a member's own key.
    [[nodiscard]] static auto key(const MemberId& member, const std::string& idempotencyKey) -> std::string;

    [[nodiscard]] auto read(const std::string& key) -> kj::Promise<LedgerRow>;
    /// Writes the claim if the row still has `version`; the row as it then is. A lost answer is settled by reading the
    /// row back. Claims of one turn go out in one transaction.
    [[nodiscard]] auto claim(std::string key, Claim claim, std::uint64_t version) -> kj::Promise<LedgerRow>;
    /// Adds the answer to the claim; tries for a while when the platform is away. True when the ledger has it.
    [[nodiscard]] auto finish(std::string key, LedgerRow row, StoredAnswer answer) -> kj::Promise<bool>;
    /// Frees the claim of a request that did not run, so that its caller can send it again. The row stays: were it
    /// removed, its versions would begin anew, and a slow writer could take the next claim for the one that it knows.
    [[nodiscard]] auto releaseClaim(std::string key, LedgerRow row) -> kj::Promise<void>;

private:
    struct Pending {
        std::string key;
        Claim claim;
        std::uint64_t version = 0;
        kj::Own<kj::PromiseFulfiller<void>> written;
    };
    using Batch = std::shared_ptr<std::vector<Pending>>;

    auto flush() -> void;
    auto commit(const Batch& batch) -> kj::Promise<void>;
    auto commitOne(const Pending& pending) -> kj::Promise<void>;
    auto write(std::string key, LedgerRow row, platform::Json value, int tries) -> kj::Promise<bool>;
    auto sweep() -> kj::Promise<void>;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::vector<Pending> gathered_;
    bool committing_ = false;
    Timer sweepTimer_;
};

} // namespace eelgrass::router
