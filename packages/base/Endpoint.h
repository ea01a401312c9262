#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrass {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    [[nodiscard]] auto str() const -> std::string { return address + ":" + std::to_string(port); }
    friend auto operator<=>(const Endpoint&, const Endpoint&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// Reads `address:port`; empty for anything else.
[[nodiscard]] auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>;

} // namespace eelgrass
