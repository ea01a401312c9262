#include "wire/OpenRequests.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace eelgrass::wire {

namespace {

auto unreadBytes(int socket) -> std::uint64_t
{
    auto size = 0;
    return ioctl(socket, FIONREAD, &size) == 0 && size > 0 ? static_cast<std::uint64_t>(size) : 0;
}

/// What the server has read on this connection since it was accepted.
auto readBytes(int socket) -> std::uint64_t
{
    auto info = tcp_info();
    auto size = socklen_t(sizeof info);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return 0;
    return info.tcpi_bytes_received - std::min<std::uint64_t>(unreadBytes(socket), info.tcpi_bytes_received);
}

} // namespace

auto RequestCounts::text() const -> std::string
{
    return "unread=" + std::to_string(unread) + " half_read=" + std::to_string(halfRead)
        + " unanswered=" + std::to_string(unanswered) + " idle=" + std::to_string(idle);
}

OpenRequests::~OpenRequests()
{
    for (const auto& [socket, connection] : connections_) {
        g_object_weak_unref(G_OBJECT(socket), released, this);
        if (connection.message)
            g_signal_handlers_disconnect_by_data(connection.message.get(), this);
    }
}

auto OpenRequests::add(SoupServerMessage* message) -> void
{
    auto* socket = soup_server_message_get_socket(message);
    if (!socket)
        return;
    auto [place, added] = connections_.try_emplace(socket);
    auto& connection = place->second;
    if (added)
        g_object_weak_ref(G_OBJECT(socket), released, this);
    connection.message.reset(SOUP_SERVER_MESSAGE(g_object_ref(message)));
    connection.wholeRead = false;
    g_signal_connect(message, "got-body", G_CALLBACK(gotBody), this);
    g_signal_connect(message, "finished", G_CALLBACK(finished), this);
    g_signal_connect(message, "disconnected", G_CALLBACK(disconnected), this);
}

auto OpenRequests::find(SoupServerMessage* message) -> Connection*
{
    const auto found = connections_.find(soup_server_message_get_socket(message));
    return found != connections_.end() && found->second.message.get() == message ? &found->second : nullptr;
}

auto OpenRequests::gotBody(SoupServerMessage* message, gpointer self) -> void
{
    if (auto* connection = static_cast<OpenRequests*>(self)->find(message))
        connection->wholeRead = true;
}

auto OpenRequests::finished(SoupServerMessage* message, gpointer self) -> void
{
    g_signal_handlers_disconnect_by_data(message, self);
    if (auto* connection = static_cast<OpenRequests*>(self)->find(message)) {
        connection->message.reset();
        connection->readBefore = readBytes(g_socket_get_fd(soup_server_message_get_socket(message)));
    }
}

auto OpenRequests::disconnected(SoupServerMessage* message, gpointer self) -> void
{
    g_signal_handlers_disconnect_by_data(message, self);
    auto& connections = static_cast<OpenRequests*>(self)->connections_;
    // The message may not name its socket any more.
    const auto found = std::find_if(connections.begin(), connections.end(),
        [&](const auto& entry) { return entry.second.message.get() == message; });
    if (found == connections.end())
        return;
    g_object_weak_unref(G_OBJECT(found->first), released, self);
    connections.erase(found);
}

auto OpenRequests::released(gpointer self, GObject* socket) -> void
{
    auto& connections = static_cast<OpenRequests*>(self)->connections_;
    // Only the address is used: the socket is being destroyed.
    const auto found = connections.find(reinterpret_cast<GSocket*>(socket));
    if (found == connections.end())
        return;
    if (found->second.message)
        g_signal_handlers_disconnect_by_data(found->second.message.get(), self);
    connections.erase(found);
}

auto OpenRequests::progress(GSocket* object, const Connection& connection) -> Progress
{
    const auto socket = g_socket_get_fd(object);
    if (connection.message && connection.wholeRead)
        return Progress::Unanswered;
    if (unreadBytes(socket) > 0)
        return Progress::Unread;
    return readBytes(socket) > connection.readBefore ? Progress::HalfRead : Progress::Idle;
}

auto OpenRequests::count() const -> RequestCounts
{
    auto counts = RequestCounts();
    for (const auto& [socket, connection] : connections_) {
        if (g_socket_is_closed(socket))
            continue;
        switch (progress(socket, connection)) {
        case Progress::Idle:
            ++counts.idle;
            break;
        case Progress::Unread:
            ++counts.unread;
            break;
        case Progress::HalfRead:
            ++counts.halfRead;
            break;
        case Progress::Unanswered:
            ++counts.unanswered;
            break;
        }
    }
    return counts;
}

auto OpenRequests::closeIdle() const -> void
{
    for (const auto& [socket, connection] : connections_) {
        if (!g_socket_is_closed(socket) && progress(socket, connection) == Progress::Idle)
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

} // namespace eelgrass::wire
