#pragma once

#include "wire/GlibStream.h"

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace eelgrass::wire {

/// The requests in flight at an HTTP server, by how far they have come.
struct RequestCounts {
    /// Connections with bytes that the server has not read.
    std::size_t unread = 0;
    /// Requests of which the server has read some bytes, but not all.
    std::size_t halfRead = 0;
    /// Requests whose answer is not decided, or not handed to the kernel to its last byte.
    std::size_t unanswered = 0;
    /// Connections without a request.
    std::size_t idle = 0;

    [[nodiscard]] auto none() const noexcept -> bool { return unread + halfRead + unanswered == 0; }
    /// As `unread=1 half_read=0 unanswered=2 idle=3`.
    [[nodiscard]] auto text() const -> std::string;
};

/// The connections of a libsoup server, and how far the request on each has come. A request counts from its first byte
/// in the kernel to the last byte of its answer.
///
/// The beginning of a next request that came in one read with the request before it is not seen until more of it comes.
class OpenRequests {
public:
    OpenRequests() = default;
    ~OpenRequests();
    OpenRequests(const OpenRequests&) = delete;
    auto operator=(const OpenRequests&) -> OpenRequests& = delete;

    /// Takes notice of a message when libsoup reports it as started: the first of a connection when it is accepted, the
    /// others when their head is read.
    auto add(SoupServerMessage* message) -> void;
    [[nodiscard]] auto count() const -> RequestCounts;
    /// Closes the connections without a request.
    auto closeIdle() const -> void;

private:
    enum class Progress { Idle, Unread, HalfRead, Unanswered };
    struct Connection {
        /// Null between two requests.
        ObjectPtr<SoupServerMessage> message;
        bool wholeRead = false;
        /// Bytes that the server had read when the last answer was written.
        std::uint64_t readBefore = 0;
    };

    static auto gotBody(SoupServerMessage* message, gpointer self) -> void;
    static auto finished(SoupServerMessage* message, gpointer self) -> void;
    static auto disconnected(SoupServerMessage* message, gpointer self) -> void;
    static auto released(gpointer self, GObject* socket) -> void;
    [[nodiscard]] static auto progress(GSocket* socket, const Connection& connection) -> Progress;
    [[nodiscard]] auto find(SoupServerMessage* message) -> Connection*;

    /// By socket, without a reference, which would keep the socket open; an entry is erased when its socket is
    /// destroyed.
    std::unordered_map<GSocket*, Connection> connections_;
};

} // namespace eelgrass::wire
