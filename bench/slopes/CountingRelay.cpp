#include "bench/slopes/CountingRelay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string>

namespace eelgrass::bench {

namespace {

auto loopback(std::uint16_t port) -> sockaddr_in
{
    auto address = sockaddr_in { .sin_family = AF_INET, .sin_port = htons(port) };
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto generic(sockaddr_in& address) -> sockaddr* { return reinterpret_cast<sockaddr*>(&address); }

auto noDelay(int socket) -> void
{
    auto on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

CountingRelay::CountingRelay(std::uint16_t towards)
    : towards_(towards)
    , listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr auto backlog = 128;
    auto address = loopback(0);
    auto size = socklen_t(sizeof(address));
    if (bind(listener_, generic(address), size) || listen(listener_, backlog))
        throw std::runtime_error("the relay cannot listen");
    getsockname(listener_, generic(address), &size);
    port_ = ntohs(address.sin_port);
    acceptor_ = std::thread([this] { accept(); });
}

CountingRelay::~CountingRelay()
{
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    {
        auto lock = std::lock_guard(mutex_);
        for (auto socket : open_)
            shutdown(socket, SHUT_RDWR);
    }
    for (auto& copier : copiers_)
        copier.join();
    for (auto socket : open_)
        close(socket);
    close(listener_);
}

auto CountingRelay::accept() -> void
{
    for (;;) {
        const auto near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0)
            return;
        const auto far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(towards_);
        if (connect(far, generic(address), sizeof(address))) {
            close(near);
            close(far);
            continue;
        }
        noDelay(near);
        noDelay(far);
        auto lock = std::lock_guard(mutex_);
        open_.insert(open_.end(), { near, far });
        copiers_.emplace_back([this, near, far] { copy(near, far); });
        copiers_.emplace_back([this, near, far] { copy(far, near); });
    }
}

auto CountingRelay::copy(int from, int to) -> void
{
    constexpr auto bufferSize = 65536;
    auto buffer = std::string(bufferSize, '\0');
    for (auto size = recv(from, buffer.data(), buffer.size(), 0); size > 0;
         size = recv(from, buffer.data(), buffer.size(), 0)) {
        bytes_ += static_cast<std::uint64_t>(size);
        for (auto sent = ssize_t(0); sent < size;) {
            const auto step = send(to, buffer.data() + sent, static_cast<std::size_t>(size - sent), MSG_NOSIGNAL);
            if (step <= 0)
                return;
            sent += step;
        }
    }
    shutdown(to, SHUT_WR);
}

} // namespace eelgrass::bench
