#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace eelgrass::decisions {

/// Requests for the same thing, such as an adapter or a shared prefix, since one of them was last served.
struct UnservedRequests {
    Moment firstAt {};
    Moment lastAt {};
    std::size_t count = 0;

    /// Time from the first of these requests.
    [[nodiscard]] auto age(Moment now) const noexcept -> Duration { return now - firstAt; }
};

/// Remembers for which keys requests were made that nobody served.
///
/// A key is forgotten when a request for it is served, or when none was made for `memory`. At most `capacity` keys are
/// kept; beyond them, the one whose last request is the longest ago is forgotten, one with a single request first, so
/// that a client that names new keys all the time does not make those forgotten that others go without.
///
/// ```cpp
/// unserved.refused(adapter, now);
/// if (const auto* requests = unserved.find(adapter)) log(requests->count);
/// unserved.served(adapter);
/// ```
template <typename Key> class UnservedDemand {
public:
    UnservedDemand(Duration memory, std::size_t capacity)
        : memory_(memory)
        , capacity_(capacity)
    {
    }

    /// Counts a request made at that moment that was not served, and returns all of the key. A key that is forgotten
    /// for it is passed to `onForgotten`.
    template <typename OnForgotten>
    auto refused(const Key& key, Moment madeAt, const OnForgotten& onForgotten) -> const UnservedRequests&
    {
        if (!requests_.contains(key) && requests_.size() >= capacity_) {
            const auto rank
                = [](const UnservedRequests& requests) { return std::pair(requests.count > 1, requests.lastAt); };
            const auto oldest = std::min_element(requests_.begin(), requests_.end(),
                [&](const auto& left, const auto& right) { return rank(left.second) < rank(right.second); });
            onForgotten(oldest->first);
            requests_.erase(oldest);
        }
        const auto [found, added] = requests_.try_emplace(key, UnservedRequests { madeAt, madeAt, 0 });
        found->second.firstAt = std::min(found->second.firstAt, madeAt);
        found->second.lastAt = std::max(found->second.lastAt, madeAt);
        ++found->second.count;
        return found->second;
    }
    auto refused(const Key& key, Moment madeAt) -> const UnservedRequests&
    {
        return refused(key, madeAt, [](const Key&) {});
    }
    /// Forgets the key, and returns what was remembered of it.
    auto served(const Key& key) -> std::optional<UnservedRequests>
    {
        const auto found = requests_.find(key);
        if (found == requests_.end())
            return std::nullopt;
        const auto requests = found->second;
        requests_.erase(found);
        return requests;
    }
    /// Forgets the keys without a request for `memory`, and passes each to `onForgotten`.
    template <typename OnForgotten> auto expire(Moment now, const OnForgotten& onForgotten) -> void
    {
        std::erase_if(requests_, [&](const auto& entry) {
            const auto over = now - entry.second.lastAt > memory_;
            if (over)
                onForgotten(entry.first);
            return over;
        });
    }
    [[nodiscard]] auto find(const Key& key) const -> const UnservedRequests*
    {
        const auto found = requests_.find(key);
        return found == requests_.end() ? nullptr : &found->second;
    }
    [[nodiscard]] auto requests() const noexcept -> const std::map<Key, UnservedRequests>& { return requests_; }
    auto clear() -> void { requests_.clear(); }

private:
    Duration memory_;
    std::size_t capacity_;
    std::map<Key, UnservedRequests> requests_;
};

} // namespace eelgrass::decisions
