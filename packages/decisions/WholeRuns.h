#pragma once

#include "decisions/CrashReport.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <vector>

namespace eelgrass::decisions {

/// The latest run of each thing that requests share which crashed nothing.
///
/// Every request that is answered is noted, also while no replica crashes: what ran whole shortly before the first
/// crash was sound. Bounded, and cheap where each request brings parts that were never seen.
///
/// ```cpp
/// runs.note(part, answerBegunAt);
/// runs.makeRoom([&](SharedHash held) { return isReported(held); });
/// ```
class WholeRuns {
public:
    static constexpr auto capacity = std::size_t(4096);
    /// What nobody has told and no report needs is kept for this long.
    static constexpr auto retention = Duration(std::chrono::minutes(2));

    struct Known {
        Moment begunAt {};
        /// Another process has told of it.
        bool told = false;
    };

    auto note(SharedHash held, Moment begunAt, bool told = false) -> void
    {
        auto& known = known_[held];
        known.begunAt = std::max(known.begunAt, begunAt);
        known.told = known.told || told;
    }
    /// Null if none is known.
    [[nodiscard]] auto find(SharedHash held) const -> const Known*
    {
        const auto found = known_.find(held);
        return found == known_.end() ? nullptr : &found->second;
    }
    [[nodiscard]] auto begin() const noexcept { return known_.begin(); }
    [[nodiscard]] auto end() const noexcept { return known_.end(); }

    /// Drops a quarter if there are too many: first what is not reported, since the cleared crashes of what is would
    /// count again, and of that the oldest.
    template <typename IsReported> auto makeRoom(IsReported isReported) -> void
    {
        if (known_.size() <= capacity)
            return;
        auto ranks = std::vector<std::tuple<bool, Moment, SharedHash>>();
        ranks.reserve(known_.size());
        for (const auto& [held, known] : known_)
            ranks.emplace_back(isReported(held), known.begunAt, held);
        const auto kept = ranks.begin() + static_cast<std::ptrdiff_t>(ranks.size() / 4);
        std::nth_element(ranks.begin(), kept, ranks.end());
        for (auto dropped = ranks.begin(); dropped != kept; ++dropped)
            known_.erase(std::get<SharedHash>(*dropped));
    }
    /// Drops what is too old; what others know of and what is reported lasts for `reportRetention`.
    template <typename IsReported> auto expire(Moment now, Duration reportRetention, IsReported isReported) -> void
    {
        std::erase_if(known_, [&](const auto& entry) {
            const auto needed = entry.second.told || isReported(entry.first);
            return now - entry.second.begunAt >= (needed ? reportRetention : retention);
        });
    }

private:
    std::map<SharedHash, Known> known_;
};

} // namespace eelgrass::decisions
