#pragma once

#include "base/Clock.h"
#include "wire/Readiness.h"

#include <gio/gio.h>
#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <string>

namespace eelgrass::wire {

/// Releases one reference to a GObject.
struct ObjectDeleter {
    auto operator()(gpointer object) const noexcept -> void { g_object_unref(object); }
};
template <typename T> using ObjectPtr = std::unique_ptr<T, ObjectDeleter>;

/// A KJ byte stream over a non-blocking GSocket, driven by the GLib loop.
///
/// A read that is dropped leaves its bytes in the socket; the end of a peer's writes reads as the end of the stream;
/// a reset rejects with a disconnection, also if a write has been told of it before the read.
class GlibStream final : public kj::AsyncIoStream {
public:
    explicit GlibStream(ObjectPtr<GSocket> socket);
    ~GlibStream() noexcept(false);
    KJ_DISALLOW_COPY(GlibStream);

    auto tryRead(void* buffer, size_t minBytes, size_t maxBytes) -> kj::Promise<size_t> override;
    auto write(const void* buffer, size_t size) -> kj::Promise<void> override;
    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) -> kj::Promise<void> override;
    auto whenWriteDisconnected() -> kj::Promise<void> override;
    auto shutdownWrite() -> void override;

    /// Closes both ways at once; reads and writes under way are rejected.
    auto close() -> void;
    /// `address:port` of the other end.
    [[nodiscard]] auto peer() const -> const std::string& { return peer_; }
    /// When bytes last came from the other end; the moment of opening before any did.
    [[nodiscard]] auto heardAt() const noexcept -> Moment { return heardAt_; }

private:
    auto readSome(char* buffer, size_t minBytes, size_t maxBytes, size_t got) -> kj::Promise<size_t>;
    auto ready(GIOCondition condition) -> kj::Promise<void>;

    ObjectPtr<GSocket> socket_;
    std::unique_ptr<Watch> watch_;
    std::string peer_;
    Moment heardAt_ = now();
    /// A write was told that the connection is lost; a read would see an end in order.
    bool lost_ = false;
};

/// Connects to an IP address; rejects with the peer named.
auto connectTo(const std::string& address, std::uint16_t port) -> kj::Promise<kj::Own<GlibStream>>;

/// Accepts connections on one address; port 0 lets the kernel choose.
class Listener {
public:
    using OnStream = std::function<void(kj::Own<GlibStream>)>;

    Listener(const std::string& address, std::uint16_t port, OnStream onStream);
    ~Listener();
    Listener(const Listener&) = delete;
    auto operator=(const Listener&) -> Listener& = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return port_; }
    auto close() -> void;

private:
    static auto incoming(GSocketService*, GSocketConnection* connection, GObject*, gpointer self) -> gboolean;

    ObjectPtr<GSocketService> service_;
    OnStream onStream_;
    std::uint16_t port_ = 0;
};

} // namespace eelgrass::wire
