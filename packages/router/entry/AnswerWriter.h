#pragma once

#include "router/entry/Call.h"
#include "wire/MainLoop.h"

#include <kj/vector.h>

#include <optional>
#include <string>
#include <string_view>

namespace eelgrass::router {

/// Writes an answer to its caller: as a stream or in one body, for a completion, a chat or a plain service.
///
/// While no text arrives for a streamed answer, comment lines tell the caller what the request waits for. A stream ends
/// with `[DONE]` or with an error event.
class AnswerWriter {
public:
    AnswerWriter(wire::MainLoop& loop, CallPtr call);
    ~AnswerWriter();
    AnswerWriter(const AnswerWriter&) = delete;
    auto operator=(const AnswerWriter&) -> AnswerWriter& = delete;

    /// Must be called after the call's model changed, for instance to that of an attempt that another call started.
    auto updateModel() -> void;
    /// Sets what the request waits for, as the next comment line reports it.
    auto setProgress(std::string note) -> void { progressNote_ = std::move(note); }
    /// Sets the status and content type of a service's answer. Must be called before the first bytes of the answer.
    auto setHead(int status, std::string contentType) -> void;
    /// Writes a part of the answer, or collects it for an answer in one body.
    auto appendText(std::string_view text, std::uint32_t tokens) -> void;
    /// Ends the answer, with an error if `end` has one.
    auto finish(const AnswerEnd& end) -> void;
    /// Ends the answer with an error. If a service's answer has begun, the connection is closed instead.
    auto finishWithError(const Error& error) -> void;

    /// Number of tokens whose text was sent, or was collected for an answer in one body.
    [[nodiscard]] auto tokensWritten() const noexcept -> std::uint32_t { return tokensWritten_; }
    [[nodiscard]] auto firstTokenAt() const noexcept -> std::optional<Moment> { return firstTokenAt_; }
    /// Resolves when the number of unsent bytes is below the limit of the send buffer.
    [[nodiscard]] auto whenWritable() -> kj::Promise<void>;

private:
    /// Sends the status and the headers if they have not been sent yet.
    auto beginResponse() -> void;
    /// Sends a comment line if nothing was sent since the last call.
    auto sendCommentIfIdle() -> void;
    /// Resolves the promises of whenWritable() if the send buffer is below its limit.
    auto onDrained() -> void;
    /// One event of a streamed answer.
    auto eventText(std::string_view text, const std::string& finishReason) -> std::string;
    [[nodiscard]] auto wholeBody(const AnswerEnd& end) const -> std::string;

    wire::MainLoop& loop_;
    CallPtr call_;
    /// Start of each event's JSON, up to the choices.
    std::string eventPrefix_;
    /// Text collected for an answer in one body.
    std::string wholeText_;
    std::string progressNote_ = "queued";
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::uint32_t tokensWritten_ = 0;
    bool responseBegun_ = false;
    std::optional<Moment> firstTokenAt_;
    Timer commentTimer_;
    /// Whether an event was sent since the comment timer last fired.
    bool sentSinceComment_ = false;
    /// Promises of whenWritable(). There can be several, since a target sends chunks without waiting for earlier ones
    /// to be acknowledged.
    kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> writableWaiters_;
};

/// Answers a request with an error: status, `Retry-After` if the error has one, and the JSON of errorJson().
auto writeError(const wire::HttpExchangePtr& exchange, const RequestId& request, const Error& error) -> void;
/// The JSON body of an error response.
[[nodiscard]] auto errorJson(const RequestId& request, const Error& error) -> Json;

} // namespace eelgrass::router
