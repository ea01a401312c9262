#pragma once

#include "base/Ids.h"
#include "wire/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::targets {

/// An answer that the engine generates now.
struct EngineStream {
    AttemptId attempt;
    ModelName model;
};

/// What the engine itself says that it holds and runs.
struct EngineState {
    /// Changes when the engine starts anew.
    std::string incarnation;
    SoftwareVersion software;
    std::vector<ModelName> models;
    std::vector<EngineStream> streams;
};

/// The engine's answer to an order.
struct OrderOutcome {
    int status = 0;
    /// The engine's own error type; empty on success.
    std::string errorType;

    [[nodiscard]] auto accepted() const noexcept -> bool { return status == 200; }
};

/// What came of a stream in one read.
struct CompletionPiece {
    std::string text;
    std::uint32_t tokens = 0;
    std::string finishReason;
    /// Of the engine that generates the answer; empty if it names none.
    SoftwareVersion software;
    /// The engine said that the answer is whole.
    bool done = false;
    /// The stream ended; without `done` it broke off.
    bool closed = false;
};

/// One answer being generated. Destroying it closes the connection.
class CompletionStream {
public:
    CompletionStream(kj::Own<wire::HttpStream> stream, AttemptId attempt, ModelName model);

    [[nodiscard]] auto status() const noexcept -> int { return stream_->status(); }
    /// Rejects when the engine answers in the name of another attempt or another model.
    [[nodiscard]] auto next() -> kj::Promise<CompletionPiece>;
    /// The body of a refusal.
    [[nodiscard]] auto refusal() -> kj::Promise<std::string>;

private:
    auto take(std::string_view event, CompletionPiece& piece) -> void;

    kj::Own<wire::HttpStream> stream_;
    AttemptId attempt_;
    ModelName model_;
    std::string partial_;
};

/// A generation order.
struct CompletionOrder {
    AttemptId attempt;
    ModelName model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    int priority = 0;
    /// Tokens that the caller already has from an earlier attempt.
    std::uint32_t skipTokens = 0;
    /// Their text, from which an engine that samples goes on.
    std::string givenText;
    /// The member's own salt, so that no prefix cache is shared between members.
    std::string cacheSalt;
    /// Sampling parameters of the caller, passed on as they are.
    nlohmann::json sampling = nlohmann::json::object();
};

/// Client of one model engine. Every order carries the epoch of the process that owns the engine.
class EngineClient {
public:
    EngineClient(const std::string& address, std::uint16_t port);

    [[nodiscard]] auto state() -> kj::Promise<EngineState>;
    [[nodiscard]] auto load(ModelName model, Epoch epoch) -> kj::Promise<OrderOutcome>;
    [[nodiscard]] auto unload(ModelName model, Epoch epoch) -> kj::Promise<OrderOutcome>;
    [[nodiscard]] auto complete(CompletionOrder order, Epoch epoch) -> kj::Promise<kj::Own<CompletionStream>>;
    /// Reads a running answer again from token `from`.
    [[nodiscard]] auto resume(AttemptId attempt, ModelName model, std::uint32_t from)
        -> kj::Promise<kj::Own<CompletionStream>>;
    [[nodiscard]] auto cancel(AttemptId attempt) -> kj::Promise<void>;

private:
    auto order(const char* path, const ModelName& model, Epoch epoch) -> kj::Promise<OrderOutcome>;

    std::string base_;
    wire::HttpClient http_;
    wire::HttpClient orders_;
};

} // namespace eelgrass::targets
