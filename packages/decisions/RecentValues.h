#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <map>

namespace eelgrass::decisions {

/// When each key was last seen with each of its values.
///
/// ```cpp
/// versions.note(service, version, now);
/// if (!versions.hadOther(service, version, now - 10s)) ...
/// ```
template <typename Key, typename Value> class RecentValues {
public:
    /// Values are forgotten this long after they were last seen.
    static constexpr auto retention = Duration(600s);

    auto note(const Key& key, const Value& value, Moment at) -> void
    {
        auto& lastSeen = seen_[key].try_emplace(value, at).first->second;
        lastSeen = std::max(lastSeen, at);
    }
    /// Whether the key was seen with another value at or after `since`, which may lie `retention` back at the most.
    [[nodiscard]] auto hadOther(const Key& key, const Value& value, Moment since) const -> bool
    {
        const auto values = seen_.find(key);
        return values != seen_.end()
            && std::any_of(values->second.begin(), values->second.end(),
                [&](const auto& entry) { return entry.first != value && entry.second >= since; });
    }
    auto forgetOld(Moment now) -> void
    {
        for (auto& [key, values] : seen_)
            std::erase_if(values, [&](const auto& entry) { return now - entry.second > retention; });
        std::erase_if(seen_, [](const auto& entry) { return entry.second.empty(); });
    }

private:
    std::map<Key, std::map<Value, Moment>> seen_;
};

} // namespace eelgrass::decisions
