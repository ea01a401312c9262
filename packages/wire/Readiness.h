#pragma once

#include <glib.h>
#include <kj/async.h>

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace eelgrass::wire {

class Readiness;

/// Calls back on each report of the kernel about one socket; the registration ends with this object, which must go
/// before the socket is closed. The callback may destroy this and any other watch.
class SocketWatch {
public:
    /// `events` as in epoll(7).
    using Callback = std::function<void(std::uint32_t events)>;

    SocketWatch(int socket, Callback callback);
    ~SocketWatch();
    KJ_DISALLOW_COPY(SocketWatch);

private:
    int socket_;
    std::uint64_t id_;
};

/// Readiness of one socket, as the kernel reports it; register it before the first wait, destroy it before the close.
class Watch {
public:
    explicit Watch(int socket)
        : watch_(socket, [this](std::uint32_t events) { report(events); })
    {
    }
    ~Watch();
    KJ_DISALLOW_COPY(Watch);

    /// Kept at the next report that the socket may be readable. Try to read first: a report is made once only.
    [[nodiscard]] auto readable() -> kj::Promise<void> { return wait(reader_); }
    [[nodiscard]] auto writable() -> kj::Promise<void> { return wait(writer_); }
    [[nodiscard]] auto hungUp() -> kj::Promise<void>;

private:
    using Waiter = kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>;
    auto wait(Waiter& waiter) -> kj::Promise<void>;
    auto report(std::uint32_t events) -> void;

    bool over_ = false;
    Waiter reader_;
    Waiter writer_;
    Waiter hangup_;
    SocketWatch watch_;
};

/// All watched sockets of a thread behind one source of the GLib loop.
///
/// GLib polls every source in every turn, so that hundreds of idle sessions would be paid for with each token that
/// passes. The kernel's epoll set costs a turn the same however many sockets are in it.
class Readiness {
public:
    /// The set of the calling thread, on GLib's default context.
    static auto ofThread() -> Readiness&;
    ~Readiness();
    KJ_DISALLOW_COPY(Readiness);

private:
    friend class SocketWatch;
    Readiness();
    static auto dispatch(gint, GIOCondition, gpointer self) -> gboolean;

    int epoll_;
    guint source_;
    std::uint64_t lastId_ = 0;
    /// By number and not by address: a callback may end the watch of an event that was reported in the same batch.
    std::unordered_map<std::uint64_t, SocketWatch::Callback> callbacks_;
};

} // namespace eelgrass::wire
