#include "serving/RouteTable.h"

#include <xxhash.h>

namespace eelgrass::serving {

RouteTable::RouteTable(const ServingConfiguration& configuration)
{
    for (const auto& route : configuration.routes)
        hosts_[route.host].emplace(route.prefix, &route);
}

auto RouteTable::find(std::string_view host, std::string_view path) const -> const RouteRecord*
{
    const auto routes = hosts_.find(std::string(host.substr(0, host.find(':'))));
    if (routes == hosts_.end())
        return nullptr;
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

auto pickService(const RouteRecord& route, const AttemptId& attempt) -> const ServiceName&
{
    auto total = std::uint64_t(0);
    for (const auto& share : route.shares)
        total += share.weight;
    if (total == 0)
        return route.shares.front().service;
    auto at = XXH3_64bits(attempt.str().data(), attempt.str().size()) % total;
    for (const auto& share : route.shares) {
        if (at < share.weight)
            return share.service;
        at -= share.weight;
    }
    return route.shares.back().service;
}

} // namespace eelgrass::serving
