#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_set>
#include <utility>

namespace eelgrass::decisions {

/// A prefix of a prompt that other prompts share. `id` identifies the prefix together with the adapter; `tokens` is its
/// length.
struct SharedPrefix {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// The prompt prefixes that a replica has processed, as far as the owner of this object knows.
///
/// Designed for prompts that start with a part which nearly all of them share, followed by one of many other parts.
/// Each of the two prefixes has its own id. If both parts had a common id, a replica that has processed only the first
/// part would count as having processed nothing, and its expected start would be overestimated.
///
/// The object remembers at least the last `capacity` prefixes and at most about twice as many.
///
/// ```cpp
/// auto unread = prefixes.back().tokens - known.tokens(prefixes);
/// known.remember(prefixes);
/// ```
class KnownPrefixes {
public:
    explicit KnownPrefixes(std::size_t capacity) noexcept
        : capacity_(capacity)
    {
    }

    /// Adds the prefixes of one prompt, ordered from the shortest to the longest.
    auto remember(std::span<const SharedPrefix> prefixes) -> void
    {
        for (const auto& prefix : prefixes)
            currentGeneration_.insert(prefix.id);
        if (currentGeneration_.size() > capacity_)
            previousGeneration_ = std::exchange(currentGeneration_, {});
    }
    /// Number of tokens in the longest known prefix. A prefix counts only if all shorter ones are known.
    [[nodiscard]] auto tokens(std::span<const SharedPrefix> prefixes) const -> std::uint64_t
    {
        auto known = std::uint64_t(0);
        for (const auto& prefix : prefixes) {
            if (!currentGeneration_.contains(prefix.id) && !previousGeneration_.contains(prefix.id))
                break;
            known = prefix.tokens;
        }
        return known;
    }
    auto clear() -> void
    {
        currentGeneration_.clear();
        previousGeneration_.clear();
    }

private:
    std::size_t capacity_;
    std::unordered_set<std::uint64_t> currentGeneration_;
    std::unordered_set<std::uint64_t> previousGeneration_;
};

} // namespace eelgrass::decisions
