#pragma once

#include "router/Metrics.h"
#include "router/controllers/TargetsController.h"
#include "router/entry/AnswerWriter.h"

#include <memory>

namespace eelgrass::router {

/// Takes one admitted call through its attempts: places it, starts it, relays the answer, resumes it after a loss.
class Relay : public std::enable_shared_from_this<Relay> {
public:
    Relay(wire::MainLoop& loop, TargetsController& targets, Metrics& metrics, CallPtr call);

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

    auto tryNext() -> kj::Promise<void>;
    auto startAt(const TargetId& target) -> kj::Promise<void>;
    auto send(const TargetId& target, wire::schema::TargetSession::Client session) -> kj::Promise<void>;
    auto order(const TargetId& target) -> StartOrder;
    auto refusedBy(const TargetId& target, const Error& error) -> kj::Promise<void>;
    auto follow(const TargetId& target) -> kj::Promise<void>;
    auto resume(const TargetId& target, int tries) -> kj::Promise<void>;
    auto giveUp(const Error& error) -> void;
    auto hungUp() -> void;
    /// Kept when the piece is with the caller, or waits for it in a bounded buffer.
    auto receive(ChunkNumber number, Piece piece) -> kj::Promise<void>;
    auto take(Piece piece) -> kj::Promise<void>;
    auto write(const Piece& piece) -> void;
    auto end(const AnswerEnd& end) -> void;
    auto finish() -> void;

    wire::MainLoop& loop_;
    TargetsController& targets_;
    Metrics& metrics_;
    CallPtr call_;
    AnswerWriter writer_;
    std::vector<TargetId> tried_;
    int attempts_ = 0;
    AttemptId attempt_;
    std::optional<TargetId> target_;
    ChunkNumber nextChunk_;
    std::map<ChunkNumber, EarlyPiece> early_;
    bool done_ = false;
    kj::Own<kj::PromiseFulfiller<void>> finished_;
    kj::ForkedPromise<void> whenFinished_ = nullptr;
};

} // namespace eelgrass::router
