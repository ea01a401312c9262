#pragma once

#include "serving/Types.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace eelgrass::serving {

/// Finds the route of a request: of its host, the longest prefix that begins the path.
class RouteTable {
public:
    RouteTable() = default;
    /// `configuration` must outlive the table.
    explicit RouteTable(const ServingConfiguration& configuration);

    /// Null when no route matches. A port behind the host's name does not count.
    [[nodiscard]] auto find(std::string_view host, std::string_view path) const -> const RouteRecord*;

private:
    /// By host, then by prefix; a path of n segments costs n look-ups however many routes there are.
    std::unordered_map<std::string, std::unordered_map<std::string, const RouteRecord*>> hosts_;
};

/// The service that takes a request, by the weights of the route's shares; one attempt always gets the same.
[[nodiscard]] auto pickService(const RouteRecord& route, const AttemptId& attempt) -> const ServiceName&;

} // namespace eelgrass::serving
