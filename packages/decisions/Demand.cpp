#include "decisions/Demand.h"

#include <algorithm>
#include <cmath>

namespace eelgrass::decisions {

auto Demand::decayed(const Count& count, Moment now) const -> double
{
    const auto age = static_cast<double>((now - count.updatedAt).count());
    return count.value * std::exp2(-age / static_cast<double>(halfLife_.count()));
}

auto Demand::add(const ModelName& model, Moment now) -> void
{
    if (!counts_.contains(model) && counts_.size() >= limit_)
        removeLowest(now);
    auto& count = counts_[model];
    count = { decayed(count, now) + 1, now };
}

auto Demand::of(const ModelName& model, Moment now) const -> double
{
    const auto found = counts_.find(model);
    return found == counts_.end() ? 0 : decayed(found->second, now);
}

auto Demand::removeLowest(Moment now) -> void
{
    const auto least = std::min_element(counts_.begin(), counts_.end(),
        [&](const auto& a, const auto& b) { return decayed(a.second, now) < decayed(b.second, now); });
    if (least != counts_.end())
        counts_.erase(least);
}

} // namespace eelgrass::decisions
