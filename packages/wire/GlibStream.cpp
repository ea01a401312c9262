#include "wire/GlibStream.h"

#include "wire/SocketSend.h"

#include <kj/debug.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <stdexcept>

namespace eelgrass::wire {

namespace {

using ErrorPtr = std::unique_ptr<GError, decltype(&g_error_free)>;

auto own(GError* error) -> ErrorPtr { return { error, g_error_free }; }

auto disconnected(const std::string& peer, const char* reason) -> kj::Exception
{
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(peer.c_str(), ": ", reason) };
}

auto describe(GSocketAddress* address) -> std::string
{
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address))
        return "local";
    auto* inet = G_INET_SOCKET_ADDRESS(address);
    auto* text = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    auto name = std::string(text) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
    g_free(text);
    return name;
}

auto ipAddress(const std::string& address, std::uint16_t port) -> ObjectPtr<GSocketAddress>
{
    return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(address.c_str(), port));
}

} // namespace

GlibStream::GlibStream(ObjectPtr<GSocket> socket)
    : socket_(std::move(socket))
{
    g_socket_set_blocking(socket_.get(), FALSE);
    // Small messages must not wait for one another: a token held back by Nagle's algorithm is late at its caller.
    g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    auto remote = ObjectPtr<GSocketAddress>(g_socket_get_remote_address(socket_.get(), nullptr));
    peer_ = describe(remote.get());
    watch_ = std::make_unique<Watch>(g_socket_get_fd(socket_.get()));
}

GlibStream::~GlibStream() noexcept(false) { close(); }

auto GlibStream::close() -> void
{
    watch_.reset();
    g_socket_close(socket_.get(), nullptr);
}

auto GlibStream::ready(GIOCondition condition) -> kj::Promise<void>
{
    if (!watch_)
        return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str(peer_.c_str(), ": closed"));
    if (condition == G_IO_IN)
        return watch_->readable();
    return condition == G_IO_OUT ? watch_->writable() : watch_->hungUp();
}

auto GlibStream::tryRead(void* buffer, size_t minBytes, size_t maxBytes) -> kj::Promise<size_t>
{
    return readSome(static_cast<char*>(buffer), minBytes, maxBytes, 0);
}

auto GlibStream::readSome(char* buffer, size_t minBytes, size_t maxBytes, size_t got) -> kj::Promise<size_t>
{
    auto* raw = static_cast<GError*>(nullptr);
    auto count = g_socket_receive(socket_.get(), buffer, maxBytes, nullptr, &raw);
    if (count < 0) {
        auto error = own(raw);
        if (!g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            return disconnected(peer_, error->message);
        return ready(G_IO_IN).then([=, this] { return readSome(buffer, minBytes, maxBytes, got); });
    }
    const auto size = static_cast<size_t>(count);
    if (size == 0 && lost_)
        return disconnected(peer_, "the connection was lost");
    heardAt_ = now();
    if (size == 0 || size >= minBytes)
        return got + size;
    return readSome(buffer + size, minBytes - size, maxBytes - size, got + size);
}

auto GlibStream::write(const void* buffer, size_t size) -> kj::Promise<void>
{
    const auto* data = static_cast<const char*>(buffer);
    const auto result = sendSome(g_socket_get_fd(socket_.get()), { data, size });
    if (result.outcome == SendOutcome::WouldBlock)
        return ready(G_IO_OUT).then([=, this] { return write(data, size); });
    lost_ = lost_ || result.outcome == SendOutcome::Lost;
    if (result.outcome != SendOutcome::Sent)
        return disconnected(peer_, g_strerror(result.error));
    const auto sent = result.bytes;
    if (sent == size)
        return kj::READY_NOW;
    return write(data + sent, size - sent);
}

auto GlibStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void>
{
    if (pieces.size() == 0)
        return kj::READY_NOW;
    auto first = pieces[0];
    return write(first.begin(), first.size()).then([this, pieces] { return write(pieces.slice(1, pieces.size())); });
}

auto GlibStream::whenWriteDisconnected() -> kj::Promise<void> { return ready(G_IO_HUP); }

auto GlibStream::shutdownWrite() -> void { g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr); }

auto connectTo(const std::string& address, std::uint16_t port) -> kj::Promise<kj::Own<GlibStream>>
{
    using Fulfiller = kj::Own<kj::PromiseFulfiller<kj::Own<GlibStream>>>;
    struct Pending {
        Fulfiller fulfiller;
        std::string peer;
    };
    auto target = ipAddress(address, port);
    if (!target)
        return KJ_EXCEPTION(FAILED, "not an IP address", address.c_str());
    auto pair = kj::newPromiseAndFulfiller<kj::Own<GlibStream>>();
    auto client = ObjectPtr<GSocketClient>(g_socket_client_new());
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    auto cancellable = ObjectPtr<GCancellable>(g_cancellable_new());
    auto done = [](GObject* source, GAsyncResult* result, gpointer data) {
        auto pending = std::unique_ptr<Pending>(static_cast<Pending*>(data));
        auto* raw = static_cast<GError*>(nullptr);
        auto connection
            = ObjectPtr<GSocketConnection>(g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &raw));
        if (!connection) {
            pending->fulfiller->reject(disconnected(pending->peer, own(raw)->message));
            return;
        }
        auto* socket = g_socket_connection_get_socket(connection.get());
        pending->fulfiller->fulfill(kj::heap<GlibStream>(ObjectPtr<GSocket>(G_SOCKET(g_object_ref(socket)))));
    };
    auto pending = std::make_unique<Pending>(Pending { kj::mv(pair.fulfiller), address + ":" + std::to_string(port) });
    g_socket_client_connect_async(
        client.get(), G_SOCKET_CONNECTABLE(target.get()), cancellable.get(), done, pending.release());
    return pair.promise.attach(kj::defer([held = std::move(cancellable)] { g_cancellable_cancel(held.get()); }));
}

Listener::Listener(const std::string& address, std::uint16_t port, OnStream onStream)
    : service_(g_socket_service_new())
    , onStream_(std::move(onStream))
{
    // With GLib's default of 10, connections are dropped when a whole zone connects at once, and retried seconds later.
    constexpr auto acceptBacklog = 1024;
    g_socket_listener_set_backlog(G_SOCKET_LISTENER(service_.get()), acceptBacklog);
    auto local = ipAddress(address, port);
    auto* raw = static_cast<GError*>(nullptr);
    auto* effective = static_cast<GSocketAddress*>(nullptr);
    auto listening = local
        && g_socket_listener_add_address(G_SOCKET_LISTENER(service_.get()), local.get(), G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, nullptr, &effective, &raw);
    if (!listening) {
        auto error = own(raw);
        throw std::runtime_error("cannot listen on " + address + ":" + std::to_string(port) + ": "
            + (error ? error->message : "not an IP address"));
    }
    auto held = ObjectPtr<GSocketAddress>(effective);
    port_ = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(effective));
    g_signal_connect(service_.get(), "incoming", G_CALLBACK(incoming), this);
    g_socket_service_start(service_.get());
}

Listener::~Listener() { close(); }

auto Listener::close() -> void
{
    g_signal_handlers_disconnect_by_data(service_.get(), this);
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
}

auto Listener::incoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self) -> gboolean
{
    auto* socket = g_socket_connection_get_socket(connection);
    static_cast<Listener*>(self)->onStream_(kj::heap<GlibStream>(ObjectPtr<GSocket>(G_SOCKET(g_object_ref(socket)))));
    return TRUE;
}

} // namespace eelgrass::wire
