#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrass::tests {

/// A port that is free on all of these addresses. One that the kernel chooses for the first address may be taken on
/// another, by an ephemeral port of a stand-in or of another test.
[[nodiscard]] auto findSharedPort(const std::vector<std::string>& addresses) -> std::uint16_t;

} // namespace eelgrass::tests
