#include "decisions/Quarantine.h"

#include <algorithm>

namespace eelgrass::decisions {

auto Quarantine::raise(const std::string& digest, std::uint32_t crashes) -> void
{
    const auto [entry, fresh] = crashes_.try_emplace(digest, 0);
    entry->second = std::max(entry->second, crashes);
    if (!fresh)
        return;
    order_.push_back(digest);
    if (order_.size() <= capacity)
        return;
    crashes_.erase(order_.front());
    order_.pop_front();
}

auto Quarantine::crashed(const std::string& digest, std::uint32_t before) -> std::uint32_t
{
    raise(digest, before + 1);
    return crashes(digest);
}

auto Quarantine::learn(const std::string& digest, std::uint32_t crashes) -> void { raise(digest, crashes); }

auto Quarantine::succeeded(const std::string& digest) -> void
{
    // A culprit stays one, whatever an attempt begun before it was known came to.
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
