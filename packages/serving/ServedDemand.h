#pragma once

#include "base/Clock.h"
#include "decisions/ServiceKey.h"
#include "decisions/UnservedDemand.h"
#include "router/Metrics.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// Records for which adapters, shared prefixes, sessions and kinds of request an entry has not served any request
/// lately, in logs and metrics.
///
/// ```cpp
/// record.note({ .served = false, .at = now, .reason = "not in time" }, { { Kind::Adapter, "a12" } });
/// ```
class ServedDemand {
public:
    /// How a request ended.
    struct Ended {
        bool served = false;
        Moment at {};
        /// Why it was not served.
        std::string_view reason {};
    };

    explicit ServedDemand(router::Metrics& metrics);

    /// Records that a request with these keys ended. Keys without a name are passed over.
    auto note(const Ended& ended, const std::vector<decisions::ServiceKey>& keys) -> void;
    /// To be called at an interval: forgets the keys that are no longer requested.
    auto expire(Moment now) -> void;

private:
    auto noteServed(const decisions::ServiceKey& key, Moment now) -> void;
    auto noteUnserved(const decisions::ServiceKey& key, const Ended& ended) -> void;
    auto showUnserved(const decisions::ServiceKey& key, const decisions::UnservedRequests& requests) -> void;
    auto hideUnserved(const decisions::ServiceKey& key) -> void;

    router::Metrics& metrics_;
    decisions::UnservedDemand<decisions::ServiceKey> unserved_;
    /// Requests served so far, and how many that were when the first unserved request with each key ended.
    std::uint64_t served_ = 0;
    std::map<decisions::ServiceKey, std::uint64_t> servedBefore_;
};

} // namespace eelgrass::serving
