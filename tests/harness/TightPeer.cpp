#include "tests/harness/TightPeer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace eelgrass::tests {

namespace {

constexpr auto windowBytes = 4096;
// As on Ethernet: with the large segments of loopback the sender's kernel takes a whole request.
constexpr auto segmentBytes = 1460;
constexpr auto waitingConnections = 16;

auto loopback() -> sockaddr_in
{
    return { .sin_family = AF_INET, .sin_port = 0, .sin_addr = { htonl(INADDR_LOOPBACK) } };
}

} // namespace

TightPeer::TightPeer()
    : listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    auto address = loopback();
    auto size = socklen_t(sizeof address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
    setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    if (bind(listener_, generic, size) != 0 || listen(listener_, waitingConnections) != 0
        || getsockname(listener_, generic, &size) != 0)
        throw std::runtime_error("cannot listen");
    port_ = ntohs(address.sin_port);
}

TightPeer::~TightPeer()
{
    close();
    ::close(listener_);
}

auto TightPeer::accept() -> bool
{
    const auto next = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (next < 0)
        return false;
    close();
    connection_ = next;
    return true;
}

auto TightPeer::receive(std::size_t bytes) -> std::string
{
    auto text = std::string(bytes, '\0');
    const auto count = recv(connection_, text.data(), bytes, 0);
    text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return text;
}

auto TightPeer::send(std::string_view bytes) -> void
{
    if (::send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(bytes.size()))
        throw std::runtime_error("the kernel did not take all bytes");
}

auto TightPeer::finish() -> void { shutdown(connection_, SHUT_WR); }

auto TightPeer::close() -> void
{
    if (connection_ >= 0)
        ::close(connection_);
    connection_ = -1;
}

} // namespace eelgrass::tests
