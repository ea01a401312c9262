#include "tests/harness/SharedPort.h"

#include "wire/TcpConnection.h"

#include <memory>
#include <stdexcept>

namespace eelgrass::tests {

auto findSharedPort(const std::vector<std::string>& addresses) -> std::uint16_t
{
    constexpr auto mostTries = 100;
    for (auto count = 0; count < mostTries; ++count) {
        auto probes = std::vector<std::unique_ptr<wire::TcpListener>>();
        auto port = std::uint16_t(0);
        try {
            for (const auto& address : addresses) {
                probes.push_back(std::make_unique<wire::TcpListener>(address, port, [](auto) {}));
                port = probes.back()->port();
            }
            return port;
        } catch (const std::exception&) {
            continue;
        }
    }
    throw std::runtime_error("no port is free on all addresses");
}

} // namespace eelgrass::tests
