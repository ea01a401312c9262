#pragma once

#include <glib.h>
#include <kj/async.h>

#include <cstdint>

namespace eelgrass::wire {

class Readiness;

/// Readiness of one socket, as the kernel reports it; register it before the first wait, destroy it before the close.
class Watch {
public:
    explicit Watch(int socket);
    ~Watch();
    KJ_DISALLOW_COPY(Watch);

    /// Kept at the next report that the socket may be readable. Try to read first: a report is made once only.
    [[nodiscard]] auto readable() -> kj::Promise<void> { return wait(reader_); }
    [[nodiscard]] auto writable() -> kj::Promise<void> { return wait(writer_); }
    [[nodiscard]] auto hungUp() -> kj::Promise<void>;

private:
    friend class Readiness;
    using Waiter = kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>;
    auto wait(Waiter& waiter) -> kj::Promise<void>;
    auto report(std::uint32_t events) -> void;

    int socket_;
    bool over_ = false;
    Waiter reader_;
    Waiter writer_;
    Waiter hangup_;
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
    friend class Watch;
    Readiness();
    static auto dispatch(gint, GIOCondition, gpointer self) -> gboolean;

    int epoll_;
    guint source_;
};

} // namespace eelgrass::wire
