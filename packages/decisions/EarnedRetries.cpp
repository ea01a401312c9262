#include "decisions/EarnedRetries.h"

#include <algorithm>
#include <limits>

namespace eelgrass::decisions {

auto EarnedRetries::advance(Moment now) noexcept -> void
{
    const auto length = std::max(bounds_.window / slotsPerWindow, Duration(1));
    // Slots are numbered from `keptSlots`, so that the oldest one that is looked at has no negative number.
    const auto current = keptSlots + static_cast<SlotIndex>(now.time_since_epoch() / length);
    if (current <= newest_)
        return;
    for (auto index = std::max(newest_ + 1, current - keptSlots + 1); index <= current; ++index)
        slot(index) = {};
    newest_ = current;
}

auto EarnedRetries::received(Moment now) noexcept -> void
{
    advance(now);
    ++slot(newest_).requests;
}

/// Retries that the fullest of all windows that contain `now` still has room for.
auto EarnedRetries::left(Moment now) noexcept -> double
{
    advance(now);
    auto requests = 0.0;
    for (auto index = newest_ - halfWindow + 1; index <= newest_; ++index)
        requests += slot(index).requests;
    auto retries = 0.0;
    auto least = std::numeric_limits<double>::infinity();
    for (auto first = newest_;; --first) {
        retries += slot(first).retries;
        least = std::min(least, RetryBounds::usableShare * bounds_.ratio * requests - retries);
        if (first == newest_ - slotsPerWindow)
            return least;
        // The next window begins one slot earlier, and so does its window of requests.
        if (first + halfWindow - 1 <= newest_)
            requests -= slot(first + halfWindow - 1).requests;
        requests += slot(first - halfWindow).requests;
    }
}

auto EarnedRetries::take(Moment now) noexcept -> RetryDecision
{
    auto decision = RetryDecision { .left = left(now) };
    for (auto index = newest_ - slotsPerWindow + 1; index <= newest_; ++index) {
        decision.requests += slot(index).requests;
        decision.retries += slot(index).retries;
    }
    decision.granted = decision.left >= 1;
    if (decision.granted)
        ++slot(newest_).retries;
    return decision;
}

} // namespace eelgrass::decisions
