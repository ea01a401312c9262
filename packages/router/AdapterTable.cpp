#include "router/AdapterTable.h"

namespace eelgrass::router {

auto AdapterTable::shardOf(std::string_view name) noexcept -> std::size_t
{
    return std::hash<std::string_view> {}(name) % shardCount;
}

auto AdapterTable::find(std::string_view name) const -> const std::string*
{
    const auto& shard = shards_[shardOf(name)];
    if (!shard)
        return nullptr;
    const auto found = shard->find(AdapterId(std::string(name)));
    return found == shard->end() ? nullptr : &found->second;
}

auto AdapterTable::detachShard(std::size_t shard) -> Shard&
{
    auto copy = shards_[shard] ? std::make_shared<Shard>(*shards_[shard]) : std::make_shared<Shard>();
    auto& owned = *copy;
    shards_[shard] = std::move(copy);
    return owned;
}

auto AdapterTable::set(const AdapterId& name, std::string text) -> void
{
    auto& shard = detachShard(shardOf(name.view()));
    const auto before = shard.size();
    text.shrink_to_fit();
    shard.insert_or_assign(name, std::move(text));
    size_ += shard.size() - before;
}

auto AdapterTable::erase(const AdapterId& name) -> void
{
    if (find(name.view()))
        size_ -= detachShard(shardOf(name.view())).erase(name);
}

auto AdapterTable::forEach(const std::function<void(const AdapterId&, const std::string&)>& visit) const -> void
{
    auto sorted = std::map<std::string_view, std::pair<const AdapterId*, const std::string*>>();
    for (const auto& shard : shards_) {
        if (!shard)
            continue;
        for (const auto& [name, text] : *shard)
            sorted.emplace(name.view(), std::pair(&name, &text));
    }
    for (const auto& [name, place] : sorted)
        visit(*place.first, *place.second);
}

} // namespace eelgrass::router
