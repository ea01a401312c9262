#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace eelgrass {

/// Hash of a text, the same at every process; `seed` may be the hash of what stands before it.
[[nodiscard]] inline auto hashText(std::uint64_t seed, std::string_view text) noexcept -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace eelgrass
