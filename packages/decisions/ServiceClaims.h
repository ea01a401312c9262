#pragma once

#include "decisions/ServiceRecord.h"

#include <cstddef>
#include <map>

namespace eelgrass::decisions {

/// The service that a request is owed because others that share one of its keys went without.
struct Claim {
    /// How overdue the service is, over all keys of the request.
    double level = 0;
    /// The key that is owed the most, and how overdue service to it is: 1 when it is due.
    ServiceKey key {};
    double keyLevel = 0;
    /// The first request with this key that was not served.
    Moment since = Moment::max();
    std::size_t missed = 0;

    [[nodiscard]] auto due() const noexcept -> bool { return keyLevel >= 1; }
};

/// Measures how overdue service is to a request, by what is known of those that share a key with it.
///
/// Designed for demand beyond what replicas can do. An order by what each request can bring now serves the same
/// requests each time, and those that are late by nature never. The measure is the same for everything that requests
/// share: routes, adapters, prefixes and sessions. Service is due to a key after some requests without any, or after
/// some time if there were several. The first bound keeps frequent keys at a share of their requests, the second one
/// rare keys at a time. Beyond the first bound only time counts, so that the key that waits the longest is the most
/// overdue, however often others ask.
///
/// ```cpp
/// if (claimOf(request.keys, now).due()) grantFirst(request);
/// ```
[[nodiscard]] auto claimOf(const RequestedKeys& keys, Moment now) -> Claim;

/// Remembers which keys were granted service at a replica.
///
/// What was told of a key with a request says nothing of the service that others with the key have got since. Without
/// this record, all requests of an overdue key that wait would go first, one after the other.
class GrantedKeys {
public:
    /// A request with these keys was granted; it counts as served until it is known whether it is.
    auto granted(const RequestedKeys& keys, Moment now) -> void;
    /// The request has begun to be answered, or is over.
    auto settled(const RequestedKeys& keys, Moment now) -> void;
    /// The keys that requests went without service with, and of which nothing has been granted since this one arrived.
    [[nodiscard]] auto ungranted(const RequestedKeys& keys, Moment arrivedAt) const -> RequestedKeys;

private:
    struct Grants {
        /// Granted and not settled.
        std::size_t open = 0;
        Moment lastAt {};
    };
    auto forgetOld(Moment now) -> void;

    std::map<ServiceKey, Grants> grants_;
};

} // namespace eelgrass::decisions
