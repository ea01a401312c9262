#pragma once

#include "base/Ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrass::decisions {

/// Something that a request shares with others, and with them may go without service.
struct ServiceKey {
    enum class Kind : std::uint8_t {
        Route,
        Adapter,
        /// The last part that prompts on a route share, with whichever adapter: clients ask about one subject through
        /// many adapters, and by the adapter each of them would have gone without too seldom to be owed anything.
        Prefix,
        /// A client's session on a route.
        Session,
    };

    Kind kind = Kind::Route;
    std::string name;

    friend auto operator<=>(const ServiceKey&, const ServiceKey&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// The keys of a request; `sharedPart` and `session` are 0 where the request has none.
[[nodiscard]] auto serviceKeys(const RequestClass& route, const AdapterId& adapter, std::uint64_t sharedPart,
    std::uint64_t session) -> std::vector<ServiceKey>;

[[nodiscard]] constexpr auto toString(ServiceKey::Kind kind) noexcept -> const char*
{
    switch (kind) {
    case ServiceKey::Kind::Route:
        return "route";
    case ServiceKey::Kind::Adapter:
        return "adapter";
    case ServiceKey::Kind::Prefix:
        return "prefix";
    case ServiceKey::Kind::Session:
        return "session";
    }
    return "";
}

} // namespace eelgrass::decisions
