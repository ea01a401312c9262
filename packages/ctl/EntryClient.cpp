#include "ctl/EntryClient.h"

#include "base/JsonText.h"

namespace eelgrass::ctl {

namespace {

// An accepted patch takes a few round trips to the platform; longer than this, an operator wants to hear of it.
constexpr auto silenceSeconds = 30U;

auto unquoted(std::string etag) -> std::string
{
    std::erase(etag, '"');
    return etag;
}

} // namespace

EntryClient::EntryClient(std::string url, std::string key)
    : http_(1, silenceSeconds)
    , url_(std::move(url))
    , key_(std::move(key))
{
    while (url_.ends_with('/'))
        url_.pop_back();
}

auto EntryClient::get(const std::string& path) -> EntryAnswer { return ask({ .url = path }); }

auto EntryClient::send(const std::string& method, const std::string& path) -> EntryAnswer
{
    return ask({ .method = method, .url = path });
}

auto EntryClient::patch(const Json& patch, const std::string& version) -> EntryAnswer
{
    return ask({ .method = "PATCH",
        .url = "config",
        .body = patch.dump(),
        .headers = { { "If-Match", '"' + version + '"' } } });
}

auto EntryClient::ask(wire::HttpRequest request) -> EntryAnswer
{
    request.url = url_ + "/admin/v1/" + request.url;
    request.headers.emplace_back("Authorization", "Bearer " + key_);
    auto asked = kj::evalNow([&] { return http_.fetch(std::move(request)); })
                     .then(
                         [](wire::HttpResponse response) {
                             auto body = parseJson(response.body);
                             return EntryAnswer { response.status, body.is_discarded() ? Json() : std::move(body),
                                 unquoted(std::move(response.etag)) };
                         },
                         [](kj::Exception&& lost) {
                             auto error = Json { { "type", "entry_away" }, { "step", "connect" },
                                 { "message", lost.getDescription().cStr() } };
                             return EntryAnswer { 0, { { "error", std::move(error) } }, "" };
                         });
    return loop_.wait(kj::mv(asked));
}

auto urlEscaped(const std::string& text) -> std::string
{
    auto* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    auto result = std::string(escaped);
    g_free(escaped);
    return result;
}

} // namespace eelgrass::ctl
