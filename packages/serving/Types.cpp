#include "serving/Types.h"

#include <limits>

namespace eelgrass::serving {

auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = wire::decimal(text.substr(colon + 1));
    if (!port || *port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return Endpoint { std::string(text.substr(0, colon)), static_cast<std::uint16_t>(*port) };
}

} // namespace eelgrass::serving
