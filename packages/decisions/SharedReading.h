#pragma once

#include "base/Clock.h"

#include <cstddef>

namespace eelgrass::decisions {

/// How the entries of one availability zone share what one of them reads in the platform's store.
///
/// Load made for: dozens of entries, each of which must know within a bound what the operator and the list of replicas
/// say, while every call to the store is paid for.
/// Harm prevented: entries that each read for themselves ask more of the store than all else in the system together.
/// Reason for the limits: the reader reads, and the others ask it, every quarter of the bound, so that what they know
/// is at most half of it old. A reader that falls silent, or whose own reading gets old, is left after five eighths:
/// the rest is for one reading of one's own and for what is on its way by then.
///
/// ```cpp
/// if (now < sharing.coveredUntil(heardAt, age)) return; // no reading of one's own
/// ```
class SharedReading {
public:
    /// The part of an entry in reading the store for its zone.
    enum class Role {
        /// Reads the store for itself only.
        Alone,
        /// Reads the store and answers the other entries of the zone.
        Reader,
        /// Asks the reader of the zone.
        Follower,
    };

    /// With fewer entries in a zone the reader's shorter interval costs more calls than are saved.
    static constexpr auto fewestEntries = std::size_t(4);

    explicit constexpr SharedReading(Duration bound) noexcept
        : bound_(bound)
    {
    }

    /// Between two readings of one who reads for itself alone.
    [[nodiscard]] constexpr auto ownInterval() const noexcept -> Duration { return bound_ / 2; }
    /// Between two readings of one who reads for others, and between two questions of each of them.
    [[nodiscard]] constexpr auto sharedInterval() const noexcept -> Duration { return bound_ / 4; }
    /// Until when an answer that came at `heardAt`, of a reading `age` before that, spares a reading of one's own.
    [[nodiscard]] constexpr auto coveredUntil(Moment heardAt, Duration age) const noexcept -> Moment
    {
        constexpr auto eighths = 5;
        return heardAt + bound_ * eighths / 8 - age;
    }

    /// Delay before a failed call to the store is retried; longer for a follower, which also learns from the reader.
    [[nodiscard]] static constexpr auto retryInterval(Role role) noexcept -> Duration
    {
        constexpr auto usual = Duration(500ms);
        constexpr auto followers = Duration(2s);
        return role == Role::Follower ? followers : usual;
    }
    /// How often a follower that the store refuses checks whether it is served again.
    static constexpr auto probeInterval = Duration(5s);

private:
    Duration bound_;
};

} // namespace eelgrass::decisions
