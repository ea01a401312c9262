#pragma once

#include "decisions/ServiceRecord.h"
#include "serving/detail/NewsAge.h"
#include "wire/generated/Agent.capnp.h"

#include <algorithm>
#include <vector>

/// What an entry tells an agent of the service of a request's keys.
namespace eelgrass::serving::detail {

inline auto fill(wire::schema::KeyService::Builder into, const decisions::RequestedKey& key, Moment now) -> void
{
    const auto& [unserved, servedAt] = key.known;
    into.setKind(static_cast<wire::schema::ServiceKeyKind>(key.key.kind));
    into.setRequests(static_cast<std::uint32_t>(unserved.count));
    into.setFirstAgoMs(millisecondsSince(unserved.firstAt, now));
    into.setLastAgoMs(millisecondsSince(unserved.lastAt, now));
    into.setServedAgoMs(ageOfMoment(servedAt, now));
}

inline auto fill(capnp::List<wire::schema::ServiceKey>::Builder into, const std::vector<decisions::ServiceKey>& keys)
    -> void
{
    for (auto index = 0U; index < keys.size(); ++index) {
        into[index].setKind(static_cast<wire::schema::ServiceKeyKind>(keys[index].kind));
        into[index].setName(keys[index].name);
    }
}

inline auto readKeys(capnp::List<wire::schema::ServiceKey>::Reader told) -> std::vector<decisions::ServiceKey>
{
    auto keys = std::vector<decisions::ServiceKey>();
    for (auto item : told)
        keys.push_back({ static_cast<decisions::ServiceKey::Kind>(item.getKind()), item.getName().cStr() });
    return keys;
}

/// Tells of the keys of which the entry knows anything.
template <typename Builder> auto fillService(Builder into, const decisions::RequestedKeys& keys, Moment now) -> void
{
    auto known = std::vector<const decisions::RequestedKey*>();
    for (const auto& key : keys) {
        if (key.known.unserved.count > 0 || key.known.servedAt)
            known.push_back(&key);
    }
    auto list = into.initService(static_cast<unsigned>(known.size()));
    for (auto index = 0U; index < known.size(); ++index)
        fill(list[index], *known[index], now);
}

inline auto readKeyService(wire::schema::KeyService::Reader told, Moment now) -> decisions::KeyService
{
    auto service = decisions::KeyService { .servedAt = momentOfAge(told.getServedAgoMs(), now) };
    if (told.getRequests() > 0)
        service.unserved = { now - std::chrono::milliseconds(told.getFirstAgoMs()),
            now - std::chrono::milliseconds(told.getLastAgoMs()), told.getRequests() };
    return service;
}

/// Sets what the entry told in the keys that it told of.
inline auto readService(capnp::List<wire::schema::KeyService>::Reader told, decisions::RequestedKeys& keys, Moment now)
    -> void
{
    for (auto item : told) {
        const auto kind = static_cast<decisions::ServiceKey::Kind>(item.getKind());
        const auto found = std::find_if(
            keys.begin(), keys.end(), [&](const decisions::RequestedKey& key) { return key.key.kind == kind; });
        if (found != keys.end())
            found->known = readKeyService(item, now);
    }
}

} // namespace eelgrass::serving::detail
