#include "tests/harness/Session.h"

#include <regex>
#include <sstream>

namespace eelgrass::tests {

namespace {

constexpr auto eventPrefix = std::string_view("data: {");

auto unchunked(const std::string& body) -> std::string
{
    auto out = std::string();
    for (auto at = std::size_t(0); at < body.size();) {
        const auto lineEnd = body.find("\r\n", at);
        const auto size = std::stoul(body.substr(at, lineEnd - at), nullptr, 16);
        out += body.substr(lineEnd + 2, size);
        at = lineEnd + 2 + size + 2;
    }
    return out;
}

auto textOf(Json& event) -> std::string&
{
    auto& choice = event["choices"][0];
    auto& holder = choice.contains("delta") ? choice["delta"]["content"] : choice["text"];
    return holder.get_ref<std::string&>();
}

/// Joins token events that follow one another.
auto joined(const std::string& body) -> std::string
{
    auto out = std::string();
    auto pending = Json();
    auto flush = [&] {
        if (!pending.is_null())
            out += "data: " + pending.dump() + "\n\n";
        pending = Json();
    };
    auto lines = std::istringstream(body);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.empty() || line.starts_with(": "))
            continue;
        auto event = line.starts_with(eventPrefix) ? Json::parse(line.substr(eventPrefix.size() - 1)) : Json();
        if (!event.contains("choices") || !event["choices"][0]["finish_reason"].is_null()) {
            flush();
            out += line + "\n\n";
        } else if (pending.is_null()) {
            pending = std::move(event);
        } else {
            textOf(pending) += textOf(event);
        }
    }
    flush();
    return out;
}

auto settled(const std::string& text) -> std::string
{
    static const auto id = std::regex("[0-9a-f]{24}");
    return std::regex_replace(text, id, "REQUEST-ID");
}

} // namespace

auto Session::ask(
    const std::string& path, const std::string& body, const RawHeaders& headers, const std::string& method) -> void
{
    auto all = headers;
    all.emplace_back("Connection", "close");
    auto caller = RawCaller(url_);
    caller.send(rawRequest(path, body, all, method));
    const auto& answer = caller.receiveAll();
    const auto headEnd = answer.find("\r\n\r\n");
    text_ += "> " + method + " " + path + "\n";
    for (const auto& [name, value] : headers)
        text_.append("> ").append(name).append(": ").append(value).append("\n");
    text_ += "> " + body + "\n";
    auto lines = std::istringstream(answer.substr(0, headEnd));
    auto chunked = false;
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.ends_with('\r'))
            line.pop_back();
        chunked = chunked || line == "Transfer-Encoding: chunked";
        if (!line.starts_with("Date: ") && !line.starts_with("Content-Length: "))
            text_ += "< " + settled(line) + "\n";
    }
    const auto content = answer.substr(headEnd + 4);
    const auto whole = chunked ? unchunked(content) : content;
    text_ += settled(whole.find("data: ") == std::string::npos ? whole : joined(whole)) + "\n\n";
}

} // namespace eelgrass::tests
