#pragma once

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

/// Selects the `count` nodes with the highest rendezvous scores for a key.
///
/// ```cpp
/// auto first = FirstByRendezvous<Replica*>(key, 2);
/// for (auto* replica : replicas)
///     first.offer(replica, replica->hash());
/// for (auto* replica : first.nodes()) ...
/// ```
template <typename Node> class FirstByRendezvous {
public:
    FirstByRendezvous(std::uint64_t key, std::size_t count)
        : key_(key)
        , count_(count)
    {
    }

    auto offer(Node node, std::uint64_t hash) -> void
    {
        const auto score = rendezvousScore(key_, hash);
        if (scored_.size() == count_ && (count_ == 0 || score <= scored_.back().first))
            return;
        const auto place
            = std::find_if(scored_.begin(), scored_.end(), [score](const auto& held) { return held.first < score; });
        scored_.emplace(place, score, std::move(node));
        if (scored_.size() > count_)
            scored_.pop_back();
    }
    /// The selected nodes, highest score first.
    [[nodiscard]] auto nodes() const -> std::vector<Node>
    {
        auto nodes = std::vector<Node>();
        for (const auto& [score, node] : scored_)
            nodes.push_back(node);
        return nodes;
    }

private:
    std::uint64_t key_;
    std::size_t count_;
    std::vector<std::pair<std::uint64_t, Node>> scored_;
};

} // namespace eelgrass::decisions
