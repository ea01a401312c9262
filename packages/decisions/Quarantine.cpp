#include "decisions/Quarantine.h"

#include <algorithm>

namespace eelgrass::decisions {

auto Quarantine::raiseTo(const std::string& digest, std::uint32_t crashes) -> void
{
    const auto [entry, added] = crashes_.try_emplace(digest, 0);
    entry->second = std::max(entry->second, crashes);
    if (!added)
        return;
    order_.push_back(digest);
    if (order_.size() <= capacity)
        return;
    crashes_.erase(order_.front());
    order_.pop_front();
}

auto Quarantine::crashed(const std::string& digest, std::uint32_t before) -> std::uint32_t
{
    raiseTo(digest, before + 1);
    return crashes(digest);
}

auto Quarantine::learn(const std::string& digest, std::uint32_t crashes) -> void { raiseTo(digest, crashes); }

auto Quarantine::succeeded(const std::string& digest) -> void
{
    // A refused request stays refused, even if an attempt that started earlier succeeds.
    if (refused(digest) || crashes_.erase(digest) == 0)
        return;
    std::erase(order_, digest);
}

auto Quarantine::crashes(const std::string& digest) const -> std::uint32_t
{
    const auto found = crashes_.find(digest);
    return found == crashes_.end() ? 0 : found->second;
}

} // namespace eelgrass::decisions
