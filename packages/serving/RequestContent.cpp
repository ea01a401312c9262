#include "serving/RequestContent.h"

#include "base/TextHash.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// A request with more parts is judged by the first ones, which keeps what processes tell each other small.
constexpr auto maxParts = std::size_t(16);
constexpr auto partKind = RequestContent::partKind;
constexpr auto memberPartKind = std::string_view("member's part");
constexpr auto adapterKind = std::string_view("adapter");

auto sharedContent(std::string_view what, std::string name) -> SharedContent
{
    const auto hash = hashText(hashText(0, what), name);
    const auto held = what == memberPartKind ? decisions::heldByMember(hash) : decisions::heldByAll(hash);
    return { held, what, std::move(name) };
}

/// Ids are hexadecimal numbers, which have more than one spelling.
auto canonicalId(std::string_view id) -> std::string
{
    id.remove_prefix(std::min(id.find_first_not_of('0'), id.size()));
    auto text = std::string(id);
    std::transform(text.begin(), text.end(), text.begin(),
        [](char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; });
    return text;
}

auto addParts(RequestContent& content, const RequestMetadata& metadata, const MemberId& member) -> void
{
    for (auto index = std::size_t(0); index + 1 < metadata.prompt.size() && index < maxParts; ++index) {
        const auto id = canonicalId(metadata.prompt[index].id);
        const auto known = std::any_of(content.shared.begin(), content.shared.end(),
            [&](const SharedContent& part) { return part.what == partKind && part.name == id; });
        if (known)
            continue;
        content.shared.push_back(sharedContent(partKind, id));
        if (!member.empty())
            content.shared.push_back(sharedContent(memberPartKind, id + " of " + member.str()));
    }
}

} // namespace

auto RequestContent::partsText() const -> std::string
{
    auto text = std::string();
    for (const auto& one : shared) {
        if (one.what == partKind)
            text += (text.empty() ? "" : " ") + one.name;
    }
    return text;
}

auto contentOf(const wire::HttpRequestMessage& request, const RequestMetadata& metadata, const MemberId& member,
    AdapterVersion version) -> RequestContent
{
    auto content = RequestContent { .run = { digestOf(request, metadata, member), {} } };
    addParts(content, metadata, member);
    if (!metadata.adapter.empty()) {
        const auto name = metadata.model.str() + "/" + metadata.adapter.str() + "@" + std::to_string(version.value());
        content.shared.push_back(sharedContent(adapterKind, name));
    }
    for (const auto& one : content.shared)
        content.run.shared.push_back(one.hash);
    return content;
}

auto digestOf(const wire::HttpRequestMessage& request, const RequestMetadata& metadata, const MemberId& member)
    -> decisions::RequestDigest
{
    const auto what = request.body.empty() ? std::string_view(request.target) : request.path();
    auto hash = hashText(0, request.method);
    for (const auto text :
        { what, metadata.model.view(), metadata.adapter.view(), std::string_view(request.body), member.view() })
        hash = hashText(hash, text);
    return decisions::RequestDigest(hash);
}

} // namespace eelgrass::serving
