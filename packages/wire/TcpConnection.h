#pragma once

#include "wire/GlibStream.h"
#include "wire/Readiness.h"
#include "wire/SocketSend.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrass::wire {

/// How the other end of a connection went.
enum class StreamEnd {
    /// It closed its side in order.
    Finished,
    /// Reset, unreachable, or silent beyond the limits: bytes may be missing.
    Reset,
};

/// One TCP connection on the loop, with callbacks: bytes are gathered in `input()` and written at once or queued.
///
/// A connection on which bytes come without end is read a part at a time, so that the others have their turn.
///
/// A vanished peer is noticed by keep-alive probes and by unacknowledged bytes, within `silenceLimit`.
/// Every callback may destroy the connection.
///
/// ```cpp
/// auto connection = TcpConnection::connect("127.0.0.1", 8080, { .onData = [&] { parse(); } });
/// connection->write("GET / HTTP/1.1\r\n\r\n");
/// ```
class TcpConnection {
public:
    struct Handlers {
        /// More bytes lie in `input()`.
        std::function<void()> onData {};
        /// Told once; nothing follows.
        std::function<void(StreamEnd)> onEnd {};
        /// The bytes that waited for the peer have all been handed to the kernel.
        std::function<void()> onDrained {};
        /// A connection that was being made stands.
        std::function<void()> onConnected {};
    };
    /// A peer that answers no probe and acknowledges nothing for this long is gone. Under a bound of three seconds, by
    /// which the platform's users expect a silent connection to be left.
    static constexpr auto silenceLimit = std::chrono::milliseconds(2000);

    /// Begins to connect; null when `address` is no IP address or the host has no descriptor left.
    [[nodiscard]] static auto connect(const std::string& address, std::uint16_t port, Handlers handlers)
        -> std::unique_ptr<TcpConnection>;
    /// Takes over an accepted socket.
    explicit TcpConnection(ObjectPtr<GSocket> socket, bool connected = true);
    ~TcpConnection();
    TcpConnection(const TcpConnection&) = delete;
    auto operator=(const TcpConnection&) -> TcpConnection& = delete;

    auto setHandlers(Handlers handlers) -> void { handlers_ = std::move(handlers); }
    /// Looks for bytes that came before anybody listened.
    auto start() -> void { pump(); }

    [[nodiscard]] auto input() noexcept -> std::string& { return input_; }
    /// Stops taking bytes from the kernel, so that the peer feels it. Once the connection is gone the bytes that the
    /// kernel still holds are taken all the same, and the end is told.
    auto pauseReading() -> void { paused_ = true; }
    auto resumeReading() -> void;

    auto write(std::string_view bytes) -> void;
    /// Bytes written that the kernel has not taken yet.
    [[nodiscard]] auto backlog() const noexcept -> std::size_t { return output_.size() - outputAt_; }
    /// Closes the writing side once everything is sent.
    auto finishWriting() -> void;
    /// Drops what is not sent; the peer sees a reset.
    auto reset() -> void;

    [[nodiscard]] auto connected() const noexcept -> bool { return connected_; }
    [[nodiscard]] auto over() const noexcept -> bool { return over_; }
    /// `address:port` of the other end.
    [[nodiscard]] auto peer() const -> const std::string& { return peer_; }

private:
    auto ready(std::uint32_t events) -> void;
    auto pump() -> void;
    /// Reads on in the next turn of the loop: the kernel does not report again what it has reported.
    auto pumpNextTurn() -> void;
    auto readSome() -> bool;
    auto flush() -> void;
    /// Drops what is not sent after a write that failed, and keeps what its outcome tells.
    auto dropOutput(SendOutcome) -> void;
    auto end(StreamEnd) -> void;

    ObjectPtr<GSocket> socket_;
    std::unique_ptr<SocketWatch> watch_;
    Handlers handlers_;
    std::string peer_;
    std::string input_;
    std::string output_;
    std::size_t outputAt_ = 0;
    bool connected_;
    bool paused_ = false;
    bool finishing_ = false;
    bool over_ = false;
    /// The peer has closed its side in order; bytes from before may still be unread.
    bool peerFinished_ = false;
    /// The kernel has reported the end of both directions.
    bool gone_ = false;
    /// A write was told that the connection is lost. The kernel tells that once: a read after it sees an end in order.
    bool lost_ = false;
    /// The GLib source that reads on; 0 for none.
    unsigned nextTurn_ = 0;
    /// False once this object is destroyed; held by callbacks that may destroy it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Accepts connections on one address and hands them over as sockets.
class TcpListener {
public:
    using OnSocket = std::function<void(ObjectPtr<GSocket>)>;

    /// Throws when the address cannot be listened on; port 0 lets the kernel choose.
    TcpListener(const std::string& address, std::uint16_t port, OnSocket onSocket);
    ~TcpListener();
    TcpListener(const TcpListener&) = delete;
    auto operator=(const TcpListener&) -> TcpListener& = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return port_; }
    /// Hands over the connections that the kernel has completed, and takes no others.
    auto close() -> void;

private:
    /// Returns whether there was a connection to accept.
    auto acceptAll() -> bool;

    ObjectPtr<GSocket> socket_;
    OnSocket onSocket_;
    std::uint16_t port_ = 0;
    std::unique_ptr<SocketWatch> watch_;
};

} // namespace eelgrass::wire
