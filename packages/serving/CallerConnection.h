#pragma once

#include "base/TimerService.h"
#include "serving/Types.h"
#include "wire/HttpReader.h"
#include "wire/TcpConnection.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::serving {

class CallerExchange;

/// What a client's connection holds.
enum class CallerStage {
    /// No request.
    Idle,
    /// A request of which a part has been read.
    HalfRead,
    /// A request that waits for its first run.
    Waiting,
    /// A request that has lost its run, while a replica is searched for it.
    Searching,
    /// A request that runs.
    AtWork,
    /// A request that runs, whose replica has been silent for long.
    Silent,
    /// An answer after which the connection closes.
    Ending,
};

[[nodiscard]] auto toString(CallerStage) noexcept -> std::string_view;

/// HTTP connection of a client. Serves one request after another, with strict framing and limits on size and time. Each
/// request is passed on with the `CallerExchange` that answers it.
///
/// ```cpp
/// auto connection = std::make_shared<CallerConnection>(timers, socket, limits,
///     CallerConnection::Hooks { .onRequest = [](auto exchange, auto request) { exchange->respond({ 200 }, "text"); }
///     });
/// connection->start();
/// ```
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    /// Callbacks for the handler of the current request.
    struct Watcher {
        /// The client closed or reset the connection.
        std::function<void()> onGone;
        /// Everything written has been sent to the client.
        std::function<void()> onDrained;
        /// The entry begins to stop.
        std::function<void()> onStop {};
        /// The stop of the entry runs out.
        std::function<void()> onStopEnds {};
        /// How far the request is.
        std::function<CallerStage()> stage {};
    };
    struct Hooks {
        std::function<void(std::shared_ptr<CallerExchange>, wire::HttpRequestMessage)> onRequest;
        std::function<void(CallerConnection*)> onClosed;
        /// A handler wrote to a closed exchange, or wrote the parts of an answer in the wrong order. The bytes were not
        /// sent.
        std::function<void()> onMisuse {};
    };
    /// Number of a request on its connection, starting from 1.
    using ExchangeNumber = std::uint64_t;

    CallerConnection(TimerService& timers, wire::ObjectPtr<GSocket> socket, const CallerLimits& limits, Hooks hooks);
    /// Starts to read. Separate from the constructor, because the first request may be answered at once.
    auto start() -> void;
    /// Sets the limits that apply from the next request on. A limit on the client's time that is raised applies at
    /// once.
    auto setLimits(const CallerLimits& limits) -> void;
    /// Closes the connection after its next answer, which announces the close: the entry begins to stop.
    auto closeSoon() -> void;
    /// Closes the connection if no request is being read or answered on it. A new connection is first given time to
    /// bring a request.
    auto closeIfIdle() -> void;
    /// Resets the connection, even while a request is served.
    auto abort() -> void;

    /// Ends the request that is open or half read: the stop of the entry runs out.
    auto endRequest() -> void;

    /// Logs that the process ends before the client has taken its answer.
    auto cutOff() -> void;
    /// Whether the client waits for an answer, or for the rest of one.
    [[nodiscard]] auto owesAnswer() const noexcept -> bool { return requestOpen_ || connection_.backlog() > 0; }
    [[nodiscard]] auto stage() const -> CallerStage;
    [[nodiscard]] auto peer() const -> const std::string& { return connection_.peer(); }

private:
    friend class CallerExchange;
    // Used by `CallerExchange`.
    [[nodiscard]] auto isCurrent(ExchangeNumber number) const noexcept -> bool { return number == currentExchange_; }
    [[nodiscard]] auto backlog() const noexcept -> std::size_t { return connection_.backlog(); }
    [[nodiscard]] auto requestBegan() const noexcept -> Moment { return requestBegan_; }
    auto respond(wire::HttpResponseHead head, std::string_view body) -> void;
    auto begin(wire::HttpResponseHead head) -> void;
    auto writeChunk(std::string_view bytes) -> void;
    auto finish() -> void;
    auto noteMisuse() -> void;

    auto received() -> void;
    /// Reads what has come of the next request, and passes it on when it is complete.
    auto readRequest() -> void;
    auto drained() -> void;
    /// Whether the client has sent too little within a limit, also after reading what has come.
    [[nodiscard]] auto clientIsLate() -> bool;
    auto refuse(wire::HttpFault fault) -> void;
    auto reject(int status) -> void;
    auto onAnswered() -> void;
    /// Closes the connection once the client has had time to take everything that is sent.
    auto linger() -> void;
    auto armLinger() -> void;
    auto ended() -> void;
    auto close(std::string_view why) -> void;
    /// Logs a connection that ends with a request on it that is not completely read or not answered.
    auto noteRequestLost(std::string_view why) const -> void;
    /// A limit on the time that the client may take.
    using TimeLimit = milliseconds CallerLimits::*;
    auto armLimit(TimeLimit limit) -> void;
    auto scheduleLimit() -> void;
    auto onLimit() -> void;
    auto addFraming(wire::HttpResponseHead& head) -> void;

    TimerService& timers_;
    wire::TcpConnection connection_;
    CallerLimits limits_;
    wire::RequestReader reader_;
    Hooks hooks_;
    Watcher watcher_;
    ExchangeNumber exchangeCount_ = 0;
    /// Number of the exchange that may write; 0 if none.
    ExchangeNumber currentExchange_ = 0;
    Timer timer_;
    /// The limit that `timer_` watches over, unless the connection lingers: what it allows, and since when.
    TimeLimit timeLimit_ = &CallerLimits::idleTime;
    Duration timeAllowed_ {};
    Moment limitBegan_ {};
    Moment openedAt_;
    Moment requestBegan_ {};
    bool requestOpen_ = false;
    bool reading_ = false;
    bool inReceived_ = false;
    bool continueSent_ = false;
    bool keepAlive_ = true;
    bool closing_ = false;
    bool lingering_ = false;
    bool closed_ = false;
};

} // namespace eelgrass::serving
