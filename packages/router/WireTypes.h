#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Ids.h"
#include "decisions/TargetView.h"
#include "wire/generated/Peer.capnp.h"

#include <cstdint>
#include <string>

namespace eelgrass::router {

/// What an entry asks a target process to run.
struct AttemptRequest {
    enum class Kind { Completion, Chat, Service };

    AttemptId attempt;
    RequestId requestId;
    MemberId member;
    /// Empty for a plain service.
    ModelName model;
    RequestClass requestClass;
    /// Time left for the caller; zero for none.
    std::chrono::milliseconds deadline {};
    bool neverRepeat = false;
    Epoch epoch;
    Kind kind = Kind::Completion;
    /// JSON for an engine, the raw body for a service.
    std::string body;
    std::string method;
    std::string path;
    std::string contentType;
    /// Names member, adapter and body, to know a request that crashes targets.
    std::string digest;
    /// What the caller has already of the answer, from an attempt whose engine died.
    std::uint32_t skipTokens = 0;
    std::string givenText;
    /// How many engines died while they ran this digest.
    std::uint32_t crashes = 0;
};

/// How an answer ended.
struct AnswerEnd {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    /// Set when the answer broke off or never began.
    std::optional<Error> error;
    Duration loadStall {};
    Duration queueWait {};
};

[[nodiscard]] auto textOf(capnp::Data::Reader data) -> std::string;
[[nodiscard]] auto dataOf(std::string_view text) -> capnp::Data::Reader;

auto write(const AttemptRequest& request, wire::schema::StartRequest::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::StartRequest::Reader from) -> AttemptRequest;
auto write(const Error& error, wire::schema::Refusal::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::Refusal::Reader from) -> Error;
auto write(const AnswerEnd& end, wire::schema::AnswerEnd::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::AnswerEnd::Reader from) -> AnswerEnd;

} // namespace eelgrass::router
