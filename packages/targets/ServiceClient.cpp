#include "targets/ServiceClient.h"

namespace eelgrass::targets {

namespace {

constexpr auto connections = 256U;
// Calculations and archive look-ups answer whole, after minutes at most.
constexpr auto silenceSeconds = 300U;

} // namespace

ServiceClient::ServiceClient(const std::string& address, std::uint16_t port)
    : base_("http://" + address + ":" + std::to_string(port))
    , http_(connections, silenceSeconds)
{
}

auto ServiceClient::call(ServiceCall call) -> kj::Promise<kj::Own<wire::HttpStream>>
{
    auto request = wire::HttpRequest { .method = call.method, .url = base_ + call.path, .body = std::move(call.body) };
    if (!call.contentType.empty())
        request.contentType = call.contentType;
    request.once = call.once;
    request.headers = { { "X-Attempt-Id", call.attempt.str() } };
    return http_.open(std::move(request));
}

} // namespace eelgrass::targets
