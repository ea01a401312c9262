#include "serving/ServiceKeepers.h"

#include "base/TextHash.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// How often the service of a key is told while others go without.
constexpr auto tellInterval = Duration(1s);

/// Adds what a keeper told of the keys.
auto add(decisions::RequestedKeys& known, const decisions::RequestedKeys& told) -> void
{
    for (const auto& item : told) {
        const auto found = std::find_if(
            known.begin(), known.end(), [&](const decisions::RequestedKey& own) { return own.key == item.key; });
        if (found != known.end())
            found->known = combined(found->known, item.known);
    }
}

} // namespace

auto ServiceKeepers::keeperOf(const AdapterName& adapter, const decisions::ServiceKey& key) const -> AgentLink*
{
    const auto hash
        = key.kind == decisions::ServiceKey::Kind::Prefix ? hashText(0, key.name) : hashText(0, adapter.view());
    const auto first = agents_.first(
        hash, 1, [this](const AgentLink& agent) { return agent.isHub() && agent.alive() && !agents_.avoided(agent); });
    return first.empty() ? nullptr : first.front();
}

auto ServiceKeepers::byKeeper(const AdapterName& adapter, const Keys& keys) const -> std::map<AgentLink*, Keys>
{
    auto kept = std::map<AgentLink*, Keys>();
    for (const auto& key : keys) {
        if (key.kind == decisions::ServiceKey::Kind::Route)
            continue;
        if (auto* keeper = keeperOf(adapter, key))
            kept[keeper].push_back(key);
    }
    return kept;
}

auto ServiceKeepers::tell(const AdapterName& adapter, const Keys& keys, bool served) const -> void
{
    for (const auto& [keeper, kept] : byKeeper(adapter, keys))
        keeper->noteService(kept, served);
}

auto ServiceKeepers::served(const AdapterName& adapter, const decisions::RequestedKeys& known) -> void
{
    auto keys = std::vector<decisions::ServiceKey>();
    const auto now = timers_.now();
    for (const auto& [key, service] : known) {
        const auto toldAt = own_.of(key).servedAt;
        // Entries that did not serve the key may know of requests that this one does not.
        const auto isNews = own_.hasUnserved() && (!toldAt || now - *toldAt >= tellInterval);
        own_.served(key, now);
        if (isNews || service.unserved.count > 0)
            keys.push_back(key);
    }
    tell(adapter, keys, true);
}

auto ServiceKeepers::wentWithout(const AdapterName& adapter, const std::vector<decisions::ServiceKey>& keys) -> void
{
    for (const auto& key : keys)
        own_.unserved(key, timers_.now());
    tell(adapter, keys, false);
}

auto ServiceKeepers::own(const std::vector<decisions::ServiceKey>& keys) const -> decisions::RequestedKeys
{
    auto known = decisions::RequestedKeys();
    for (const auto& key : keys)
        known.push_back({ key, own_.of(key) });
    return known;
}

auto ServiceKeepers::find(const AdapterName& adapter, const std::vector<decisions::ServiceKey>& keys)
    -> kj::Promise<decisions::RequestedKeys>
{
    using Answer = kj::Maybe<decisions::RequestedKeys>;
    auto known = own(keys);
    auto answers = kj::Vector<kj::Promise<Answer>>();
    for (const auto& [keeper, kept] : byKeeper(adapter, keys))
        answers.add(agents_.answerOf(*keeper, keeper->findService(kept)));
    return kj::joinPromises(answers.releaseAsArray()).then([known](kj::Array<Answer>&& told) mutable {
        for (const auto& answer : told) {
            KJ_IF_MAYBE (keys, answer)
                add(known, *keys);
        }
        return kj::mv(known);
    });
}

} // namespace eelgrass::serving
