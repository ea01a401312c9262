#pragma once

#include "router/entry/Call.h"
#include "wire/MainLoop.h"

#include <kj/vector.h>

#include <optional>
#include <string>
#include <string_view>

namespace eelgrass::router {

/// Writes an answer to its caller: streamed or whole, as completion, chat or a service's own bytes.
///
/// A streamed answer is never silent: while nothing comes, a comment line says what is waited for. It ends with
/// `[DONE]` or with an error event.
class AnswerWriter {
public:
    AnswerWriter(wire::MainLoop& loop, CallPtr call);
    ~AnswerWriter();
    AnswerWriter(const AnswerWriter&) = delete;
    auto operator=(const AnswerWriter&) -> AnswerWriter& = delete;

    /// To be called when the call's model changed, as for an answer that another call started.
    auto nameModel() -> void;
    /// What the caller waits for, told in the next comment line.
    auto progress(std::string note) -> void { note_ = std::move(note); }
    /// Status and type of a service's answer, before its bytes.
    auto head(int status, std::string contentType) -> void;
    auto text(std::string_view text, std::uint32_t tokens) -> void;
    auto end(const AnswerEnd& end) -> void;
    auto refuse(const Error& error) -> void;

    /// Text that the caller has, or will have in a whole answer.
    [[nodiscard]] auto written() const noexcept -> std::uint32_t { return tokens_; }
    [[nodiscard]] auto firstTokenAt() const noexcept -> std::optional<Moment> { return firstTokenAt_; }
    /// Kept when the caller has taken so much that more may be sent.
    [[nodiscard]] auto writable() -> kj::Promise<void>;

private:
    auto begin() -> void;
    auto comment() -> void;
    auto drained() -> void;
    auto event(std::string_view text, const std::string& finishReason) -> std::string;
    [[nodiscard]] auto wholeBody(const AnswerEnd& end) const -> std::string;

    wire::MainLoop& loop_;
    CallPtr call_;
    std::string prefix_;
    std::string gathered_;
    std::string note_ = "queued";
    int status_ = 200;
    std::string contentType_ = "application/json";
    std::uint32_t tokens_ = 0;
    bool begun_ = false;
    std::optional<Moment> firstTokenAt_;
    Timer commentTimer_;
    /// Whether anything was sent since the last look.
    bool spoke_ = false;
    /// Several chunks may wait at once: a target does not wait for the first before it sends the second.
    kj::Vector<kj::Own<kj::PromiseFulfiller<void>>> waiting_;
};

/// Answers a request with an error as the interface describes it: status, `Retry-After`, and JSON.
auto writeError(const wire::HttpExchangePtr& exchange, const RequestId& request, const Error& error) -> void;
/// The JSON of an error.
[[nodiscard]] auto errorJson(const RequestId& request, const Error& error) -> Json;

} // namespace eelgrass::router
