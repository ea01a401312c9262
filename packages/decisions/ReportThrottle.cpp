#include "decisions/ReportThrottle.h"

#include <algorithm>
#include <bit>

namespace eelgrass::decisions {

namespace {

// Changes within this time are pushed together.
constexpr auto batchingDelay = Duration(50ms);
// Minimum interval between two pushes.
constexpr auto minInterval = Duration(1s);

// Levels of load: free, nearly full, and then one level for each doubling of the queue. Finer levels would not change
// where an entry sends its requests.
auto loadBand(const ReportThrottle::Summary& summary) -> int
{
    constexpr auto nearlyFull = 0.75;
    const auto batch = std::max<std::size_t>(1, summary.batchLimit);
    if (summary.work > batch)
        return 2 + static_cast<int>(std::bit_width((summary.work - batch) / batch));
    return static_cast<double>(summary.work) > nearlyFull * static_cast<double>(batch) ? 1 : 0;
}

} // namespace

auto ReportThrottle::due(const Summary& summary, Moment now) const -> std::optional<Duration>
{
    const auto same = summary.leaving == last_.leaving && summary.resident == last_.resident
        && loadBand(summary) == loadBand(last_);
    if (same)
        return std::nullopt;
    const auto left = sentAt_ ? *sentAt_ + minInterval - now : Duration(0);
    return std::max(batchingDelay, left);
}

auto ReportThrottle::sent(Summary summary, Moment now) -> void
{
    last_ = std::move(summary);
    sentAt_ = now;
}

} // namespace eelgrass::decisions
