#pragma once

#include "base/Endpoint.h"

#include <string>
#include <string_view>

namespace eelgrass::tests {

/// A server with a small receive window that does only what it is told, so that a long request stays unsent for as long
/// as it is not read. One connection at a time; no call waits.
class TightPeer {
public:
    TightPeer();
    ~TightPeer();
    TightPeer(const TightPeer&) = delete;
    auto operator=(const TightPeer&) -> TightPeer& = delete;

    [[nodiscard]] auto endpoint() const -> Endpoint { return { "127.0.0.1", port_ }; }
    /// Takes the next connection in place of the one before; false if none has come.
    auto accept() -> bool;
    /// Reads what has come, at most `bytes`.
    auto receive(std::size_t bytes) -> std::string;
    auto send(std::string_view bytes) -> void;
    /// Closes the writing side in order.
    auto finish() -> void;
    /// Closes the connection as a process does that ends: unread bytes make it a reset.
    auto close() -> void;

private:
    int listener_;
    int connection_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace eelgrass::tests
