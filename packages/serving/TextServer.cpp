#include "serving/TextServer.h"

#include "base/Log.h"
#include "serving/CallerExchange.h"

namespace eelgrass::serving {

TextServer::TextServer(TimerService& timers, const Endpoint& endpoint, Handler handler)
    : timers_(timers)
    , handler_(std::move(handler))
    , listener_(endpoint.address, endpoint.port, [this](auto socket) { accept(std::move(socket)); })
{
}

auto TextServer::accept(wire::ObjectPtr<GSocket> socket) -> void
{
    auto onRequest = [this](const std::shared_ptr<CallerExchange>& exchange, const wire::HttpRequestMessage& request) {
        auto answer = handler_(request.path());
        auto head = wire::HttpResponseHead { .status = answer.status };
        head.fields.add("Content-Type", "text/plain; version=0.0.4");
        exchange->respond(std::move(head), answer.text);
    };
    auto connection = std::make_shared<CallerConnection>(timers_, std::move(socket), CallerLimits {},
        CallerConnection::Hooks { .onRequest = std::move(onRequest),
            .onClosed = [this](CallerConnection* closed) { connections_.erase(closed); } });
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
