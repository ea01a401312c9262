#pragma once

#include "platform/PlatformClient.h"
#include "router/Metrics.h"
#include "router/Settings.h"
#include "router/controllers/ConfigController.h"
#include "router/controllers/LedgerController.h"
#include "router/controllers/QuarantineController.h"
#include "router/controllers/TargetsController.h"
#include "router/entry/OperatorApi.h"
#include "router/filters/RequestFilters.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <optional>

namespace eelgrass::router {

/// An entry process, which serves callers and operators. It keeps no state whose loss would do harm.
class EntryRole {
public:
    EntryRole(wire::MainLoop& loop, EntrySettings settings);

    /// Connects the controllers to the platform.
    auto start() -> void;
    /// Stops gracefully. The entry reports that it is not ready and keeps serving for `balancer_delay_ms`, until the
    /// load balancer has noticed. Then it closes the listening socket, answers each request of which the kernel has
    /// received a byte, and quits the loop.
    auto stop() -> void;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return server_.port(); }

private:
    auto handleRequest(const wire::HttpExchangePtr& exchange) -> void;
    auto serveCaller(const wire::HttpExchangePtr& exchange) -> void;
    [[nodiscard]] auto status() const -> Json;
    [[nodiscard]] auto ready() const noexcept -> bool;
    /// Quits the loop if nothing is lost by it.
    auto endIfDrained() -> void;

    wire::MainLoop& loop_;
    EntrySettings settings_;
    Metrics metrics_;
    platform::PlatformClient platform_;
    ConfigController config_;
    TargetsController targets_;
    OperatorApi operatorApi_;
    LedgerController ledger_;
    QuarantineController quarantine_;
    RequestChain filters_;
    std::size_t activeCalls_ = 0;
    bool stopping_ = false;
    Timer stopTimer_;
    std::optional<Moment> drainUntil_;
    wire::HttpServer server_;
};

} // namespace eelgrass::router
