#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace eelgrass::decisions {

/// How often all entries together may send a request of one service a second time. The figures come from the settings;
/// these are the ones of a small deployment.
struct RetryBounds {
    /// Repeats for each first send.
    double ratio = 0.2;
    /// Repeats allowed beside, in one window.
    double slack = 50;
    Duration window = 10s;
};

/// One entry's share of the retry budget of one service, over a sliding window.
///
/// Load made for: replicas that refuse, crash or break off while many entries retry at once.
/// Harm prevented: entries that do not know of each other spending the common budget several times over. Each may use
/// the ratio of its own first sends and an equal part of the slack; a tenth is left unused, since the windows of two
/// entries do not end at the same moment.
///
/// ```cpp
/// budget.sent(now);
/// if (budget.take(now, entries)) ...
/// ```
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(RetryBounds bounds = {}) noexcept
        : bounds_(bounds)
    {
    }

    /// A request was sent for the first time.
    auto sent(Moment now) -> void { add(firsts_, now); }
    /// Whether one more repeat may be sent now; counts it when it may.
    [[nodiscard]] auto take(Moment now, std::size_t entries) -> bool
    {
        drop(repeats_, now);
        drop(firsts_, now);
        const auto share = bounds_.slack / static_cast<double>(std::max<std::size_t>(entries, 1));
        const auto allowed = unused * (bounds_.ratio * static_cast<double>(firsts_.size()) + share);
        if (static_cast<double>(repeats_.size()) + 1 > allowed)
            return false;
        add(repeats_, now);
        return true;
    }

private:
    static constexpr auto unused = 0.9;

    auto add(std::deque<Moment>& moments, Moment now) -> void
    {
        drop(moments, now);
        moments.push_back(now);
    }
    auto drop(std::deque<Moment>& moments, Moment now) const -> void
    {
        while (!moments.empty() && moments.front() + bounds_.window < now)
            moments.pop_front();
    }

    RetryBounds bounds_;
    std::deque<Moment> firsts_;
    std::deque<Moment> repeats_;
};

} // namespace eelgrass::decisions
