#pragma once

#include "base/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace eelgrass::decisions {

/// The adapters that a replica held recently and whose weights it still has in host memory. Such an adapter loads again
/// in about 30 ms without using the weight store.
///
/// ```cpp
/// recent.note(resident, RecentAdapters::perSlot * slots);
/// if (recent.contains(adapter)) ...
/// ```
class RecentAdapters {
public:
    /// Number of adapters per slot whose weights a replica keeps in host memory. On engines with 7, 12 and 14 slots,
    /// nine in ten loads took 40 ms if fewer than 6 times as many other adapters as there are slots had been loaded
    /// since the adapter's previous load; after more, all loads took 250 ms or longer. Remembering half as many caused
    /// one unnecessary fetch in fourteen at the highest load.
    static constexpr auto perSlot = std::size_t(6);

    /// Records the adapters that the replica holds now, and keeps the `limit` adapters held last.
    template <typename Versions> auto note(const std::map<AdapterId, Versions>& held, std::size_t limit) -> void
    {
        ++generation_;
        for (const auto& [adapter, version] : held)
            lastHeld_[adapter] = generation_;
        while (lastHeld_.size() > limit)
            lastHeld_.erase(std::min_element(lastHeld_.begin(), lastHeld_.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    [[nodiscard]] auto contains(const AdapterId& adapter) const -> bool { return lastHeld_.contains(adapter); }
    auto clear() -> void { lastHeld_.clear(); }

private:
    std::map<AdapterId, std::uint64_t> lastHeld_;
    std::uint64_t generation_ = 0;
};

} // namespace eelgrass::decisions
