#pragma once

#include "base/Clock.h"

#include <optional>

namespace eelgrass::decisions {

/// Decides whether a replica that the platform's list no longer names is gone, or whether its registration only expired
/// while the platform's store was unavailable.
///
/// Designed for replicas that are replaced two at a time, some of which leave without notice, while gateway entries
/// restart or regain access to the platform's store. Registrations of live replicas expire during an outage of the
/// store. Treating these replicas as gone would cause every request to be refused for two seconds, so replicas that are
/// not listed count as present during a grace period after the store's return. A grace period for all replicas is no
/// solution: an entry that had just started took its first reading for the end of an outage, and for up to three
/// seconds sent requests to replicas that had left.
///
/// A replica that was listed since the store returned and is no longer listed has left. The grace period covers only
/// replicas known from before the outage, and only if the store was unavailable to all entries; if the store served
/// other entries meanwhile, no registration expired. Without the latter condition, an entry that was the only one
/// refused by the store continued, for 3.0 s after the store served it again, to use replicas that had left.
///
/// ```cpp
/// grace.lost(now);
/// grace.servedElsewhere(peersReading);
/// grace.regained(now);
/// if (grace.gone(replica.listedAt(), now)) remove(replica);
/// ```
class ExpiryGrace {
public:
    /// Records that the store does not answer; only the first call of an outage sets its start.
    auto lost(Moment now) noexcept -> void
    {
        if (!lostAt_)
            lostAt_ = now;
    }
    /// Records that another entry read the list at `readAt`. Only a reading after this entry lost access to the store
    /// proves that the store still serves other entries. When an earlier reading was accepted as proof, the last
    /// reading before an outage that affected all entries disabled the grace period, and live replicas whose
    /// registrations had expired counted as gone.
    auto servedElsewhere(Moment readAt) noexcept -> void
    {
        if (!lostAt_ || readAt > *lostAt_)
            servedElsewhereAt_ = readAt;
    }
    /// Records that the store answers again, or for the first time.
    auto regained(Moment now) noexcept -> void
    {
        if (!servedElsewhereAt_ || now - *servedElsewhereAt_ > evidenceLifetime)
            regainedAt_ = now;
        lostAt_.reset();
    }
    /// Whether a replica that the reading at `now` does not name is gone. `listedAt` is the time of the last reading
    /// that named it; no value if it is known only from a peer.
    [[nodiscard]] auto gone(std::optional<Moment> listedAt, Moment now) const noexcept -> bool
    {
        return now - regainedAt_ > gracePeriod || (listedAt && *listedAt >= regainedAt_);
    }

private:
    // Registrations that expired during an outage of the store are renewed within two seconds of its return, according
    // to the deployment's operators.
    static constexpr auto gracePeriod = Duration(2000ms);
    // How long another entry's reading proves that the store serves other entries. Peers are polled once a second
    // during an outage of the store, and a silent peer is detected within 1.5 s more.
    static constexpr auto evidenceLifetime = Duration(3s);

    Moment regainedAt_ {};
    std::optional<Moment> lostAt_;
    std::optional<Moment> servedElsewhereAt_;
};

} // namespace eelgrass::decisions
