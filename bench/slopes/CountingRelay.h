#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace eelgrass::bench {

/// Passes TCP connections on to one port of loopback and counts the bytes of both directions (payload, no headers).
/// Two threads a connection: for tens of connections, not for hundreds.
class CountingRelay {
public:
    explicit CountingRelay(std::uint16_t towards);
    ~CountingRelay();
    CountingRelay(const CountingRelay&) = delete;
    auto operator=(const CountingRelay&) -> CountingRelay& = delete;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return port_; }
    [[nodiscard]] auto bytes() const noexcept -> std::uint64_t { return bytes_; }

private:
    auto accept() -> void;
    auto copy(int from, int to) -> void;

    std::uint16_t towards_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<std::uint64_t> bytes_ = 0;
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::thread> copiers_;
    std::thread acceptor_;
};

} // namespace eelgrass::bench
