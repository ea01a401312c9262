#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_set>
#include <utility>

namespace eelgrass::decisions {

/// The parts of a prompt that others share, up to one of them: `id` names them all together with the adapter, `tokens`
/// counts them.
struct SharedPrefix {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

/// What of prompts a replica has read, as far as is known here.
///
/// Load made for: prompts that begin with a part which nearly all share, and go on with one of many. With one name for
/// both, a replica that has read the first counts as having read nothing, and looks later than it is.
/// It remembers the last `capacity` prefixes at least, and twice as many at the most.
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

    /// `prefixes` from the shortest to the longest.
    auto remember(std::span<const SharedPrefix> prefixes) -> void
    {
        for (const auto& prefix : prefixes)
            recent_.insert(prefix.id);
        if (recent_.size() > capacity_)
            earlier_ = std::exchange(recent_, {});
    }
    /// How many of their tokens have been read: a part is of use where all before it are.
    [[nodiscard]] auto tokens(std::span<const SharedPrefix> prefixes) const -> std::uint64_t
    {
        auto read = std::uint64_t(0);
        for (const auto& prefix : prefixes) {
            if (!recent_.contains(prefix.id) && !earlier_.contains(prefix.id))
                break;
            read = prefix.tokens;
        }
        return read;
    }
    auto clear() -> void
    {
        recent_.clear();
        earlier_.clear();
    }

private:
    std::size_t capacity_;
    std::unordered_set<std::uint64_t> recent_;
    std::unordered_set<std::uint64_t> earlier_;
};

} // namespace eelgrass::decisions
