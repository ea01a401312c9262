#include "ctl/TraceCommand.h"

#include "base/JsonText.h"
#include "ctl/File.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace eelgrass::ctl {

namespace {

using Json = nlohmann::json;

// The names under which processes write a request's id.
constexpr auto idFields = std::array { "request", "request_id", "attempt" };

auto names(const Json& context, const std::string& request) -> bool
{
    return std::any_of(idFields.begin(), idFields.end(), [&](const char* field) {
        const auto found = context.find(field);
        return found != context.end() && found->is_string() && found->get<std::string>() == request;
    });
}

auto lineFrom(const Json& entry) -> TraceLine
{
    const auto& context = entry.at("context_map");
    auto line = TraceLine { .time = entry.value("timestamp", std::string()),
        .process = context.value("process", std::string()),
        .message = entry.value("message", std::string()) };
    static const auto apart = std::set<std::string> { "process", "request", "request_id" };
    for (const auto& [name, value] : context.items()) {
        if (!apart.contains(name) && value.is_string() && !value.get<std::string>().empty())
            line.fields.push_back(name + "=" + value.get<std::string>());
    }
    return line;
}

auto toJson(const std::vector<TraceLine>& lines) -> Json
{
    auto list = Json::array();
    for (const auto& line : lines)
        list.push_back({ { "time", line.time }, { "process", line.process }, { "message", line.message },
            { "fields", line.fields } });
    return { { "lines", list } };
}

auto print(std::ostream& out, const TraceLine& line) -> void
{
    out << line.time << "  " << line.process << "  " << line.message;
    for (const auto& field : line.fields)
        out << "  " << field;
    out << "\n";
}

} // namespace

auto traceLines(std::string_view log, const std::string& request) -> std::vector<TraceLine>
{
    auto lines = std::vector<TraceLine>();
    while (!log.empty()) {
        const auto text = log.substr(0, log.find('\n'));
        log.remove_prefix(std::min(log.size(), text.size() + 1));
        // Most lines name other requests: only those that might be ours are parsed.
        if (text.find(request) == std::string_view::npos)
            continue;
        const auto entry = parseJson(text.substr(std::min(text.size(), text.find('{'))));
        if (entry.is_object() && entry.contains("context_map") && names(entry["context_map"], request))
            lines.push_back(lineFrom(entry));
    }
    return lines;
}

auto traceRequest(const Invocation& invocation, const Streams& streams) -> ExitCode
{
    const auto& request = invocation.words[1];
    auto lines = std::vector<TraceLine>();
    for (auto file = invocation.words.begin() + 2; file != invocation.words.end(); ++file) {
        const auto text = readFile(*file);
        if (!text) {
            streams.err << *file << ": cannot be read\n";
            return ExitCode::Usage;
        }
        auto found = traceLines(*text, request);
        lines.insert(lines.end(), std::make_move_iterator(found.begin()), std::make_move_iterator(found.end()));
    }
    std::stable_sort(lines.begin(), lines.end(),
        [](const TraceLine& left, const TraceLine& right) { return left.time < right.time; });
    if (invocation.json)
        streams.out << toJson(lines).dump() << "\n";
    else
        for (const auto& line : lines)
            print(streams.out, line);
    if (!lines.empty())
        return ExitCode::Done;
    streams.err << "no line names " << request << "\n";
    return ExitCode::NotFound;
}

} // namespace eelgrass::ctl
