#include "serving/StreamOrigins.h"

#include <algorithm>

namespace eelgrass::serving {

auto StreamOrigins::note(const StreamId& stream, const StreamOrigin& origin, Moment now, Duration keep) -> void
{
    forgetOld(now);
    const auto [entry, added] = known_.try_emplace(stream, Entry { { origin, now, now + keep } });
    if (added) {
        order_.push_back(stream);
        return;
    }
    auto& [known, conflicting] = entry->second;
    conflicting = conflicting || known.origin != origin;
    known.keptUntil = std::max(known.keptUntil, now + keep);
}

auto StreamOrigins::find(const StreamId& stream, Moment now) const -> std::optional<Known>
{
    const auto found = known_.find(stream);
    if (found == known_.end() || found->second.conflicting || found->second.known.keptUntil < now)
        return std::nullopt;
    return found->second.known;
}

auto StreamOrigins::forgetOld(Moment now) -> void
{
    while (!order_.empty()) {
        const auto oldest = known_.find(order_.front());
        if (order_.size() < capacity_ && oldest->second.known.keptUntil >= now)
            return;
        known_.erase(oldest);
        order_.pop_front();
    }
}

} // namespace eelgrass::serving
