#pragma once

#include "base/Endpoint.h"
#include "wire/TcpConnection.h"

#include <list>
#include <memory>
#include <string>

namespace eelgrass::tests {

/// A server in trouble on the test's loop: each request gets `opening`, and then `repeated` without end until its
/// caller closes. `ATTEMPT` in the opening stands for the attempt id of the request.
class EndlessServer {
public:
    struct Bytes {
        std::string opening;
        std::string repeated;
    };
    /// All that it sends, so that a caller under test cannot take the machine's memory.
    static constexpr auto maxBytes = std::size_t(400) << 20U;

    explicit EndlessServer(Bytes bytes, const std::string& address = "127.0.0.1");
    EndlessServer(const EndlessServer&) = delete;
    auto operator=(const EndlessServer&) -> EndlessServer& = delete;

    [[nodiscard]] auto endpoint() const -> Endpoint { return { address_, listener_.port() }; }
    /// Its entry in the platform's list, as a replica of the service `plain` or `engine`.
    [[nodiscard]] auto entry(const std::string& service) const -> std::string;
    /// Keeps the answers back until `release`.
    auto hold() -> void { held_ = true; }
    auto release() -> void;
    [[nodiscard]] auto requests() const noexcept -> std::size_t { return requests_; }
    /// Answers that have begun and that no caller has closed.
    [[nodiscard]] auto open() const -> std::size_t;
    /// Bytes that the kernel has taken for all callers.
    [[nodiscard]] auto sent() const -> std::size_t;

private:
    struct Peer {
        std::unique_ptr<wire::TcpConnection> connection;
        std::string attempt {};
        std::size_t written = 0;
        bool asked = false;
        bool ended = false;
        bool pouring = false;
    };
    auto accept(wire::ObjectPtr<GSocket> socket) -> void;
    auto received(Peer& peer) -> void;
    auto pour(Peer& peer) -> void;

    Bytes bytes_;
    std::string address_;
    std::list<Peer> peers_;
    std::size_t requests_ = 0;
    bool held_ = false;
    wire::TcpListener listener_;
};

} // namespace eelgrass::tests
