#pragma once

#include <string>
#include <string_view>

namespace eelgrass {

/// SHA-256 in hexadecimal; API keys are kept only as this.
[[nodiscard]] auto sha256Hex(std::string_view data) -> std::string;

/// HMAC-SHA-256 in hexadecimal.
[[nodiscard]] auto hmacHex(std::string_view secret, std::string_view data) -> std::string;

/// Compares in a time that does not depend on where the texts differ.
[[nodiscard]] auto equalConstantTime(std::string_view, std::string_view) noexcept -> bool;

/// `bytes` random bytes in hexadecimal, from the kernel's generator.
[[nodiscard]] auto randomHex(std::size_t bytes) -> std::string;

} // namespace eelgrass
