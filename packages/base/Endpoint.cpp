#include "base/Endpoint.h"

#include <charconv>

namespace eelgrass {

auto parseEndpoint(std::string_view text) -> std::optional<Endpoint>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    const auto digits = text.substr(colon + 1);
    auto port = std::uint16_t(0);
    const auto* end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, port);
    if (digits.empty() || error != std::errc() || stop != end)
        return std::nullopt;
    return Endpoint { std::string(text.substr(0, colon)), port };
}

} // namespace eelgrass
