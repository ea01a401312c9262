#pragma once

#include "wire/GlibStream.h"

#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace eelgrass::tests {

/// Two ends of one connection within the process.
struct StreamPair {
    StreamPair()
    {
        auto ends = std::array<int, 2>();
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()))
            throw std::runtime_error("no socket pair");
        near = over(ends[0]);
        far = over(ends[1]);
    }

    kj::Own<wire::GlibStream> near;
    kj::Own<wire::GlibStream> far;

private:
    static auto over(int fd) -> kj::Own<wire::GlibStream>
    {
        return kj::heap<wire::GlibStream>(wire::ObjectPtr<GSocket>(g_socket_new_from_fd(fd, nullptr)));
    }
};

/// How a promise fails; throws when it is kept.
template <typename Loop> auto failureOf(Loop& loop, kj::Promise<void> promise) -> kj::Exception
{
    auto failed = kj::Maybe<kj::Exception>();
    loop.wait(promise.catch_([&](kj::Exception&& reason) { failed = kj::mv(reason); }));
    KJ_IF_MAYBE (reason, failed)
        return kj::mv(*reason);
    throw std::runtime_error("the promise was kept");
}

template <typename Loop, typename T> auto failureOf(Loop& loop, kj::Promise<T> promise) -> kj::Exception
{
    return failureOf(loop, promise.ignoreResult());
}

} // namespace eelgrass::tests
