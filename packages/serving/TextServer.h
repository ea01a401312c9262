#pragma once

#include "router/Metrics.h"
#include "serving/CallerConnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace eelgrass::serving {

/// An HTTP server for small text responses such as readiness and metrics.
class TextServer {
public:
    struct Answer {
        int status = 200;
        std::string text;
    };
    using Handler = std::function<Answer(std::string_view path)>;

    TextServer(TimerService& timers, const Endpoint& endpoint, Handler handler);

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return listener_.port(); }

private:
    auto accept(wire::ObjectPtr<GSocket> socket) -> void;

    TimerService& timers_;
    Handler handler_;
    std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
    wire::TcpListener listener_;
};

/// Serves the metrics of this process at every path. Returns null for port 0, and if listening on the address fails, in
/// which case the process runs without a metrics endpoint.
[[nodiscard]] auto serveMetrics(TimerService& timers, const Endpoint& endpoint, const router::Metrics& metrics)
    -> std::unique_ptr<TextServer>;

} // namespace eelgrass::serving
