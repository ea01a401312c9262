#include "serving/TextServer.h"

#include "base/Log.h"

namespace eelgrass::serving {

TextServer::TextServer(TimerService& timers, const Endpoint& endpoint, Handler handler)
    : timers_(timers)
    , handler_(std::move(handler))
    , listener_(endpoint.address, endpoint.port, [this](auto socket) { accept(std::move(socket)); })
{
}

auto TextServer::accept(wire::ObjectPtr<GSocket> socket) -> void
{
    auto connection = std::make_shared<CallerConnection>(
        timers_, std::move(socket), CallerLimits {},
        [this](const std::shared_ptr<CallerConnection>& caller, wire::HttpRequestMessage request) {
            auto answer = handler_(request.path());
            auto head = wire::HttpResponseHead { .status = answer.status };
            head.fields.add("Content-Type", "text/plain; version=0.0.4");
            caller->respond(std::move(head), answer.text);
        },
        [this](CallerConnection* closed) { connections_.erase(closed); });
    connections_.emplace(connection.get(), connection);
    connection->start();
}

auto serveMetrics(TimerService& timers, const Endpoint& endpoint, const router::Metrics& metrics)
    -> std::unique_ptr<TextServer>
{
    if (endpoint.port == 0)
        return nullptr;
    try {
        return std::make_unique<TextServer>(timers, endpoint, [&metrics](std::string_view) {
            return TextServer::Answer { 200, metrics.text() };
        });
    } catch (const std::exception& error) {
        log::warn("metrics not served", { { "reason", error.what() } });
        return nullptr;
    }
}

} // namespace eelgrass::serving
