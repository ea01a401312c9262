#pragma once

#include "base/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace eelgrass::decisions {

/// The rest that one start of a replica has asked this host for: until its end the host sends the replica nothing.
///
/// The latest end that any answer has asked for holds. Nothing ends a rest sooner: not an answer that asks for less, a
/// success, or a failure. A replica that refuses some of its requests still answers others, and an answer that was
/// under way says nothing about the rest that was asked for after it.
///
/// Designed for replicas that refuse requests because they are overloaded. If all hosts sent what they have at the end
/// of the rest, the replica would be overloaded again. A host therefore sends `firstSends` requests at first and twice
/// as many in each further step, and the hosts start at different moments.
///
/// ```cpp
/// rest.ask(3s, spread, now);
/// if (rest.allows(now)) { send(request); rest.recordSend(now); }
/// ```
class RequestedRest {
public:
    /// Longest rest that is granted. A replica that asks for more is asked again after this, so that one wrong answer
    /// does not exclude it for good.
    static constexpr auto maxRest = Duration(std::chrono::minutes(5));

    /// Applies a request for rest in an answer that arrived at `now`. `startDelay` is the time after the end of the
    /// rest at which this host sends again. Returns whether the end of the rest has moved.
    auto ask(Duration length, Duration startDelay, Moment now) noexcept -> bool;
    /// Whether the replica wants nothing from this host now.
    [[nodiscard]] auto resting(Moment now) const noexcept -> bool { return end_ && now < *end_; }
    /// When the last rest ends or has ended; empty if the replica has never asked for one.
    [[nodiscard]] auto end() const noexcept -> std::optional<Moment> { return end_; }
    /// When a request may be sent again, as far as is known now; the past if one may be sent now.
    [[nodiscard]] auto sendsFrom(Moment now) const noexcept -> Moment;
    /// Whether a request may be sent now.
    [[nodiscard]] auto allows(Moment now) const noexcept -> bool { return !end_ || sendsFrom(now) <= now; }
    auto recordSend(Moment now) noexcept -> void;

    /// Delay after the end of a rest of this length at which a host sends again, so that of many hosts which rest
    /// together a few send first. `position` places this host among them, from 0 to 1.
    [[nodiscard]] static auto startDelay(Duration length, std::size_t hosts, double position) noexcept -> Duration;

private:
    static constexpr auto firstSends = std::size_t(2);
    static constexpr auto step = Duration(100ms);
    static constexpr auto steps = 6;
    /// The delays of the hosts are spread over this time for each of them.
    static constexpr auto spreadPerHost = Duration(5ms);

    /// Number of sends after which the next step has to begin.
    [[nodiscard]] static auto sendsWithin(Duration::rep stepsBegun) noexcept -> std::size_t;

    std::optional<Moment> end_;
    Duration startDelay_ {};
    std::size_t sends_ = 0;
};

} // namespace eelgrass::decisions
