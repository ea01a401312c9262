// A proxy whose open connections can be made silent for good.
#pragma once

#include "World.h"

#include <linux/filter.h>

namespace review {

/// Passes connections on. Those that are open can be made silent for good: nothing comes through any more and nothing
/// is reset, while new ones work.
class Proxy {
public:
    Proxy(const char* address, std::uint16_t port, std::uint16_t upstream)
        : address_(address)
        , upstream_(upstream)
        , listener_(listenOn(port, 0, 0, address))
    {
        std::thread([this] {
            for (;;) {
                auto client = acceptFrom(listener_);
                if (!client.valid())
                    return;
                auto server = connectTo(upstream_, address_.c_str());
                if (!server.valid())
                    continue;
                auto link = std::make_shared<Link>();
                link->client = std::move(client);
                link->server = std::move(server);
                {
                    const auto lock = std::lock_guard(mutex_);
                    links_.push_back(link);
                }
                std::thread([link] { pass(link, link->client.fd(), link->server.fd()); }).detach();
                std::thread([link] { pass(link, link->server.fd(), link->client.fd()); }).detach();
            }
        }).detach();
    }
    /// Returns how many connections were open. Their sockets take no packet any more, so that nothing is acknowledged:
    /// a keep-alive or a limit on unacknowledged bytes notices it, and nothing else does.
    std::size_t silence()
    {
        const auto lock = std::lock_guard(mutex_);
        auto count = std::size_t(0);
        for (const auto& link : links_) {
            if (link->ended || link->silent.exchange(true))
                continue;
            ++count;
            dropPackets(link->client.fd());
            dropPackets(link->server.fd());
        }
        return count;
    }
    /// Connections that were made after the last call of `silence`.
    std::size_t newConnections()
    {
        const auto lock = std::lock_guard(mutex_);
        return static_cast<std::size_t>(
            std::count_if(links_.begin(), links_.end(), [](const auto& link) { return !link->silent; }));
    }

private:
    struct Link {
        Socket client;
        Socket server;
        std::atomic<bool> silent { false };
        std::atomic<bool> ended { false };
    };
    static void dropPackets(int fd)
    {
        auto none = sock_filter(BPF_STMT(BPF_RET | BPF_K, 0));
        const auto program = sock_fprog { 1, &none };
        if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
            throw std::runtime_error("cannot silence a connection");
    }
    static void pass(const std::shared_ptr<Link>& link, int from, int to)
    {
        char buffer[16384];
        for (;;) {
            const auto count = recv(from, buffer, sizeof buffer, 0);
            // What is silent stays so: the end of one side does not reach the other.
            while (link->silent)
                std::this_thread::sleep_for(std::chrono::hours(1));
            if (count <= 0 || !sendAll(to, std::string(buffer, static_cast<std::size_t>(count))))
                break;
        }
        link->ended = true;
        shutdown(from, SHUT_RDWR);
        shutdown(to, SHUT_RDWR);
    }

    std::string address_;
    std::uint16_t upstream_;
    Socket listener_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Link>> links_;
};

} // namespace review
