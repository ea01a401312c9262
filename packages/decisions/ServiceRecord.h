#pragma once

#include "decisions/ServiceKey.h"
#include "decisions/UnservedDemand.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

/// What is known of the service of one key.
struct KeyService {
    /// The requests since the last one that was served; all zero if there are none.
    UnservedRequests unserved {};
    /// When a request with the key was last served; empty if none was lately.
    std::optional<Moment> servedAt {};
};

/// The requests, unless one was served after the first of them. How many came after that one is not known, and the next
/// ones count again.
[[nodiscard]] inline auto unlessServed(const UnservedRequests& requests, const std::optional<Moment>& servedAt)
    -> UnservedRequests
{
    return servedAt && *servedAt > requests.firstAt ? UnservedRequests() : requests;
}

/// What two records know together.
[[nodiscard]] inline auto combined(const KeyService& left, const KeyService& right) -> KeyService
{
    auto both = KeyService { .servedAt = std::max(left.servedAt, right.servedAt) };
    const auto first = unlessServed(left.unserved, both.servedAt);
    const auto second = unlessServed(right.unserved, both.servedAt);
    if (first.count == 0 || second.count == 0)
        both.unserved = first.count == 0 ? second : first;
    else
        both.unserved = { std::min(first.firstAt, second.firstAt), std::max(first.lastAt, second.lastAt),
            std::max(first.count, second.count) };
    return both;
}

/// One key of a request, with what its entry knows of the key's service.
struct RequestedKey {
    ServiceKey key;
    KeyService known {};
};

using RequestedKeys = std::vector<RequestedKey>;

/// The keys of things that belong to one adapter.
[[nodiscard]] inline auto keysOfAdapter(RequestedKeys keys) -> RequestedKeys
{
    using Kind = ServiceKey::Kind;
    std::erase_if(keys, [](const RequestedKey& requested) {
        return requested.key.kind == Kind::Route || requested.key.kind == Kind::Prefix;
    });
    return keys;
}

/// Records which keys' requests were served, and which went without.
///
/// ```cpp
/// record.served(key, now);
/// auto known = record.of(key);
/// ```
class ServiceRecord {
public:
    /// How long a key without a request is remembered, and how many keys are.
    static constexpr auto defaultMemory = Duration(30s);
    static constexpr auto defaultCapacity = std::size_t(1024);

    explicit ServiceRecord(Duration memory = defaultMemory, std::size_t capacity = defaultCapacity)
        : unserved_(memory, capacity)
        , memory_(memory)
        , capacity_(capacity)
    {
    }

    /// Counts a request that was not served.
    auto unserved(const ServiceKey& key, Moment at) -> void { unserved_.refused(key, at); }
    auto served(const ServiceKey& key, Moment at) -> void
    {
        if (!servedAt_.contains(key) && servedAt_.size() >= capacity_) {
            servedAt_.erase(std::min_element(servedAt_.begin(), servedAt_.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; }));
        }
        servedAt_[key] = at;
        unserved_.served(key);
    }
    [[nodiscard]] auto of(const ServiceKey& key) const -> KeyService
    {
        auto service = KeyService();
        if (const auto* requests = unserved_.find(key))
            service.unserved = *requests;
        if (const auto found = servedAt_.find(key); found != servedAt_.end())
            service.servedAt = found->second;
        return service;
    }
    /// Whether requests with any key were not served lately.
    [[nodiscard]] auto hasUnserved() const noexcept -> bool { return !unserved_.requests().empty(); }
    /// Forgets the keys that are no longer requested.
    auto expire(Moment now) -> void
    {
        unserved_.expire(now, [](const ServiceKey&) {});
        std::erase_if(servedAt_, [&](const auto& entry) { return now - entry.second > memory_; });
    }

private:
    UnservedDemand<ServiceKey> unserved_;
    std::map<ServiceKey, Moment> servedAt_;
    Duration memory_;
    std::size_t capacity_;
};

} // namespace eelgrass::decisions
