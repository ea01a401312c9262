#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace eelgrass::decisions {

/// Limits of the retries that all entries together may send for one service. The values come from the settings; the
/// defaults fit a small deployment.
struct RetryBounds {
    /// Share of a bound that is used. The rest covers retries that arrive later than they were counted.
    static constexpr auto usableShare = 0.95;

    /// Retries per request.
    double ratio = 0.2;
    /// Additional retries per window.
    double slack = 50;
    Duration window = 10s;

    friend auto operator==(const RetryBounds&, const RetryBounds&) -> bool = default;
};

/// A decision on a retry, with the figures that it is based on.
struct RetryDecision {
    bool granted = false;
    /// What whoever decided has counted in the last window, without this retry.
    std::size_t requests = 0;
    std::size_t retries = 0;
    /// Number of retries that were left, at most.
    double left = 0;
};

/// The retries of one service that one entry has earned by the requests that it received.
///
/// Designed for entries that are killed, restarted or out of each other's sight while many requests fail. No entry
/// knows what the others have sent, or what its own predecessor has sent. In every window the retries that an entry
/// grants stay within `ratio` times the requests that it received in one and the same other window, which begins half a
/// window earlier. Every request is received by one process, so the sum over all processes keeps the same bound.
///
/// The window that is half a window off allows a burst: half of what a window earns can be spent at once.
///
/// ```cpp
/// earned.received(now);
/// if (earned.take(now).granted) ...
/// ```
class EarnedRetries {
public:
    explicit EarnedRetries(const RetryBounds& bounds = {}) noexcept
        : bounds_(bounds)
    {
    }

    /// Records a request of a client for the service.
    auto received(Moment now) noexcept -> void;
    /// Number of retries that may be sent now.
    [[nodiscard]] auto left(Moment now) noexcept -> double;
    /// Counts the retry if it is granted.
    [[nodiscard]] auto take(Moment now) noexcept -> RetryDecision;

private:
    using SlotIndex = std::int64_t;
    /// Requests and retries are counted in slots of time. A slot that only partly belongs to a window of requests does
    /// not count; one that partly belongs to a window of retries does.
    struct Slot {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    static constexpr auto slotsPerWindow = SlotIndex(100);
    static constexpr auto halfWindow = slotsPerWindow / 2;
    /// The windows of retries that a new retry belongs to reach one window back, and theirs of requests half a window
    /// further.
    static constexpr auto keptSlots = slotsPerWindow + halfWindow + 1;

    /// Empties the slots that have passed since the last call, and makes the slot of `now` the newest one.
    auto advance(Moment now) noexcept -> void;
    [[nodiscard]] auto slot(SlotIndex index) noexcept -> Slot&
    {
        return slots_[static_cast<std::size_t>(index % keptSlots)];
    }
    RetryBounds bounds_;
    std::array<Slot, static_cast<std::size_t>(keptSlots)> slots_ {};
    SlotIndex newest_ = 0;
};

} // namespace eelgrass::decisions
