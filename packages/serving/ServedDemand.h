#pragma once

#include "base/Clock.h"
#include "decisions/UnservedDemand.h"
#include "router/Metrics.h"

#include <string>
#include <string_view>
#include <tuple>

namespace eelgrass::serving {

/// Records for which adapters, shared prefixes and kinds of request an entry has not served any request lately, in logs
/// and metrics.
///
/// ```cpp
/// record.note({ ServedDemand::adapter, "a12" }, served, now);
/// ```
class ServedDemand {
public:
    static constexpr auto adapter = std::string_view("adapter");
    static constexpr auto prefix = std::string_view("prefix");
    static constexpr auto route = std::string_view("route");

    /// What a request asked for: one adapter, the last shared prefix of its prompt, or a route.
    struct Item {
        std::string_view what;
        std::string name;

        [[nodiscard]] auto operator<(const Item& other) const -> bool
        {
            return std::tie(what, name) < std::tie(other.what, other.name);
        }
    };

    explicit ServedDemand(router::Metrics& metrics);

    /// Records that a request for the item ended, served or not.
    auto note(const Item& item, bool served, Moment now) -> void;
    /// To be called at an interval: forgets the items that are no longer requested.
    auto expire(Moment now) -> void;

private:
    auto noteServed(const Item& item, Moment now) -> void;
    auto noteUnserved(const Item& item, Moment now) -> void;
    auto showUnserved(const Item& item, const decisions::UnservedRequests& requests) -> void;
    auto hideUnserved(const Item& item) -> void;

    router::Metrics& metrics_;
    decisions::UnservedDemand<Item> unserved_;
};

} // namespace eelgrass::serving
