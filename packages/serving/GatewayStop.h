#pragma once

#include "serving/CallerConnection.h"
#include "serving/GatewayContext.h"

#include <map>
#include <memory>

namespace eelgrass::serving {

/// The planned stop of an entry: closes its listener and idle connections in time, ends what is open when the stop runs
/// out, and ends the process with the last request.
///
/// ```cpp
/// stop_ = std::make_unique<GatewayStop>(gateway_, connections_, *clients_);
/// ```
class GatewayStop {
public:
    using Connections = std::map<CallerConnection*, std::shared_ptr<CallerConnection>>;

    /// Begins the stop.
    GatewayStop(GatewayContext& gateway, const Connections& connections, wire::TcpListener& listener);
    KJ_DISALLOW_COPY(GatewayStop);

private:
    auto check() -> void;
    auto closeIdle() -> void;
    auto endRequests() -> void;
    /// Logs what the connections that are left are doing.
    auto reportOpen() const -> void;
    auto end() -> void;

    GatewayContext& gateway_;
    const Connections& connections_;
    wire::TcpListener& listener_;
    decisions::StopSchedule schedule_;
    Moment reportedAt_;
    Timer timer_;
};

} // namespace eelgrass::serving
