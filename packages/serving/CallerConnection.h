#pragma once

#include "base/TimerService.h"
#include "serving/Types.h"
#include "wire/HttpReader.h"
#include "wire/TcpConnection.h"

#include <functional>
#include <memory>
#include <string>

namespace eelgrass::serving {

/// One connection of a client: requests one after the other, strict framing, bounded in size and time.
///
/// ```cpp
/// connection->onRequest([](wire::HttpRequestMessage request) { ... });
/// connection->respond({ .status = 200 }, "text");
/// ```
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// What a request's handler is told while it is at work.
    struct Watcher {
        /// The client closed or reset the connection.
        std::function<void()> onGone;
        /// What was written has left for the client.
        std::function<void()> onDrained;
    };
    using OnRequest = std::function<void(const std::shared_ptr<CallerConnection>&, wire::HttpRequestMessage)>;
    using OnClosed = std::function<void(CallerConnection*)>;

    CallerConnection(TimerService& timers, wire::ObjectPtr<GSocket> socket, const CallerLimits& limits,
        OnRequest onRequest, OnClosed onClosed);
    /// Begins to read; apart from the constructor, since the first request may be answered at once.
    auto start() -> void;
    /// Limits of a newer configuration, from the next request on.
    auto setLimits(const CallerLimits& limits) -> void;
    /// The last answer says that the connection closes; an idle one closes at once.
    auto closeSoon() -> void;
    /// Closes a connection that has no request on it.
    auto closeIfIdle() -> void;

    auto watch(Watcher watcher) -> void { watcher_ = std::move(watcher); }
    /// A whole answer.
    auto respond(wire::HttpResponseHead head, std::string_view body) -> void;
    /// A streamed answer: head, pieces, and `finish` or `abort`.
    auto begin(wire::HttpResponseHead head) -> void;
    auto piece(std::string_view bytes) -> void;
    auto finish() -> void;
    /// Breaks a streamed answer off, so that the client sees that it is not whole.
    auto abort() -> void;

    /// Bytes as they stand, ahead of the answer.
    auto write(std::string_view bytes) -> void { connection_.write(bytes); }

    [[nodiscard]] auto backlog() const noexcept -> std::size_t { return connection_.backlog(); }
    [[nodiscard]] auto serving() const noexcept -> bool { return serving_; }
    [[nodiscard]] auto peer() const -> const std::string& { return connection_.peer(); }
    /// When the first byte of the request at hand came.
    [[nodiscard]] auto requestBegan() const noexcept -> Moment { return requestBegan_; }

private:
    auto received() -> void;
    auto refuse(wire::HttpFault fault) -> void;
    auto reject(int status) -> void;
    auto answered() -> void;
    auto linger() -> void;
    auto ended() -> void;
    auto close() -> void;
    auto armIdle() -> void;
    auto addFraming(wire::HttpResponseHead& head) -> void;

    TimerService& timers_;
    wire::TcpConnection connection_;
    CallerLimits limits_;
    wire::RequestReader reader_;
    OnRequest onRequest_;
    OnClosed onClosed_;
    Watcher watcher_;
    Timer timer_;
    Moment requestBegan_ {};
    bool serving_ = false;
    bool reading_ = false;
    bool continued_ = false;
    bool keepAlive_ = true;
    bool closing_ = false;
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace eelgrass::serving
