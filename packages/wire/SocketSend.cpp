#include "wire/SocketSend.h"

#include <sys/socket.h>

#include <cerrno>

namespace eelgrass::wire {

auto sendSome(int socket, std::string_view bytes) noexcept -> SendResult
{
    auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    while (count < 0 && errno == EINTR)
        count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count >= 0)
        return { .bytes = static_cast<std::size_t>(count) };
    if (errno == EAGAIN || errno == EWOULDBLOCK)
        return { .outcome = SendOutcome::WouldBlock };
    // EPIPE comes after an end in order, or once another call has been told of the loss.
    return { .outcome = errno == EPIPE ? SendOutcome::PeerClosed : SendOutcome::Lost, .error = errno };
}

} // namespace eelgrass::wire
