#pragma once

#include <optional>
#include <string>

namespace eelgrass::ctl {

/// The whole of a file, or of standard input for `-`; empty when it cannot be read.
[[nodiscard]] auto readFile(const std::string& name) -> std::optional<std::string>;

} // namespace eelgrass::ctl
