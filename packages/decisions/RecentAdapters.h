#pragma once

#include "base/Ids.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace eelgrass::decisions {

/// Adapters that a replica held not long ago, so that it has their weights at hand: they come back in some 30 ms and
/// take nothing from the weight store.
///
/// ```cpp
/// lately.note(resident, RecentAdapters::perSlot * slots);
/// if (lately.contains(adapter)) ...
/// ```
class RecentAdapters {
public:
    /// Adapters whose weights a replica keeps at hand, for each slot that it has. Measured by how long loads took that
    /// came back after others: within 6 times the slots nine in ten took 40 ms, beyond it all took 250 ms and more, on
    /// engines of 7, 12 and 14 slots. Half as many remembered cost one fetch in fourteen at the worst load.
    static constexpr auto perSlot = std::size_t(6);

    /// What the replica holds now; the last `most` are remembered.
    template <typename Versions> auto note(const std::map<AdapterId, Versions>& held, std::size_t most) -> void
    {
        ++clock_;
        for (const auto& [adapter, version] : held)
            lastHeld_[adapter] = clock_;
        while (lastHeld_.size() > most)
            lastHeld_.erase(std::min_element(lastHeld_.begin(), lastHeld_.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    [[nodiscard]] auto contains(const AdapterId& adapter) const -> bool { return lastHeld_.contains(adapter); }
    auto clear() -> void { lastHeld_.clear(); }

private:
    std::map<AdapterId, std::uint64_t> lastHeld_;
    std::uint64_t clock_ = 0;
};

} // namespace eelgrass::decisions
