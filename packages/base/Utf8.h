#pragma once

#include <glib.h>

#include <string_view>

namespace eelgrass {

/// Whether the bytes are text that can be stored as a JSON string.
[[nodiscard]] inline auto isUtf8(std::string_view bytes) noexcept -> bool
{
    return g_utf8_validate_len(bytes.data(), bytes.size(), nullptr) == TRUE;
}

} // namespace eelgrass
