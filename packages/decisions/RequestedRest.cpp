#include "decisions/RequestedRest.h"

#include <algorithm>

namespace eelgrass::decisions {

auto RequestedRest::ask(Duration length, Duration startDelay, Moment now) noexcept -> bool
{
    const auto end = now + std::clamp(length, Duration(0), maxRest);
    if (end <= now || (end_ && end <= *end_))
        return false;
    end_ = end;
    startDelay_ = startDelay;
    sends_ = 0;
    return true;
}

auto RequestedRest::sendsWithin(Duration::rep stepsBegun) noexcept -> std::size_t
{
    return firstSends * ((std::size_t(1) << static_cast<std::size_t>(stepsBegun)) - 1);
}

auto RequestedRest::sendsFrom(Moment now) const noexcept -> Moment
{
    if (!end_)
        return now;
    const auto start = *end_ + startDelay_;
    if (now < start)
        return start;
    const auto begun = (now - start) / step + 1;
    if (begun > steps || sends_ < sendsWithin(begun))
        return now;
    return start + begun * step;
}

auto RequestedRest::recordSend(Moment now) noexcept -> void
{
    if (end_ && now < *end_ + startDelay_ + steps * step)
        ++sends_;
}

auto RequestedRest::startDelay(Duration length, std::size_t hosts, double position) noexcept -> Duration
{
    const auto spread = std::min(spreadPerHost * static_cast<Duration::rep>(hosts), length / 2);
    return std::chrono::duration_cast<Duration>(spread * std::clamp(position, 0.0, 1.0));
}

} // namespace eelgrass::decisions
