#pragma once

#include <cstdint>
#include <string_view>

namespace eelgrass::decisions {

/// Hash of a name. Callers that compute scores often store it next to the name.
[[nodiscard]] auto nameHash(std::string_view name) noexcept -> std::uint64_t;

/// Score of a node for a key in rendezvous hashing. The node with the highest score is the key's first choice, and the
/// loss of a node moves only the keys assigned to it.
[[nodiscard]] constexpr auto rendezvousScore(std::uint64_t keyHash, std::uint64_t nodeHash) noexcept -> std::uint64_t
{
    // Finalizer of splitmix64: every bit of either hash affects every bit of the score.
    auto mixed = keyHash ^ (nodeHash * 0x9e3779b97f4a7c15U);
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace eelgrass::decisions
