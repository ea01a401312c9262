#pragma once

#include "router/Metrics.h"
#include "router/controllers/QuarantineController.h"
#include "router/controllers/TargetsController.h"
#include "router/entry/AnswerWriter.h"
#include "router/entry/RunRecord.h"

#include <memory>

namespace eelgrass::router {

/// The state of an entry that relaying needs.
struct RelayControllers {
    TargetsController& targets;
    LedgerController& ledger;
    QuarantineController& quarantine;
    Metrics& metrics;
};

/// Takes one admitted call through its attempts: places it, starts it, relays the answer, resumes it after a loss.
class Relay : public std::enable_shared_from_this<Relay> {
public:
    Relay(wire::MainLoop& loop, const RelayControllers& controllers, CallPtr call);
    ~Relay();
    Relay(const Relay&) = delete;
    auto operator=(const Relay&) -> Relay& = delete;

    /// Kept when the caller has its answer or is gone.
    [[nodiscard]] auto run() -> kj::Promise<void>;

private:
    class Sink;
    friend class Sink;
    /// A chunk of the answer, or its end.
    struct Piece {
        std::uint16_t status = 0;
        std::string contentType;
        std::string data;
        std::uint32_t tokens = 0;
        std::optional<AnswerEnd> end;
    };
    struct EarlyPiece {
        Piece piece;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };

    auto stand(Standing standing) -> kj::Promise<void>;
    /// Gives the caller the answer that the ledger has.
    auto replay(const Answered& answered) -> void;
    /// The answer comes from a run that began under this name.
    auto runsAs(const ModelName& model) -> void;
    /// Reads the answer of an attempt that another call started.
    auto join(const Claim& claim) -> kj::Promise<void>;
    auto tryNext() -> kj::Promise<void>;
    [[nodiscard]] auto placement() const -> decisions::PlacementRequest;
    auto noTarget() -> kj::Promise<void>;
    auto startAt(const TargetId& target) -> kj::Promise<void>;
    auto claimAt(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>;
    auto send(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>;
    auto attemptRequest() -> AttemptRequest;
    auto watch(const TargetId& target) -> kj::Own<kj::Promise<void>>;
    auto refusedBy(const TargetId& target, const Error& error) -> kj::Promise<void>;
    auto follow(const TargetId& target) -> kj::Promise<void>;
    auto resume(const TargetId& target, Moment lostAt) -> kj::Promise<void>;
    auto resumeLater(const TargetId& target, Moment lostAt) -> kj::Promise<void>;
    /// The target process does not know the attempt: finds out whether it can still start.
    auto unknownAt(const TargetId& target) -> kj::Promise<void>;
    /// The attempt is lost with what it had begun.
    auto elsewhere(const Error& error) -> kj::Promise<void>;
    [[nodiscard]] auto repeatable() const -> bool;
    auto giveUp(Error error) -> void;
    auto hungUp() -> void;
    /// Kept when the piece is with the caller, or waits for it in a bounded buffer.
    auto receive(ChunkNumber number, Piece piece) -> kj::Promise<void>;
    auto take(Piece piece) -> kj::Promise<void>;
    auto write(const Piece& piece) -> void;
    auto end(const AnswerEnd& end) -> void;
    auto answered(const AnswerEnd& end) -> void;
    auto finish() -> void;
    auto endSuspect() -> void;
    /// Sends a message about the attempt on an open session; what is lost there, the target process finds out itself.
    template <typename MakeRequest> auto tell(const std::optional<TargetId>& target, MakeRequest makeRequest) -> void;
    auto cancelAt(const std::optional<TargetId>& target) -> void;
    auto releaseAt(const std::optional<TargetId>& target) -> void;

    wire::MainLoop& loop_;
    TargetsController& targets_;
    QuarantineController& quarantine_;
    Metrics& metrics_;
    CallPtr call_;
    std::string digest_;
    AnswerWriter writer_;
    /// Time between the chunks of this answer; found once, since it is observed with each.
    Metrics::Series* betweenTokens_ = nullptr;
    Moment lastTokenAt_ {};
    /// Null for a request that may be repeated.
    std::unique_ptr<RunRecord> record_;
    bool claimed_ = false;
    bool recorded_ = false;
    std::vector<TargetId> tried_;
    int attempts_ = 0;
    AttemptId attempt_;
    std::optional<TargetId> target_;
    Epoch epoch_;
    ChunkNumber nextChunk_;
    std::map<ChunkNumber, EarlyPiece> early_;
    /// What the caller has of a repeatable answer, so that another target can go on from it.
    std::string given_;
    /// The last refusal of a target, told when no other takes the request.
    std::optional<Error> refusal_;
    /// A target that was tried may take the request after all.
    bool mayReturn_ = false;
    /// An attempt was lost after it was started.
    bool mayHaveRun_ = false;
    /// The caller was given some of the answer.
    bool begun_ = false;
    bool suspect_ = false;
    std::uint32_t crashes_ = 0;
    bool done_ = false;
    kj::Own<kj::PromiseFulfiller<void>> finished_;
    kj::ForkedPromise<void> whenFinished_ = nullptr;
};

} // namespace eelgrass::router
