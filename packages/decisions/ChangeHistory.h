#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

/// Records the version at which each key of a list last changed, so that a peer that has an earlier version can be sent
/// only the difference.
///
/// Designed for hundreds of rows, a few changes per second and dozens of peers. If the whole list were sent on every
/// change, the cost would be rows times peers, and a peer with little bandwidth would still be receiving one list when
/// the next one is sent.
///
/// ```cpp
/// history.changed(key, version);
/// if (history.covers(known)) send(history.since(known));
/// ```
template <typename Key> class ChangeHistory {
public:
    struct Difference {
        std::vector<Key> changed;
        std::vector<Key> removed;
    };

    /// Starts the history with a complete reading at `version`; earlier removals are unknown.
    auto begin(std::uint64_t version) noexcept -> void { oldestCovered_ = version; }
    [[nodiscard]] auto started() const noexcept -> bool { return oldestCovered_ != 0; }
    auto changed(const Key& key, std::uint64_t version) -> void { note(key, version, false); }
    auto removed(const Key& key, std::uint64_t version) -> void
    {
        note(key, version, true);
        if (++removals_ > maxRemovals)
            evictOldRemovals();
    }
    /// Whether the history holds all changes after `version`.
    [[nodiscard]] auto covers(std::uint64_t version) const noexcept -> bool
    {
        return started() && version >= oldestCovered_;
    }
    /// The keys that changed after `version`, each listed once with its latest change.
    [[nodiscard]] auto since(std::uint64_t version) const -> Difference
    {
        auto difference = Difference();
        for (auto change = byVersion_.upper_bound(version); change != byVersion_.end(); ++change) {
            for (const auto& key : change->second)
                (keys_.at(key).removed ? difference.removed : difference.changed).push_back(key);
        }
        return difference;
    }

private:
    struct Change {
        std::uint64_t version = 0;
        bool removed = false;
    };
    // Bounds the memory for removed keys; a peer whose version is no longer covered is sent the whole list.
    static constexpr auto maxRemovals = std::size_t(1000);

    auto note(const Key& key, std::uint64_t version, bool removed) -> void
    {
        auto& change = keys_[key];
        if (change.removed)
            --removals_;
        dropVersion(key, change.version);
        change = { version, removed };
        byVersion_[version].insert(key);
    }
    auto dropVersion(const Key& key, std::uint64_t version) -> void
    {
        const auto found = byVersion_.find(version);
        if (found == byVersion_.end())
            return;
        found->second.erase(key);
        if (found->second.empty())
            byVersion_.erase(found);
    }
    /// Drops the oldest half of the removals and raises the oldest covered version accordingly.
    auto evictOldRemovals() -> void
    {
        for (auto change = byVersion_.begin(); change != byVersion_.end() && removals_ > maxRemovals / 2;) {
            oldestCovered_ = std::max(oldestCovered_, change->first);
            for (auto key = change->second.begin(); key != change->second.end();) {
                if (!keys_.at(*key).removed) {
                    ++key;
                    continue;
                }
                keys_.erase(*key);
                key = change->second.erase(key);
                --removals_;
            }
            change = change->second.empty() ? byVersion_.erase(change) : std::next(change);
        }
    }

    std::uint64_t oldestCovered_ = 0;
    std::size_t removals_ = 0;
    std::map<Key, Change> keys_;
    std::map<std::uint64_t, std::set<Key>> byVersion_;
};

} // namespace eelgrass::decisions
