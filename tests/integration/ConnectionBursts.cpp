// Many clients connect to one listener at the same time.
#include "wire/GlibStream.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

using namespace eelgrass;

namespace {

/// Starts a non-blocking connection to the loopback address and returns its socket.
auto beginConnection(std::uint16_t port) -> int
{
    const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto begun = ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    BOOST_REQUIRE((begun == 0 || errno == EINPROGRESS));
    return socket;
}

auto waitUntilConnected(int socket) -> bool
{
    auto entry = pollfd { socket, POLLOUT, 0 };
    constexpr auto timeoutMs = 200;
    return ::poll(&entry, 1, timeoutMs) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

// Connections beyond the accept backlog are dropped and retried only seconds later, which delays their requests.
BOOST_AUTO_TEST_CASE(listener_queues_simultaneous_connections)
{
    constexpr auto connections = 300;
    auto loop = wire::MainLoop();
    auto accepted = 0;
    auto streams = std::vector<kj::Own<wire::GlibStream>>();
    auto listener = wire::Listener("127.0.0.1", 0, [&](kj::Own<wire::GlibStream> stream) {
        ++accepted;
        streams.push_back(kj::mv(stream));
    });
    auto sockets = std::vector<int>();
    for (auto count = 0; count < connections; ++count)
        sockets.push_back(beginConnection(listener.port()));
    for (const auto socket : sockets)
        BOOST_REQUIRE(waitUntilConnected(socket));
    constexpr auto maxSteps = 1000;
    for (auto step = 0; step < maxSteps && accepted < connections; ++step)
        loop.wait(loop.sleep(5ms));
    BOOST_TEST(accepted == connections);
    for (const auto socket : sockets)
        ::close(socket);
}
