#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace eelgrass {

/// Whether objects and arrays in the JSON text are nested at most this deep. Text that is no JSON may pass.
[[nodiscard]] auto isNestingWithin(std::string_view text, int maxDepth) noexcept -> bool;

/// Parses JSON that another process has written; the result is discarded if the text is no JSON, or is nested so deeply
/// that a copy of it, which recurses by its depth, could exhaust the stack.
[[nodiscard]] auto parseJson(std::string_view text) -> nlohmann::json;

/// The nesting that `parseJson` accepts; documents that processes exchange have a few levels.
inline constexpr auto maxJsonDepth = 64;

} // namespace eelgrass
