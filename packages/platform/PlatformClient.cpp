#include "platform/PlatformClient.h"

#include "base/JsonText.h"

#include <kj/debug.h>

namespace eelgrass::platform {

namespace {

constexpr auto connections = 32U;
// Longer than the slowest answer that is still of use; a connection silent for longer is taken for lost.
constexpr auto silenceSeconds = 5U;

auto escape(const std::string& key) -> std::string
{
    auto* escaped = g_uri_escape_string(key.c_str(), "/", FALSE);
    auto text = std::string(escaped);
    g_free(escaped);
    return text;
}

auto parsed(const wire::HttpResponse& response) -> Json
{
    KJ_REQUIRE(response.status == 200, "the platform refused", response.status);
    auto body = parseJson(response.body);
    KJ_REQUIRE(!body.is_discarded(), "the platform's answer is not JSON");
    return body;
}

auto rowFrom(std::string key, const Json& json) -> Row
{
    return { std::move(key), json.at("version").get<std::uint64_t>(), json.at("value") };
}

auto hostFrom(const Json& json) -> HostRecord
{
    return {
        .target = TargetId(json.at("target").get<std::string>()),
        .zone = AvailabilityZone(json.value("availability_zone", "")),
        .serves = json.value("serves", ""),
        .address = json.at("address").get<std::string>(),
        .port = json.at("port").get<std::uint16_t>(),
        .leaving = json.value("state", "live") == "leaving",
    };
}

} // namespace

PlatformClient::PlatformClient(const std::string& address, std::uint16_t port)
    : base_("http://" + address + ":" + std::to_string(port))
    , http_(connections, silenceSeconds)
{
}

auto PlatformClient::read(std::string key) -> kj::Promise<Row>
{
    auto request = wire::HttpRequest { .url = url("/tables/row?key=" + escape(key)) };
    return http_.fetch(std::move(request)).then([key = std::move(key)](wire::HttpResponse response) {
        if (response.status == 404)
            return Row { key, 0, nullptr };
        return rowFrom(key, parsed(response));
    });
}

auto PlatformClient::list(std::string prefix) -> kj::Promise<std::vector<Row>>
{
    return http_.fetch({ .url = url("/tables/rows?prefix=" + escape(prefix)) }).then([](wire::HttpResponse response) {
        auto rows = std::vector<Row>();
        const auto body = parsed(response);
        for (const auto& row : body.at("rows"))
            rows.push_back(rowFrom(row.at("key").get<std::string>(), row));
        return rows;
    });
}

auto PlatformClient::commit(Transaction transaction) -> kj::Promise<bool>
{
    auto body = Json { { "require", Json::array() }, { "write", Json::array() }, { "delete", transaction.remove } };
    for (const auto& condition : transaction.require)
        body["require"].push_back({ { "key", condition.key }, { "version", condition.version } });
    for (auto& write : transaction.write)
        body["write"].push_back({ { "key", write.key }, { "value", std::move(write.value) } });
    auto request = wire::HttpRequest { .method = "POST", .url = url("/tables/transactions"), .body = body.dump() };
    return http_.fetch(std::move(request)).then([](wire::HttpResponse response) {
        if (response.status == 409)
            return false;
        parsed(response);
        return true;
    });
}

auto PlatformClient::putObject(std::string key, std::string data) -> kj::Promise<void>
{
    auto request
        = wire::HttpRequest { .method = "PUT", .url = url("/objects?key=" + escape(key)), .body = std::move(data) };
    return http_.fetch(std::move(request)).then([](wire::HttpResponse response) { parsed(response); });
}

auto PlatformClient::getObject(std::string key) -> kj::Promise<std::optional<std::string>>
{
    return http_.fetch({ .url = url("/objects?key=" + escape(key)) })
        .then([](wire::HttpResponse response) -> std::optional<std::string> {
            if (response.status == 404)
                return std::nullopt;
            KJ_REQUIRE(response.status == 200, "the platform refused", response.status);
            return std::move(response.body);
        });
}

auto PlatformClient::hosts() -> kj::Promise<std::optional<std::vector<HostRecord>>>
{
    auto request = wire::HttpRequest { .url = url("/hosts") };
    if (!hostsTag_.empty())
        request.headers.emplace_back("If-None-Match", hostsTag_);
    return http_.fetch(std::move(request)).then([this](wire::HttpResponse response) {
        constexpr auto notModified = 304;
        if (response.status == notModified)
            return std::optional<std::vector<HostRecord>>();
        auto hosts = std::vector<HostRecord>();
        const auto body = parsed(response);
        for (const auto& host : body.at("hosts"))
            hosts.push_back(hostFrom(host));
        hostsTag_ = response.etag;
        return std::optional(std::move(hosts));
    });
}

} // namespace eelgrass::platform
