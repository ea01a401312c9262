#include "decisions/ServiceKey.h"

namespace eelgrass::decisions {

auto serviceKeys(const RequestClass& route, const AdapterId& adapter, std::uint64_t sharedPart, std::uint64_t session)
    -> std::vector<ServiceKey>
{
    using Kind = ServiceKey::Kind;
    auto keys = std::vector<ServiceKey>();
    const auto ofRoute = [&](std::uint64_t number) { return route.str() + " " + std::to_string(number); };
    if (!route.empty())
        keys.push_back({ Kind::Route, route.str() });
    if (!adapter.empty())
        keys.push_back({ Kind::Adapter, adapter.str() });
    if (sharedPart != 0)
        keys.push_back({ Kind::Prefix, ofRoute(sharedPart) });
    if (session != 0)
        keys.push_back({ Kind::Session, ofRoute(session) });
    return keys;
}

} // namespace eelgrass::decisions
