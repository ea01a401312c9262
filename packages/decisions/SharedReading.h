#pragma once

#include "base/Clock.h"

#include <cstddef>

namespace eelgrass::decisions {

/// Timing by which the entries of one availability zone share one entry's readings of the platform's store.
///
/// Designed for dozens of entries, each of which must know the operator's configuration and the list of replicas within
/// a time bound, while every call to the store costs money. Without sharing, these entries would make more calls than
/// the rest of the system together. The reader reads the store, and the followers ask the reader, every quarter of the
/// bound, so that the followers' data is at most half the bound old. A follower stops relying on a reader that is
/// silent, or whose own reading is old, after five eighths of the bound; the rest of the bound is for a reading of the
/// follower's own and for requests that are already on their way.
///
/// ```cpp
/// if (now < sharing.coveredUntil(answeredAt, age)) return; // no own reading needed
/// ```
class SharedReading {
public:
    /// The role of an entry in reading the store for its zone.
    enum class Role {
        /// Reads the store for itself only.
        Alone,
        /// Reads the store and answers the other entries of the zone.
        Reader,
        /// Asks the reader of the zone.
        Follower,
    };

    /// With fewer entries in a zone, the shorter interval of the reader costs more calls than sharing saves.
    static constexpr auto fewestEntries = std::size_t(4);

    explicit constexpr SharedReading(Duration bound) noexcept
        : bound_(bound)
    {
    }

    /// Interval between the readings of an entry in the role `Alone`.
    [[nodiscard]] constexpr auto ownInterval() const noexcept -> Duration { return bound_ / 2; }
    /// Interval between the readings of a reader, and between the requests of each follower to it.
    [[nodiscard]] constexpr auto sharedInterval() const noexcept -> Duration { return bound_ / 4; }
    /// Until when a follower needs no reading of its own, after an answer received at `answeredAt` from a reading that
    /// was then `age` old.
    [[nodiscard]] constexpr auto coveredUntil(Moment answeredAt, Duration age) const noexcept -> Moment
    {
        constexpr auto eighths = 5;
        return answeredAt + bound_ * eighths / 8 - age;
    }

    /// Delay before a failed call to the store is retried; longer for a follower, which also learns from the reader.
    [[nodiscard]] static constexpr auto retryInterval(Role role) noexcept -> Duration
    {
        constexpr auto defaultInterval = Duration(500ms);
        constexpr auto followerInterval = Duration(2s);
        return role == Role::Follower ? followerInterval : defaultInterval;
    }
    /// How often a follower that the store refuses checks whether it is served again.
    static constexpr auto probeInterval = Duration(5s);

private:
    Duration bound_;
};

} // namespace eelgrass::decisions
