#include "wire/HttpHead.h"

#include <ostream>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>

namespace eelgrass::wire {

namespace {

auto lower(char letter) noexcept -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

auto trimmed(std::string_view text) noexcept -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

auto sameName(std::string_view left, std::string_view right) noexcept -> bool
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

auto decimal(std::string_view text) noexcept -> std::optional<std::uint64_t>
{
    auto value = std::uint64_t(0);
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

auto HeaderFields::add(std::string_view name, std::string_view value) -> void
{
    fields_.push_back({ std::string(name), std::string(value) });
}

auto HeaderFields::set(std::string_view name, std::string_view value) -> void
{
    remove(name);
    add(name, value);
}

auto HeaderFields::remove(std::string_view name) -> void
{
    std::erase_if(fields_, [&](const Field& field) { return sameName(field.name, name); });
}

auto HeaderFields::get(std::string_view name) const noexcept -> std::string_view
{
    const auto found
        = std::find_if(fields_.begin(), fields_.end(), [&](const Field& field) { return sameName(field.name, name); });
    return found == fields_.end() ? std::string_view() : std::string_view(found->value);
}

auto HeaderFields::count(std::string_view name) const noexcept -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(fields_.begin(), fields_.end(), [&](const Field& field) { return sameName(field.name, name); }));
}

auto HeaderFields::removeHopByHop() -> void
{
    auto listed = std::string(get("Connection"));
    for (auto rest = std::string_view(listed); !rest.empty();) {
        const auto comma = rest.find(',');
        const auto name = trimmed(rest.substr(0, comma));
        if (!name.empty())
            remove(name);
        rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
    for (const auto* name : { "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "TE",
             "Proxy-Connection", "Expect", "Content-Length" })
        remove(name);
}

auto HttpRequestMessage::path() const noexcept -> std::string_view
{
    return std::string_view(target).substr(0, target.find('?'));
}

auto reasonPhrase(int status) noexcept -> std::string_view
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return { phrase.data(), phrase.size() };
}

auto requestHeadText(std::string_view method, std::string_view target, const HeaderFields& fields, std::size_t bodySize)
    -> std::string
{
    auto text = std::string();
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto& field : fields.all())
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (bodySize > 0 || (method != "GET" && method != "HEAD" && method != "DELETE"))
        text.append("Content-Length: ").append(std::to_string(bodySize)).append("\r\n");
    return text.append("\r\n");
}

auto responseHeadText(const HttpResponseHead& head) -> std::string
{
    auto text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reasonPhrase(head.status)).append("\r\n");
    for (const auto& field : head.fields.all())
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    return text.append("\r\n");
}

} // namespace eelgrass::wire
