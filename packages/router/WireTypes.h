#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "base/Ids.h"
#include "decisions/TargetView.h"
#include "wire/generated/Peer.capnp.h"

#include <cstdint>
#include <string>

namespace eelgrass::router {

/// Error type of a target whose engine's software is not the version that began the answer.
inline constexpr auto otherSoftwareType = "other_software";

/// An entry's request to a target process to start an attempt; `StartRequest` on the wire.
struct AttemptRequest {
    enum class Kind { Completion, Chat, Service };

    AttemptId attempt;
    RequestId requestId;
    MemberId member;
    /// The model's name; empty for a plain service.
    ModelName model;
    RequestClass requestClass;
    /// Time left until the caller's deadline when the request is sent; zero if there is no deadline.
    std::chrono::milliseconds deadline {};
    /// Whether the request may run only once.
    bool neverRepeat = false;
    /// The target's epoch as the entry knows it. The target process refuses a start with any other epoch.
    Epoch epoch;
    Kind kind = Kind::Completion;
    /// The JSON body for an engine, the raw body for a service.
    std::string body;
    /// Method, path and content type are set for a service.
    std::string method;
    std::string path;
    std::string contentType;
    /// Digest of the member, the model and the request's path and body. It identifies requests that crash engines.
    std::string digest;
    /// Tokens and text of the answer that the caller already has from an attempt whose engine died.
    std::uint32_t skipTokens = 0;
    std::string givenText;
    /// Number of engines that died while they ran a request with this digest.
    std::uint32_t crashes = 0;
    /// Version of the engine's software that wrote `givenText`.
    SoftwareVersion software {};
};

/// How an answer ended, with its token counts and waiting times.
struct AnswerEnd {
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::uint32_t completionTokens = 0;
    /// Set if the answer is incomplete or never began.
    std::optional<Error> error;
    /// Time that the request waited for its adapter to load.
    Duration loadStall {};
    Duration queueWait {};
    /// The start of the engine that ran the request, by its number at the target.
    std::uint64_t engineStart = 0;
};

/// Conversions between bytes on the wire and text. dataOf() does not copy: `text` must outlive the result.
[[nodiscard]] auto textOf(capnp::Data::Reader data) -> std::string;
[[nodiscard]] auto dataOf(std::string_view text) -> capnp::Data::Reader;

/// Conversions to and from the types of the wire schema.
auto write(const AttemptRequest& request, wire::schema::StartRequest::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::StartRequest::Reader from) -> AttemptRequest;
auto write(const Error& error, wire::schema::Refusal::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::Refusal::Reader from) -> Error;
auto write(const AnswerEnd& end, wire::schema::AnswerEnd::Builder into) -> void;
[[nodiscard]] auto read(wire::schema::AnswerEnd::Reader from) -> AnswerEnd;

} // namespace eelgrass::router
