#include "wire/ListeningSocket.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>

namespace eelgrass::wire {

namespace {

constexpr auto tcpFlagsOffset = 13U;
constexpr auto tcpSynFlag = 0x02U;

/// Makes the kernel drop the first packet of new connections. A peer sends that packet again after a second, and is
/// then refused.
auto ignoreNewConnections(int socket) -> void
{
    // A failure leaves the microseconds between the last look and the close, in which a connection can be reset.
    auto dropSyn = std::array { sock_filter(BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcpFlagsOffset)),
        sock_filter(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, tcpSynFlag, 0, 1)), sock_filter(BPF_STMT(BPF_RET | BPF_K, 0)),
        sock_filter(BPF_STMT(BPF_RET | BPF_K, 0xffffffffU)) };
    const auto program = sock_fprog { .len = static_cast<unsigned short>(dropSyn.size()), .filter = dropSyn.data() };
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

auto takeNewConnections(int socket) -> void
{
    const auto unused = 0;
    setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
}

auto hasUnaccepted(GSocket* listener) -> bool { return (g_socket_condition_check(listener, G_IO_IN) & G_IO_IN) != 0; }

} // namespace

auto closeIfDrained(GSocket* listener) -> bool
{
    if (g_socket_is_closed(listener))
        return true;
    if (hasUnaccepted(listener))
        return false;
    // The process may be suspended between the look and the close, while connections go on to arrive.
    const auto socket = g_socket_get_fd(listener);
    ignoreNewConnections(socket);
    if (hasUnaccepted(listener)) {
        takeNewConnections(socket);
        return false;
    }
    g_socket_close(listener, nullptr);
    return true;
}

} // namespace eelgrass::wire
