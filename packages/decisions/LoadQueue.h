#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrass::decisions {

/// What a target would load next, for whom.
struct LoadRequest {
    TargetId target;
    /// Weights of the classes of all requests that wait for this adapter, added up.
    double weight = 0;
    /// Arrival of the one that waits longest.
    Moment oldestAt {};
};

/// Worth of a load: the weights of those who wait, times the square of the longest wait. Squared, because with the
/// plain age a lone draft waited several times as long as the median caller.
[[nodiscard]] auto loadPriority(double weight, Moment oldestAt, Moment now) -> double;

/// The order of loads from one weight store, as the entry that holds the queue decides it.
///
/// Load made for: many targets that miss at once, while the store runs only one load at full speed.
/// Harm prevented: loads that slow each other down, and many callers who wait behind a load for one.
/// Limits: one load at a time, because a second makes both slower; a grant ends by itself, so that a lost target or
/// answer stops the others for no longer than four loads. The queue is advisory: held twice, loads are slower, not
/// wrong.
///
/// ```cpp
/// queue.ask({ target, weight, oldest });
/// for (const auto& target : queue.grants(now)) ...
/// ```
class LoadQueue {
public:
    static constexpr auto grantLasts = Duration(2s);

    /// Puts or replaces the ask of a target; each has one.
    auto ask(LoadRequest ask) -> void;
    auto withdraw(const TargetId& target) -> void { asks_.erase(target); }
    /// The load of a granted turn ended, well or not.
    auto release(const TargetId& target) -> void;
    /// Targets whose turn has come; each is told once.
    [[nodiscard]] auto grants(Moment now) -> std::vector<TargetId>;
    [[nodiscard]] auto waiting() const noexcept -> std::size_t { return asks_.size(); }
    /// When an unreleased grant ends by itself; empty when none is out.
    [[nodiscard]] auto grantExpiresAt() const -> std::optional<Moment>;

private:
    struct Grant {
        TargetId target;
        Moment endsAt {};
    };
    std::map<TargetId, LoadRequest> asks_;
    std::optional<Grant> grant_;
};

/// Paces the loads of one target while no load queue can be reached: its share of what the store gives to all.
///
/// Load made for: an outage of entries during a burst. Two loads may follow each other at once, since most outages are
/// short and most targets idle; after that the share holds, so that all targets together stay within the store's rate.
class LoadRateLimiter {
public:
    LoadRateLimiter(double loadsPerSecond, std::size_t targets) noexcept
        : perSecond_(loadsPerSecond / static_cast<double>(targets))
    {
    }

    /// Whether a load may start now; counts it when it may.
    [[nodiscard]] auto take(Moment now) -> bool;

private:
    static constexpr auto atOnce = 2.0;
    double perSecond_;
    double saved_ = atOnce;
    Moment at_ {};
};

} // namespace eelgrass::decisions
