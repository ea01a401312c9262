#pragma once

#include "base/TimerService.h"
#include "serving/Types.h"
#include "wire/HttpReader.h"
#include "wire/TcpConnection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace eelgrass::serving {

class CallerExchange;

/// One connection of a client: requests one after the other, strict framing, bounded in size and time. Each request
/// comes with the `CallerExchange` that answers it.
///
/// ```cpp
/// auto connection = std::make_shared<CallerConnection>(timers, socket, limits,
///     CallerConnection::Hooks { .onRequest = [](auto exchange, auto request) { exchange->respond({ 200 }, "text"); }
///     });
/// connection->start();
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
    struct Hooks {
        std::function<void(std::shared_ptr<CallerExchange>, wire::HttpRequestMessage)> onRequest;
        std::function<void(CallerConnection*)> onClosed;
        /// Something was written for a request that is over, or out of its turn; it did not reach the client.
        std::function<void()> onMisuse {};
    };
    /// Counts the requests of a connection; none has 0.
    using ExchangeNumber = std::uint64_t;

    CallerConnection(TimerService& timers, wire::ObjectPtr<GSocket> socket, const CallerLimits& limits, Hooks hooks);
    /// Begins to read; apart from the constructor, since the first request may be answered at once.
    auto start() -> void;
    /// Limits of a newer configuration, from the next request on.
    auto setLimits(const CallerLimits& limits) -> void;
    /// The last answer says that the connection closes; an idle one closes at once.
    auto closeSoon() -> void;
    /// Closes a connection that has no request on it.
    auto closeIfIdle() -> void;
    /// Breaks it off, whatever is on it; the client sees a reset.
    auto abort() -> void;

    [[nodiscard]] auto peer() const -> const std::string& { return connection_.peer(); }

private:
    friend class CallerExchange;
    // For the exchange at hand.
    [[nodiscard]] auto serves(ExchangeNumber number) const noexcept -> bool { return number == exchange_; }
    [[nodiscard]] auto backlog() const noexcept -> std::size_t { return connection_.backlog(); }
    [[nodiscard]] auto requestBegan() const noexcept -> Moment { return requestBegan_; }
    auto respond(wire::HttpResponseHead head, std::string_view body) -> void;
    auto begin(wire::HttpResponseHead head) -> void;
    auto writeChunk(std::string_view bytes) -> void;
    auto finish() -> void;
    auto noteMisuse() -> void;

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
    Hooks hooks_;
    Watcher watcher_;
    ExchangeNumber exchanges_ = 0;
    /// The one that may be written; 0 for none.
    ExchangeNumber exchange_ = 0;
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
