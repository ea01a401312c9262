#pragma once

#include "router/Metrics.h"
#include "router/controllers/QuarantineController.h"
#include "router/controllers/TargetsController.h"
#include "router/entry/AnswerWriter.h"
#include "router/entry/RunRecord.h"

#include <memory>

namespace eelgrass::router {

/// Controllers of the entry process that a relay uses.
struct RelayControllers {
    TargetsController& targets;
    LedgerController& ledger;
    QuarantineController& quarantine;
    Metrics& metrics;
};

/// Runs one admitted call: chooses a target, starts an attempt there, relays the answer to the caller, and resumes or
/// restarts the attempt after a loss.
class Relay : public std::enable_shared_from_this<Relay> {
public:
    Relay(wire::MainLoop& loop, const RelayControllers& controllers, CallPtr call);
    ~Relay();
    Relay(const Relay&) = delete;
    auto operator=(const Relay&) -> Relay& = delete;

    /// Resolves when the caller has its answer or has disconnected. For a request that may run only once, resolves when
    /// the ledger has the answer too, even if the caller has disconnected.
    [[nodiscard]] auto run() -> kj::Promise<void>;

private:
    class Sink;
    friend class Sink;
    /// A chunk of the answer, or the end of the answer.
    struct AnswerChunk {
        std::uint16_t status = 0;
        std::string contentType;
        std::string data;
        std::uint32_t tokens = 0;
        SoftwareVersion software {};
        std::optional<AnswerEnd> end;
    };
    /// A chunk that arrived before its predecessors.
    struct EarlyChunk {
        AnswerChunk chunk;
        kj::Own<kj::PromiseFulfiller<void>> fulfiller;
    };

