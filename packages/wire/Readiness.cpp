#include "wire/Readiness.h"

#include <glib-unix.h>
#include <kj/debug.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace eelgrass::wire {

namespace {

constexpr auto eventsPerCall = std::size_t(64);

auto keep(kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>& waiter) -> void
{
    KJ_IF_MAYBE (fulfiller, waiter)
        (*fulfiller)->fulfill();
    waiter = nullptr;
}

// A waiter that is merely dropped looks like a fault of the program; a closed connection is what its peer must see.
auto breakOff(kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>>& waiter) -> void
{
    KJ_IF_MAYBE (fulfiller, waiter)
        (*fulfiller)->reject(KJ_EXCEPTION(DISCONNECTED, "the connection was closed"));
}

} // namespace

SocketWatch::SocketWatch(int socket, Callback callback)
    : socket_(socket)
    , id_(++Readiness::ofThread().lastId_)
{
    // Edge-triggered: registered once, no call to the kernel for each wait. Safe since a socket is always tried before
    // it is waited for, so that a report that nobody waited for is never missed.
    auto event = epoll_event { .events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET, .data = { .u64 = id_ } };
    KJ_SYSCALL(epoll_ctl(Readiness::ofThread().epoll_, EPOLL_CTL_ADD, socket_, &event));
    Readiness::ofThread().callbacks_.emplace(id_, std::move(callback));
}

SocketWatch::~SocketWatch()
{
    epoll_ctl(Readiness::ofThread().epoll_, EPOLL_CTL_DEL, socket_, nullptr);
    Readiness::ofThread().callbacks_.erase(id_);
}

Watch::~Watch()
{
    for (auto* waiter : { &reader_, &writer_, &hangup_ })
        breakOff(*waiter);
}

auto Watch::wait(Waiter& waiter) -> kj::Promise<void>
{
    // After the end or an error no further report comes; the socket itself says which it was.
    if (over_)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiter = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
}

auto Watch::hungUp() -> kj::Promise<void> { return wait(hangup_); }

auto Watch::report(std::uint32_t events) -> void
{
    over_ = over_ || (events & (EPOLLHUP | EPOLLERR));
    if (over_ || (events & (EPOLLIN | EPOLLRDHUP)))
        keep(reader_);
    if (over_ || (events & EPOLLOUT))
        keep(writer_);
    if (over_)
        keep(hangup_);
}

auto Readiness::ofThread() -> Readiness&
{
    static thread_local auto set = Readiness();
    return set;
}

Readiness::Readiness()
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
    , source_(g_unix_fd_add(epoll_, G_IO_IN, dispatch, this))
{
    KJ_REQUIRE(epoll_ >= 0, "no epoll set");
}

Readiness::~Readiness()
{
    g_source_remove(source_);
    close(epoll_);
}

auto Readiness::dispatch(gint, GIOCondition, gpointer self) -> gboolean
{
    auto events = std::array<epoll_event, eventsPerCall>();
    auto& readiness = *static_cast<Readiness*>(self);
    // What does not fit into one call is reported in the next turn.
    const auto count = epoll_wait(readiness.epoll_, events.data(), static_cast<int>(events.size()), 0);
    for (auto index = 0; index < count; ++index) {
        const auto& event = events.at(static_cast<std::size_t>(index));
        const auto found = readiness.callbacks_.find(event.data.u64);
        if (found == readiness.callbacks_.end())
            continue;
        const auto callback = found->second;
        callback(event.events);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace eelgrass::wire
