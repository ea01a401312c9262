#include "tests/harness/MemberKeys.h"

#include <algorithm>

namespace eelgrass::tests {

namespace {

constexpr auto keysOfMember = 2;
constexpr auto recent = Duration(15s);
// Of so many requests one comes with a key that was taken away.
constexpr auto removedOneOf = 4U;

} // namespace

MemberKeys::MemberKeys(std::size_t members)
{
    for (auto index = std::size_t(0); index < members; ++index) {
        for (auto count = 0; count < keysOfMember; ++count)
            (void)add("member-" + std::to_string(index));
    }
}

auto MemberKeys::add(const std::string& member) -> std::string
{
    auto text = "key-" + std::to_string(keys_.size()) + "-of-" + member;
    keys_[text] = { .text = text, .member = member };
    byMember_[member].push_back(text);
    return text;
}

auto MemberKeys::change(std::mt19937_64& random, Moment now) -> std::size_t
{
    auto member = byMember_.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(random() % byMember_.size()));
    auto removed = member->second.front();
    member->second.erase(member->second.begin());
    keys_.at(removed).removalSentAt = now;
    removed_.push_back(removed);
    changes_.push_back({ .added = add(member->first), .removed = std::move(removed) });
    return changes_.size() - 1;
}

auto MemberKeys::acknowledged(std::size_t change, Moment now) -> void
{
    keys_.at(changes_.at(change).added).addedAt = now;
    keys_.at(changes_.at(change).removed).removedAt = now;
}

auto MemberKeys::acknowledgedFirst(Moment now) -> void
{
    for (auto& [text, key] : keys_)
        key.addedAt = now;
}

auto MemberKeys::json() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [member, keys] : byMember_)
        list.push_back({ { "name", member }, { "apiKeys", keys } });
    return list;
}

auto MemberKeys::draw(std::mt19937_64& random, Moment now) const -> std::string
{
    if (random() % removedOneOf == 0) {
        const auto first = std::find_if(removed_.begin(), removed_.end(),
            [&](const auto& text) { return now - *keys_.at(text).removalSentAt < recent; });
        if (first != removed_.end())
            return *(first + static_cast<std::ptrdiff_t>(random() % static_cast<std::size_t>(removed_.end() - first)));
    }
    auto member = byMember_.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(random() % byMember_.size()));
    return member->second.at(random() % member->second.size());
}

auto MemberKeys::living() const -> std::vector<std::string>
{
    auto list = std::vector<std::string>();
    for (const auto& [member, keys] : byMember_)
        list.push_back(keys.back());
    return list;
}

auto MemberKeys::sentAfterRemoval(const Call& call) const -> std::optional<Duration>
{
    const auto found = keys_.find(call.key);
    if (found == keys_.end() || !found->second.removedAt || call.sentAt <= *found->second.removedAt)
        return std::nullopt;
    return call.sentAt - *found->second.removedAt;
}

auto MemberKeys::livedThrough(const Call& call, Duration settled) const -> bool
{
    const auto found = keys_.find(call.key);
    if (found == keys_.end())
        return false;
    const auto& key = found->second;
    return key.addedAt && call.sentAt - *key.addedAt >= settled
        && (!key.removalSentAt || *key.removalSentAt > call.endedAt);
}

} // namespace eelgrass::tests
