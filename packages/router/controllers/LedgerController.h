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

/// A ledger record that names the only attempt that may run a request. The record is written before the request is
/// sent.
struct Claim {
    /// Digest of path and body, by which a different request under the same key is detected.
    std::string digest;
    AttemptId attempt;
    TargetId target;
    Epoch epoch;
    /// Adapter and version that the attempt runs on; empty for a plain service.
    ModelName model;
};

/// An answer stored in the ledger, which is replayed to a caller that sends its request again.
struct StoredAnswer {
    int status = 200;
    std::string contentType;
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;
    /// Set if the answer broke off, or if its outcome will remain unknown.
    std::optional<Error> error;
};

/// A row of the ledger. Version 0 means that the row does not exist.
struct LedgerRow {
    std::uint64_t version = 0;
    Claim claim;
    std::optional<StoredAnswer> answer;

    /// Whether no attempt holds a claim to run the request.
    [[nodiscard]] auto unclaimed() const noexcept -> bool { return version == 0 || claim.attempt.empty(); }
};

/// The ledger of requests that may run at most once: rows `run/<member>/<key>` in the platform's table service.
///
/// Before a request is first sent, its row is inserted, provided that none exists. However often and at whichever entry
/// a caller sends the request, at most one attempt is therefore started. Reads and claims reject while the platform is
/// unavailable.
///
/// ```cpp
/// auto row = ledger.claim(key, claim, 0);   // succeeded if row.claim.attempt == claim.attempt
/// ```
class LedgerController {
public:
    LedgerController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Starts removing expired rows periodically.
    auto start() -> void;

    /// The key of the row for a member's idempotency key.
    [[nodiscard]] static auto key(const MemberId& member, const std::string& idempotencyKey) -> std::string;

    [[nodiscard]] auto read(const std::string& key) -> kj::Promise<LedgerRow>;
    /// Writes the claim if the row still has `version`, then reads the row and resolves to it, so that the outcome is
    /// known even if the answer to the write was lost. Claims made in one event loop turn are written in one
    /// transaction.
    [[nodiscard]] auto claim(std::string key, Claim claim, std::uint64_t version) -> kj::Promise<LedgerRow>;
    /// Stores the answer in the claim's row, retrying for a limited time while the platform is unavailable. Resolves to
    /// `true` when the row was written, or when the row has changed meanwhile.
    [[nodiscard]] auto finish(std::string key, LedgerRow row, StoredAnswer answer) -> kj::Promise<bool>;
    /// Clears the claim of a request that did not run, so that its caller can send the request again. The row is kept,
    /// because removing it would restart its versions. A later claim could then get the version that a delayed writer
    /// expects, and the writer would overwrite that claim.
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
    std::vector<Pending> pending_;
    bool committing_ = false;
    Timer sweepTimer_;
};

} // namespace eelgrass::router
