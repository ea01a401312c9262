#include "wire/TcpConnection.h"

#include "wire/ListeningSocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace eelgrass::wire {

namespace {

constexpr auto readSize = std::size_t(64) << 10U;
// Bytes read from one connection in one turn of the loop.
constexpr auto maxReadPerTurn = readSize;
// New connections that wait to be accepted: a burst of callers within one turn of the loop.
constexpr auto acceptBacklog = 512;

auto setOption(GSocket* socket, int level, int name, int value) -> void
{
    // A failure leaves the kernel's default, with which a vanished peer is noticed later.
    g_socket_set_option(socket, level, name, value, nullptr);
}

auto prepare(GSocket* socket) -> void
{
    constexpr auto probes = 2;
    const auto limit = static_cast<int>(TcpConnection::silenceLimit.count());
    g_socket_set_blocking(socket, FALSE);
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, limit);
}

auto nameOf(GSocketAddress* address) -> std::string
{
    if (!address)
        return {};
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    auto* text = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    auto name = std::string(text) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
    g_free(text);
    return name;
}

auto wouldBlock(GError* error) -> bool
{
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)
        || g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
}

} // namespace

auto TcpConnection::connect(const std::string& address, std::uint16_t port, Handlers handlers)
    -> std::unique_ptr<TcpConnection>
{
    auto target = ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(address.c_str(), port));
    if (!target)
        return nullptr;
    auto socket
        = ObjectPtr<GSocket>(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr));
    if (!socket)
        return nullptr;
    prepare(socket.get());
    auto* raw = static_cast<GError*>(nullptr);
    const auto atOnce = g_socket_connect(socket.get(), target.get(), nullptr, &raw);
    const auto pending = !atOnce && wouldBlock(raw);
    g_clear_error(&raw);
    if (!atOnce && !pending)
        return nullptr;
    auto connection = std::make_unique<TcpConnection>(std::move(socket), false);
    connection->peer_ = address + ":" + std::to_string(port);
    connection->handlers_ = std::move(handlers);
    return connection;
}

TcpConnection::TcpConnection(ObjectPtr<GSocket> socket, bool connected)
    : socket_(std::move(socket))
    , connected_(connected)
{
    prepare(socket_.get());
    if (connected) {
        auto address = ObjectPtr<GSocketAddress>(g_socket_get_remote_address(socket_.get(), nullptr));
        peer_ = nameOf(address.get());
    }
    watch_ = std::make_unique<SocketWatch>(
        g_socket_get_fd(socket_.get()), [this](std::uint32_t events) { ready(events); });
}

TcpConnection::~TcpConnection()
{
    *alive_ = false;
    if (nextTurn_)
        g_source_remove(nextTurn_);
    watch_.reset();
    g_socket_close(socket_.get(), nullptr);
}

auto TcpConnection::ready(std::uint32_t events) -> void
{
    if (over_)
        return;
    const auto alive = alive_;
    if (!connected_) {
        if (!g_socket_check_connect_result(socket_.get(), nullptr))
            return end(StreamEnd::Reset);
        if ((events & EPOLLOUT) == 0)
            return;
        connected_ = true;
        if (handlers_.onConnected)
            handlers_.onConnected();
        if (!*alive || over_)
            return;
    }
    gone_ = gone_ || (events & (EPOLLERR | EPOLLHUP)) != 0;
    peerFinished_ = peerFinished_ || ((events & EPOLLRDHUP) != 0 && !gone_);
    // Reads go first: a read tells an end in order from a reset, as long as no write has taken the error.
    pump();
    if (*alive && !over_ && (events & EPOLLOUT) != 0)
        flush();
}

auto TcpConnection::pump() -> void
{
    const auto alive = alive_;
    auto taken = std::size_t(0);
    while (!over_ && (!paused_ || gone_) && connected_) {
        if (taken >= maxReadPerTurn)
            return pumpNextTurn();
        const auto before = input_.size();
        const auto more = readSome();
        if (!*alive)
            return;
        taken += input_.size() - before;
        if (input_.size() > before && handlers_.onData)
            handlers_.onData();
        if (!*alive || !more)
            return;
    }
}

auto TcpConnection::pumpNextTurn() -> void
{
    if (nextTurn_)
        return;
    const auto readOn = [](gpointer self) -> gboolean {
        auto& connection = *static_cast<TcpConnection*>(self);
        connection.nextTurn_ = 0;
        connection.pump();
        return G_SOURCE_REMOVE;
    };
    nextTurn_ = g_idle_add_full(G_PRIORITY_DEFAULT, readOn, this, nullptr);
}

