#include "decisions/ServiceClaims.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Requests without service after which service is due. One more is served then, so a quarter of them at least.
constexpr auto maxMissed = std::size_t(3);
// Time without service after which it is due to a key that was requested at least twice.
constexpr auto maxAge = Duration(2s);
// Fewer requests are no claim: a client that names new adapters all the time would be served first.
constexpr auto minMissed = std::size_t(2);

// No request waits in a queue for as long as this.
constexpr auto grantMemory = Duration(30s);
constexpr auto maxGrantedKeys = std::size_t(1024);

auto ratio(Duration left, Duration right) -> double
{
    return static_cast<double>(left.count()) / static_cast<double>(right.count());
}

} // namespace

auto claimOf(const RequestedKeys& keys, Moment now) -> Claim
{
    auto claim = Claim();
    for (const auto& [key, known] : keys) {
        const auto& requests = known.unserved;
        if (requests.count < minMissed)
            continue;
        const auto level = std::max(requests.count >= maxMissed ? 1.0 : 0.0, ratio(requests.age(now), maxAge));
        const auto sum = claim.level + level;
        if (level > claim.keyLevel)
            claim = { .key = key, .keyLevel = level, .since = requests.firstAt, .missed = requests.count };
        claim.level = sum;
    }
    return claim;
}

auto GrantedKeys::forgetOld(Moment now) -> void
{
    std::erase_if(
        grants_, [&](const auto& entry) { return entry.second.open == 0 && now - entry.second.lastAt > grantMemory; });
}

auto GrantedKeys::granted(const RequestedKeys& keys, Moment now) -> void
{
    if (grants_.size() >= maxGrantedKeys)
        forgetOld(now);
    for (const auto& requested : keys) {
        auto& grants = grants_[requested.key];
        ++grants.open;
        grants.lastAt = now;
    }
}

auto GrantedKeys::settled(const RequestedKeys& keys, Moment now) -> void
{
    for (const auto& requested : keys) {
        const auto found = grants_.find(requested.key);
        if (found == grants_.end())
            continue;
        found->second.open -= std::min<std::size_t>(found->second.open, 1);
        found->second.lastAt = std::max(found->second.lastAt, now);
    }
}

auto GrantedKeys::ungranted(const RequestedKeys& keys, Moment arrivedAt) const -> RequestedKeys
{
    auto rest = RequestedKeys();
    for (const auto& requested : keys) {
        if (requested.known.unserved.count == 0)
            continue;
        const auto found = grants_.find(requested.key);
        if (found == grants_.end() || (found->second.open == 0 && arrivedAt > found->second.lastAt))
            rest.push_back(requested);
    }
    return rest;
}

} // namespace eelgrass::decisions
