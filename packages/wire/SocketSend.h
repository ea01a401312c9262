#pragma once

#include <cstddef>
#include <string_view>

namespace eelgrass::wire {

/// How a write on a non-blocking socket went.
enum class SendOutcome {
    Sent,
    /// The kernel takes no more bytes now.
    WouldBlock,
    /// The peer takes nothing more; what it sent before can still be read, up to its end.
    PeerClosed,
    /// The connection was reset or timed out. The kernel tells that once: a read after it sees an end in order.
    Lost,
};

struct SendResult {
    SendOutcome outcome = SendOutcome::Sent;
    /// Bytes that the kernel has taken.
    std::size_t bytes = 0;
    /// The error number of the system; 0 unless the connection is at its end.
    int error = 0;
};

/// Writes what the kernel takes at once. Not through GLib, which has one error code for a reset and for a pipe that is
/// closed.
[[nodiscard]] auto sendSome(int socket, std::string_view bytes) noexcept -> SendResult;

} // namespace eelgrass::wire
