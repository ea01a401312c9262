#include "bench/slopes/Bed.h"

#include "base/Secrets.h"

#include <fstream>
#include <stdexcept>

namespace eelgrass::bench {

namespace {

constexpr auto members = 200;
constexpr auto zones = 5;
constexpr auto bases = 3;

auto padded(int number) -> std::string
{
    constexpr auto width = 5;
    auto digits = std::to_string(number);
    return std::string(width - std::min<std::size_t>(width, digits.size()), '0') + digits;
}

} // namespace

Bed::Bed(const std::string& folder)
    : folder_(folder)
{
}

auto Bed::startEntry(const std::string& name) -> void
{
    auto& entry = entries_[name];
    entry.relay = std::make_unique<CountingRelay>(deployment.platform().listeningPort());
    const auto file = folder_ + "/" + name + ".yaml";
    std::ofstream(file) << "name: " << name
                        << "\navailability_zone: zone-1\nplatform: { address: 127.0.0.1, port: " << entry.relay->port()
                        << " }\nsecret: " << tests::sharedSecret
                        << "\noperators: [{ name: operator, key_sha256: " << sha256Hex(tests::operatorKey) << " }]\n";
    entry.process = std::make_unique<tests::Process>(
        name, "eelgrassrouterd", std::vector<std::string> { "--role=entry", "--settings=" + file });
    entry.url = "http://127.0.0.1:" + std::to_string(entry.process->listeningPort());
    while (call(name, "GET", "/readyz", "").status != 200)
        pause(10ms);
}

auto Bed::platformBytes(const std::string& entry) const -> std::uint64_t { return entries_.at(entry).relay->bytes(); }

auto Bed::call(const std::string& entry, const std::string& method, const std::string& path, const std::string& body,
    const std::string& ifMatch) -> wire::HttpResponse
{
    auto request = wire::HttpRequest { .method = method, .url = entries_.at(entry).url + path, .body = body };
    request.headers = { { "Authorization", std::string("Bearer ") + tests::operatorKey } };
    if (!ifMatch.empty())
        request.headers.emplace_back("If-Match", ifMatch);
    return deployment.loop.wait(deployment.http.fetch(std::move(request)));
}

auto Bed::patch(const std::string& entry, std::uint64_t base, const Json& patch) -> void
{
    const auto answer
        = call(entry, "PATCH", "/admin/v1/config", patch.dump(), std::string(1, '"') + std::to_string(base) + '"');
    if (answer.status != 200)
        throw std::runtime_error("the patch was refused: " + answer.body);
}

auto Bed::awaitVersion(const std::string& entry, std::uint64_t version) -> void
{
    while (Json::parse(call(entry, "GET", "/admin/v1/status", "").body).at("config_version") < version)
        pause(20ms);
}

auto Bed::complete(const std::string& entry, const std::string& model, int tokens, const std::string& prompt)
    -> kj::Promise<void>
{
    const auto body = Json { { "model", model }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", true } };
    auto request = wire::HttpRequest { .method = "POST", .url = entries_.at(entry).url + "/v1/completions" };
    request.body = body.dump();
    request.headers = { { "Authorization", std::string("Bearer ") + tests::callerKey } };
    return deployment.http.fetch(std::move(request)).then([](wire::HttpResponse answer) {
        if (answer.status != 200)
            throw std::runtime_error("a request failed: " + answer.body);
    });
}

auto Bed::listHosts(const Json& hosts) -> void
{
    deployment.control(deployment.platformUrl() + "/standin/hosts", { { "hosts", hosts } });
}

auto adapterName(int index) -> std::string { return "adapter-" + padded(index); }

auto adaptersPatch(int first, int last) -> Json
{
    auto adapters = Json::object();
    for (auto index = first; index <= last; ++index) {
        const auto name = adapterName(index);
        adapters[name] = { { "base", "base-" + std::to_string(index % bases) }, { "in_force", 1 },
            { "allow", { "member-" + padded(index % members) } },
            { "versions", { { "1", { { "digest", sha256Hex(name) } } } } } };
    }
    return { { "adapters", adapters } };
}

auto silentHosts(int count) -> Json
{
    constexpr auto port = 9;
    auto hosts = Json::array();
    for (auto index = 0; index < count; ++index) {
        hosts.push_back(
            { { "target", "target-" + padded(index) }, { "availability_zone", "zone-" + std::to_string(index % zones) },
                { "serves", "base-" + std::to_string(index % bases) }, { "address", "127.0.0.1" }, { "port", port },
                { "state", "live" } });
    }
    return hosts;
}

} // namespace eelgrass::bench
