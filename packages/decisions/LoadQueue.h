#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrass::decisions {

/// The load that a target wants to perform next.
struct LoadRequest {
    TargetId target;
    /// Sum of the class weights of all requests that wait for the adapter.
    double weight = 0;
    /// Arrival of the request that has waited longest.
    Moment oldestAt {};
};

/// Priority of a load: the weight of the waiting requests multiplied by the square of the longest wait. When the
/// priority was linear in the wait, a single draft waited several times as long as the median request.
[[nodiscard]] auto loadPriority(double weight, Moment oldestAt, Moment now) -> double;

/// Orders the loads from one weight store. One entry holds the queue for all targets.
///
/// Designed for many targets with a missing adapter at once, while the store serves only one load at full speed. The
/// queue prevents loads from slowing each other down, and many callers from waiting behind a load for a single one. It
/// grants one load at a time, because a second one would make both slower. A grant expires, so that a lost target or
/// answer blocks the other targets for no longer than four loads take. The queue is advisory: if two entries hold a
/// queue at the same time, loads are slower but still correct.
///
/// ```cpp
/// queue.enqueue({ target, weight, oldest });
/// for (const auto& target : queue.grants(now)) ...
/// ```
class LoadQueue {
public:
    static constexpr auto grantDuration = Duration(2s);

    /// Adds the load request of a target, or replaces its previous one.
    auto enqueue(LoadRequest request) -> void;
    auto withdraw(const TargetId& target) -> void { requests_.erase(target); }
    /// Ends the grant of the target after its load succeeded or failed.
    auto release(const TargetId& target) -> void;
    /// Returns the targets that may load now; each grant is returned once.
    [[nodiscard]] auto grants(Moment now) -> std::vector<TargetId>;
    [[nodiscard]] auto waiting() const noexcept -> std::size_t { return requests_.size(); }
    /// When the current grant expires; no value if there is none.
    [[nodiscard]] auto grantExpiresAt() const -> std::optional<Moment>;

private:
    struct Grant {
        TargetId target;
        Moment expiresAt {};
    };
    std::map<TargetId, LoadRequest> requests_;
    std::optional<Grant> grant_;
};

/// Limits the loads of one target to its share of the weight store's rate while no load queue can be reached.
///
/// Designed for an outage of entries during a burst. Two loads may start without a delay between them, since most
/// outages are short and most targets are idle; further loads are limited to the share, so that all targets together
/// stay within the store's rate.
class LoadRateLimiter {
public:
    LoadRateLimiter(double loadsPerSecond, std::size_t targets) noexcept
        : perSecond_(loadsPerSecond / static_cast<double>(targets))
    {
    }

    /// Whether a load may start now. Counts the load if it may.
    [[nodiscard]] auto take(Moment now) -> bool;

private:
    static constexpr auto burst = 2.0;
    double perSecond_;
    double tokens_ = burst;
    Moment refilledAt_ {};
};

} // namespace eelgrass::decisions
