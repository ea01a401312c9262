#pragma once

#include "serving/CallerConnection.h"

#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// Writes the answer to one request of a client: complete, streamed, or aborted.
///
/// The exchange closes when its answer ends or the client disconnects. Because a connection serves one request after
/// another, anything written later would reach the client as the answer to a later request, or to none. Writing on a
/// closed exchange is therefore ignored, counted and logged.
///
/// ```cpp
/// exchange->respond({ .status = 200 }, "text");
/// ```
class CallerExchange {
public:
    CallerExchange(std::shared_ptr<CallerConnection> connection, CallerConnection::ExchangeNumber number) noexcept;

    auto watch(CallerConnection::Watcher watcher) -> void;
    /// Writes bytes unchanged, before the answer.
    auto write(std::string_view bytes) -> void;
    /// Writes a complete answer.
    auto respond(wire::HttpResponseHead head, std::string_view body) -> void;
    /// Starts a streamed answer, which continues with `writeChunk` and ends with `finish` or `abort`.
    auto begin(wire::HttpResponseHead head) -> void;
    auto writeChunk(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Resets the connection, so that the client sees that the answer is incomplete.
    auto abort() -> void;

    /// Bytes not yet sent to the client; 0 once the exchange is closed.
    [[nodiscard]] auto backlog() const noexcept -> std::size_t;
    /// When the first byte of the request arrived.
    [[nodiscard]] auto requestBegan() const noexcept -> Moment { return requestBegan_; }
    [[nodiscard]] auto open() const noexcept -> bool { return connection_->isCurrent(number_); }

private:
    /// Whether `step` is allowed now: the exchange is open, and a streamed answer has begun exactly if `streaming` is
    /// set. Otherwise counts and logs the misuse, and aborts a streamed answer that has begun.
    [[nodiscard]] auto allows(std::string_view step, bool streaming) -> bool;

    std::shared_ptr<CallerConnection> connection_;
    CallerConnection::ExchangeNumber number_;
    Moment requestBegan_;
    /// Whether the head of a streamed answer has been written.
    bool streamBegun_ = false;
};

} // namespace eelgrass::serving
