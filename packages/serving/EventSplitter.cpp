#include "serving/EventSplitter.h"

#include "wire/HttpHead.h"

namespace eelgrass::serving {

namespace {

/// Position after the empty line that ends the first event; npos if the event is incomplete.
auto endOfEvent(std::string_view text) -> std::size_t
{
    const auto plain = text.find("\n\n");
    const auto windows = text.find("\n\r\n");
    if (plain == std::string_view::npos && windows == std::string_view::npos)
        return std::string_view::npos;
    return plain < windows ? plain + 2 : windows + 3;
}

auto idOf(std::string_view event) -> std::optional<std::uint64_t>
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return wire::decimal(line);
    }
    return std::nullopt;
}

} // namespace

auto EventSplitter::feed(std::string_view bytes) -> std::vector<StreamEvent>
{
    pending_.append(bytes);
    auto events = std::vector<StreamEvent>();
    auto at = std::size_t(0);
    for (;;) {
        const auto rest = std::string_view(pending_).substr(at);
        const auto end = endOfEvent(rest);
        if (end == std::string_view::npos)
            break;
        events.push_back({ std::string(rest.substr(0, end)), idOf(rest.substr(0, end)) });
        at += end;
    }
    pending_.erase(0, at);
    return events;
}

} // namespace eelgrass::serving
