#pragma once

#include "base/TimerService.h"
#include "serving/Types.h"
#include "wire/HttpReader.h"
#include "wire/TcpConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// How a request on a connection to a replica failed.
enum class ReplicaFault {
    /// No byte of the request reached the replica.
    NotSent,
    /// Nothing was sent, because the replica wanted no more requests by the time that the connection stood.
    Withheld,
    /// The connection was closed or reset before the answer was complete.
    Broken,
    /// The replica sent bytes that are not a valid HTTP response, or an answer that is too long to be kept.
    BadBytes,
};

[[nodiscard]] auto toString(ReplicaFault) noexcept -> std::string_view;

/// One connection to a replica. It carries one request at a time and never repeats one.
class ReplicaConnection {
public:
    struct Handlers {
        std::function<void(const wire::HttpResponseHead&)> onHead;
        std::function<void(std::string_view)> onBody;
        /// The answer is complete according to its HTTP framing.
        std::function<void()> onDone;
        std::function<void(ReplicaFault)> onFault;
        /// Asked once the connection stands, right before the request is written; empty for yes.
        std::function<bool()> mayWrite {};
    };
    /// Whether the head of an answer belongs to the request that was sent. Other answers are skipped.
    using IsOwnAnswer = std::function<bool(const wire::HttpResponseHead&)>;

    ReplicaConnection(TimerService& timers, const Endpoint& endpoint);
    ~ReplicaConnection() { *alive_ = false; }
    ReplicaConnection(const ReplicaConnection&) = delete;
    auto operator=(const ReplicaConnection&) -> ReplicaConnection& = delete;

    /// Whether the connection has a socket that is not closed.
    [[nodiscard]] auto usable() const noexcept -> bool { return connection_ && !connection_->over(); }
    auto send(std::string_view head, std::string_view body, IsOwnAnswer isOwnAnswer, Handlers handlers) -> void;
    /// Stops reading until `resume`, while the client cannot take more of the answer.
    auto pause() -> void { connection_->pauseReading(); }
    auto resume() -> void { connection_->resumeReading(); }
    /// Closes the connection at once, which makes the replica stop working on the request. No handler of the request is
    /// called afterwards: the request may be finished, and the client's connection may already serve another one.
    auto abort() -> void;

    /// Whether another request can be sent: the answer is complete, no other bytes arrived, and the replica keeps the
    /// connection open.
    [[nodiscard]] auto reusable() const noexcept -> bool { return reusable_; }
    /// Whether the answer had neither a length nor chunks: the end of the connection completed it, as the end of its
    /// replica may.
    [[nodiscard]] auto answerEndedWithConnection() const noexcept -> bool { return answerEndedWithConnection_; }
    /// How long the replica keeps an idle connection open, from its Keep-Alive header; empty if it did not send one.
    [[nodiscard]] auto idleTimeout() const noexcept -> std::optional<std::chrono::seconds> { return idleTimeout_; }
    /// Reads what waits on an idle connection: the replica may have closed it, or sent bytes that nobody asked for.
    auto readWaiting() -> void { connection_->start(); }
    /// Sets the callback for an idle connection that can no longer be used.
    auto onIdleEnd(std::function<void()> callback) -> void { onIdleEnd_ = std::move(callback); }

private:
    auto connected() -> void;
    auto received() -> void;
    /// Whether the replica has sent too much that is no part of the answer's body.
    [[nodiscard]] auto tooMuchOverhead() const noexcept -> bool;
    auto ended(wire::StreamEnd how) -> void;
    auto readHead() -> bool;
    auto finish() -> void;
    auto fail(ReplicaFault fault) -> void;

    TimerService& timers_;
    std::unique_ptr<wire::TcpConnection> connection_;
    std::unique_ptr<wire::ResponseReader> reader_;
    Timer connectTimer_;
    IsOwnAnswer isOwnAnswer_;
    /// Shared, because a handler may destroy this connection while it runs.
    std::shared_ptr<const Handlers> handlers_;
    std::function<void()> onIdleEnd_;
    /// The request, while the connection is being made.
    std::string unsent_;
    std::string pendingBody_;
    /// Bytes of the answer's body that were passed on, and all others that have come for the request.
    std::size_t passedOn_ = 0;
    std::size_t overhead_ = 0;
    std::optional<std::chrono::seconds> idleTimeout_;
    bool busy_ = false;
    bool skippingAnswer_ = false;
    bool headReported_ = false;
    bool sawForeignAnswer_ = false;
    bool reusable_ = false;
    bool answerEndedWithConnection_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Pool of idle connections to one replica. The most recently used one is taken first, so that the others age and are
/// closed.
class ConnectionPool {
public:
    ConnectionPool(TimerService& timers, Endpoint endpoint)
        : timers_(timers)
        , endpoint_(std::move(endpoint))
    {
    }

    /// Takes an idle connection or opens a new one. With `nonRepeatable`, only a connection used moments ago is reused:
    /// the replica may just have closed an older one, and the request could not be sent again.
    [[nodiscard]] auto take(bool nonRepeatable) -> std::shared_ptr<ReplicaConnection>;
    auto giveBack(std::shared_ptr<ReplicaConnection> connection) -> void;
    /// Sets how many idle connections are kept; the replica's connection limit is shared by all entries.
    auto setMaxIdle(std::size_t count) -> void { maxIdle_ = count; }
    [[nodiscard]] auto idle() const noexcept -> std::size_t { return idle_.size(); }
    auto clear() -> void { idle_.clear(); }

private:
    struct Idle {
        std::shared_ptr<ReplicaConnection> connection;
        Moment since {};
    };
    TimerService& timers_;
    Endpoint endpoint_;
    std::size_t maxIdle_ = 4;
    std::vector<Idle> idle_;
};

} // namespace eelgrass::serving
