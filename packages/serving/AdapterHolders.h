#pragma once

#include "serving/Replica.h"

#include <unordered_map>
#include <vector>

namespace eelgrass::serving {

/// Index of the replicas that hold each adapter, according to the platform's list.
class AdapterHolders {
public:
    /// Records that a replica holds the adapters `after` instead of `before`.
    auto note(const ReplicaPtr& replica, const std::map<AdapterName, AdapterVersion>& before,
        const std::map<AdapterName, AdapterVersion>& after) -> void
    {
        for (const auto& [adapter, version] : before) {
            if (!after.contains(adapter))
                erase(adapter, replica);
        }
        for (const auto& [adapter, version] : after) {
            if (!before.contains(adapter))
                holders_[adapter].push_back(replica);
        }
    }
    [[nodiscard]] auto of(const AdapterName& adapter) const -> const std::vector<ReplicaPtr>&
    {
        static const auto none = std::vector<ReplicaPtr>();
        const auto found = holders_.find(adapter);
        return found == holders_.end() ? none : found->second;
    }

private:
    auto erase(const AdapterName& adapter, const ReplicaPtr& replica) -> void
    {
        const auto found = holders_.find(adapter);
        if (found == holders_.end())
            return;
        std::erase(found->second, replica);
        if (found->second.empty())
            holders_.erase(found);
    }

    std::unordered_map<AdapterName, std::vector<ReplicaPtr>> holders_;
};

} // namespace eelgrass::serving
