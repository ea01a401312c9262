#pragma once

#include "serving/Types.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrass::serving {

/// Finds the route of a request by its host and the longest matching path prefix.
class RouteTable {
public:
    RouteTable() = default;
    /// `configuration` must outlive the table.
    explicit RouteTable(const ServingConfiguration& configuration);

    /// The route; null if none matches. A port in `host` is ignored.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const RouteRecord*;

private:
    /// By host, then by prefix. A path of n segments takes n lookups, whatever the number of routes.
    std::unordered_map<std::string, std::unordered_map<std::string, const RouteRecord*>> hosts_;
};

/// Chooses a service by the weights of the route's shares. The choice depends only on the attempt's id, so retries get
/// the same service.
[[nodiscard]] auto pickService(const RouteRecord& route, const AttemptId& attempt) -> const ServiceName&;

} // namespace eelgrass::serving