    /// Continues according to the request's state in the ledger.
    auto handleClaimStatus(ClaimStatus status) -> kj::Promise<void>;
    /// Sends the caller the answer stored in the ledger.
    auto replayAnswer(const Answered& answered) -> void;
    /// Reports the answer under the adapter and version that produced it.
    auto adoptModel(const ModelName& model) -> void;
    /// Relays the answer of an attempt that another call started.
    auto joinAttempt(const Claim& claim) -> kj::Promise<void>;
    /// Chooses a target and starts an attempt there; without a target, retries or refuses the call.
    auto tryNextTarget() -> kj::Promise<void>;
    [[nodiscard]] auto placementRequest() const -> decisions::PlacementRequest;
    auto handleNoTarget() -> kj::Promise<void>;
    /// Opens a session with the target, then claims the request and sends the start.
    auto connectAndStart(const TargetId& target) -> kj::Promise<void>;
    /// Claims the request in the ledger if it may run only once, then sends the start.
    auto claimAndSend(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>;
    auto sendStart(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>;
    auto attemptRequest() -> AttemptRequest;
    /// Where the target of the attempt sends the chunks of its answer.
    auto createSink() -> wire::schema::ChunkSink::Client;
    /// Checks the target's session with frequent heartbeats while the returned promise is held.
    auto watchSession(const TargetId& target) -> kj::Own<kj::Promise<void>>;
    /// Tries another target, or passes the refusal on to the caller.
    auto handleRefusal(const TargetId& target, const Error& error) -> kj::Promise<void>;
    /// Waits until the target's session is lost, then resumes the attempt. Until then, chunks arrive through the sink.
    auto resumeWhenLost(const TargetId& target) -> kj::Promise<void>;
    /// Asks the target process to send the answer from the next missing chunk on. `lostAt`: when the session was lost.
    auto resume(const TargetId& target, Moment lostAt) -> kj::Promise<void>;
    auto resumeAfterDelay(const TargetId& target, Moment lostAt) -> kj::Promise<void>;
    /// Handles the reply that the target process does not know the attempt: revokes the attempt there, so that it can
    /// no longer start.
    auto handleUnknownAttempt(const TargetId& target) -> kj::Promise<void>;
    /// Handles the loss of an attempt: continues the answer on another target if the call may be repeated, else fails
    /// the call.
    auto continueElsewhere(const Error& error) -> kj::Promise<void>;
    [[nodiscard]] auto isRepeatable() const -> bool;
    [[nodiscard]] auto mayTryAgain() const -> bool;
    /// Whether a target could continue what the caller has of the answer.
    [[nodiscard]] auto canContinue() const -> bool;
    /// Ends the call with an error. Adjusts the error's run state if the request may have run.
    auto endWithError(Error error) -> void;
    /// Handles a caller that disconnected before the answer was complete.
    auto handleHangUp() -> void;
    /// Resolves, as the acknowledgement to the target, when the chunk is written to the caller or to its bounded
    /// buffer.
    auto receiveChunk(ChunkNumber number, AnswerChunk chunk) -> kj::Promise<void>;
    /// Handles the chunk that is next in order, and any buffered ones that follow it.
    auto processChunk(AnswerChunk chunk) -> kj::Promise<void>;
    auto writeChunk(const AnswerChunk& chunk) -> void;
    auto handleEnd(const AnswerEnd& end) -> void;
    /// Ends the answer to the caller and stores it in the ledger if the request may run only once.
    auto finishAnswer(const AnswerEnd& end) -> void;
    /// Marks the call as done and resolves the promise of run().
    auto finish() -> void;
    /// Calls with the digest of a suspect request, one that has crashed an engine, run one at a time. If it is this
    /// call's turn, lets the next one run.
    auto releaseSuspectTurn() -> void;
    /// Sends a message about the attempt if a session with the target is open. A lost message does no harm: the target
    /// process cleans up by itself later.
    template <typename MakeRequest>
    auto sendOnOpenSession(const std::optional<TargetId>& target, MakeRequest makeRequest) -> void;
    auto cancelAttempt(const std::optional<TargetId>& target) -> void;
    auto releaseAttempt(const std::optional<TargetId>& target) -> void;

    wire::MainLoop& loop_;
    TargetsController& targets_;
    QuarantineController& quarantine_;
    Metrics& metrics_;
    CallPtr call_;
    QuarantineController::Request suspect_;
    /// When the current attempt was sent.
    Moment startedAt_ {};
    AnswerWriter writer_;
    /// Histogram of the time between chunks. Looked up once per answer, since every chunk is observed.
    Metrics::Series* betweenTokens_ = nullptr;
    Moment lastTokenAt_ {};
    /// Null if the request may run more than once.
    std::unique_ptr<RunRecord> record_;
    /// Whether this call holds the claim in the ledger.
    bool claimed_ = false;
    /// Whether the answer is in the ledger or is being written to it.
    bool recorded_ = false;
    std::vector<TargetId> tried_;
    int attempts_ = 0;
    /// Targets that refused to continue the answer because their engine's software is another version.
    int otherSoftwareRefusals_ = 0;
    AttemptId attempt_;
    std::optional<TargetId> target_;
    Epoch epoch_;
    ChunkNumber nextChunk_;
    /// Chunks that arrived before their predecessors, by number.
    std::map<ChunkNumber, EarlyChunk> earlyChunks_;
    /// Text of a repeatable answer that the caller already has. Another target can continue the answer from this text.
    std::string givenText_;
    /// Version of the engine's software that began the answer; empty if the engine names none. Versions write
    /// differently, so the answer may continue only at the same one.
    SoftwareVersion software_;
    /// The last refusal by a target. It is returned to the caller if no other target accepts the request.
    std::optional<Error> lastRefusal_;
    /// Whether a target that was already tried may accept the request on a second try.
    bool mayRetryTried_ = false;
    /// Whether an earlier attempt was lost after its start, so that the request may have run.
    bool mayHaveRun_ = false;
    /// Whether a chunk of the answer was passed to the caller.
    bool answerBegun_ = false;
    /// Whether this call is the only one with its digest that may run now. Set only for a request that has crashed an
    /// engine.
    bool holdsSuspectTurn_ = false;
    /// Number of engine crashes that had been counted for this request when the attempt was sent.
    std::uint32_t crashesAtStart_ = 0;
    bool done_ = false;
    kj::Own<kj::PromiseFulfiller<void>> finished_;
    kj::ForkedPromise<void> whenFinished_ = nullptr;
};

} // namespace eelgrass::router
