#pragma once

#include "serving/CallerConnection.h"

#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// The answer to one request of a client, and the only way to write it: whole, streamed, or broken off.
///
/// It is used up by the end of its answer and by the client's leaving. A connection serves one request after another,
/// so what a part still wrote then would reach the client as the answer to a later request, or to none. Writing on a
/// used exchange does nothing but count and log: the bytes of each answer come from the run of its own request.
///
/// ```cpp
/// exchange->respond({ .status = 200 }, "text");
/// ```
class CallerExchange {
public:
    CallerExchange(std::shared_ptr<CallerConnection> connection, CallerConnection::ExchangeNumber number) noexcept;

    auto watch(CallerConnection::Watcher watcher) -> void;
    /// Bytes as they stand, ahead of the answer.
    auto write(std::string_view bytes) -> void;
    /// A whole answer.
    auto respond(wire::HttpResponseHead head, std::string_view body) -> void;
    /// A streamed answer: head, pieces, and `finish` or `abort`.
    auto begin(wire::HttpResponseHead head) -> void;
    auto writeChunk(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Breaks the answer off by closing the connection, so that the client sees that it is not whole.
    auto abort() -> void;

    /// Bytes that the client has not taken yet; none once the exchange is used up.
    [[nodiscard]] auto backlog() const noexcept -> std::size_t;
    /// When the first byte of the request came.
    [[nodiscard]] auto requestBegan() const noexcept -> Moment { return requestBegan_; }
    [[nodiscard]] auto open() const noexcept -> bool { return connection_->serves(number_); }

private:
    /// Whether that step is this exchange's next one; counts and logs it otherwise.
    [[nodiscard]] auto may(std::string_view step, bool streaming) -> bool;

    std::shared_ptr<CallerConnection> connection_;
    CallerConnection::ExchangeNumber number_;
    Moment requestBegan_;
    /// The head of a streamed answer is out.
    bool begun_ = false;
};

} // namespace eelgrass::serving