auto TcpConnection::resumeReading() -> void
{
    if (!std::exchange(paused_, false))
        return;
    pump();
}

auto TcpConnection::readSome() -> bool
{
    static thread_local auto buffer = std::array<char, readSize>();
    auto* raw = static_cast<GError*>(nullptr);
    const auto count = g_socket_receive(socket_.get(), buffer.data(), buffer.size(), nullptr, &raw);
    if (count > 0) {
        input_.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
    const auto later = count < 0 && wouldBlock(raw);
    g_clear_error(&raw);
    if (!later)
        end(count == 0 && !lost_ ? StreamEnd::Finished : StreamEnd::Reset);
    return false;
}

auto TcpConnection::write(std::string_view bytes) -> void
{
    if (over_ || bytes.empty())
        return;
    output_.append(bytes);
    if (connected_)
        flush();
}

auto TcpConnection::flush() -> void
{
    const auto had = backlog() > 0;
    while (backlog() > 0) {
        const auto sent = sendSome(g_socket_get_fd(socket_.get()), std::string_view(output_).substr(outputAt_));
        if (sent.outcome == SendOutcome::WouldBlock)
            return;
        if (sent.outcome != SendOutcome::Sent)
            return dropOutput(sent.outcome);
        outputAt_ += sent.bytes;
    }
    output_.clear();
    outputAt_ = 0;
    if (finishing_)
        g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
    if (had && handlers_.onDrained)
        handlers_.onDrained();
}

/// A failed write is no end yet: an answer that the peer sent before it closed may still wait to be read, and the end
/// itself is told by the reading side.
auto TcpConnection::dropOutput(SendOutcome outcome) -> void
{
    output_.clear();
    outputAt_ = 0;
    // After an end in order nothing was to come any more, so that a time-out of unread bytes loses none.
    lost_ = lost_ || (outcome == SendOutcome::Lost && !peerFinished_);
}

auto TcpConnection::finishWriting() -> void
{
    if (std::exchange(finishing_, true) || over_)
        return;
    if (connected_ && backlog() == 0)
        g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

auto TcpConnection::reset() -> void
{
    if (std::exchange(over_, true))
        return;
    const auto abrupt = linger { .l_onoff = 1, .l_linger = 0 };
    setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &abrupt, sizeof abrupt);
    watch_.reset();
    g_socket_close(socket_.get(), nullptr);
}

auto TcpConnection::end(StreamEnd how) -> void
{
    if (std::exchange(over_, true))
        return;
    if (const auto callback = handlers_.onEnd)
        callback(how);
}

TcpListener::TcpListener(const std::string& address, std::uint16_t port, OnSocket onSocket)
    : socket_(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr))
    , onSocket_(std::move(onSocket))
{
    auto local = ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(address.c_str(), port));
    auto* raw = static_cast<GError*>(nullptr);
    if (socket_ && local) {
        g_socket_set_blocking(socket_.get(), FALSE);
        g_socket_set_listen_backlog(socket_.get(), acceptBacklog);
    }
    if (!socket_ || !local || !g_socket_bind(socket_.get(), local.get(), TRUE, &raw)
        || !g_socket_listen(socket_.get(), &raw)) {
        auto reason = std::string(raw ? raw->message : "not an IP address");
        g_clear_error(&raw);
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port) + ": " + reason);
    }
    auto bound = ObjectPtr<GSocketAddress>(g_socket_get_local_address(socket_.get(), nullptr));
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
    watch_ = std::make_unique<SocketWatch>(g_socket_get_fd(socket_.get()), [this](std::uint32_t) { acceptAll(); });
}

TcpListener::~TcpListener()
{
    watch_.reset();
    g_socket_close(socket_.get(), nullptr);
}

auto TcpListener::close() -> void
{
    watch_.reset();
    while (!closeIfDrained(socket_.get())) {
        // Without a free descriptor the connections that wait cannot be accepted.
        if (!acceptAll())
            return static_cast<void>(g_socket_close(socket_.get(), nullptr));
    }
}

auto TcpListener::acceptAll() -> bool
{
    auto any = false;
    while (auto* accepted = g_socket_accept(socket_.get(), nullptr, nullptr)) {
        any = true;
        onSocket_(ObjectPtr<GSocket>(accepted));
    }
    return any;
}

} // namespace eelgrass::wire
