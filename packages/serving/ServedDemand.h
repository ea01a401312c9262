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
    struct Subject {
        std::string_view what;
        std::string name;

        [[nodiscard]] auto operator<(const Subject& other) const -> bool
        {
            return std::tie(what, name) < std::tie(other.what, other.name);
        }
    };

    explicit ServedDemand(router::Metrics& metrics);

    /// Records that a request for the subject ended, served or not.
    auto note(const Subject& subject, bool served, Moment now) -> void;
    /// To be called at an interval: forgets the subjects that are no longer requested.
    auto expire(Moment now) -> void;

private:
    auto noteServed(const Subject& subject, Moment now) -> void;
    auto noteUnserved(const Subject& subject, Moment now) -> void;
    auto showUnserved(const Subject& subject, const decisions::UnservedRequests& requests) -> void;
    auto hideUnserved(const Subject& subject) -> void;

    router::Metrics& metrics_;
    decisions::UnservedDemand<Subject> unserved_;
};

} // namespace eelgrass::serving
