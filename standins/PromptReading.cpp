#include "standins/PromptReading.h"

#include "wire/HttpHead.h"

#include <algorithm>

namespace eelgrass::standins {

namespace {

constexpr auto maxKept = std::size_t(64);

} // namespace

auto PromptReading::keep(const std::string& part) -> bool
{
    const auto found = std::find(kept_.begin(), kept_.end(), part);
    const auto known = found != kept_.end();
    if (known)
        kept_.erase(found);
    kept_.push_back(part);
    if (kept_.size() > maxKept)
        kept_.pop_front();
    return known;
}

auto PromptReading::read(const std::string& adapter, std::string_view parts, double tokensPerMillisecond, Moment now)
    -> Duration
{
    auto unread = std::uint64_t(0);
    auto chain = adapter;
    auto allKept = true;
    while (!parts.empty()) {
        const auto end = std::min(parts.find(','), parts.size());
        const auto part = parts.substr(0, end);
        const auto last = end == parts.size();
        parts.remove_prefix(last ? end : end + 1);
        chain += ',' + std::string(part);
        allKept = !last && keep(chain) && allKept;
        const auto colon = part.find(':');
        if (!allKept && colon != std::string_view::npos)
            unread += wire::decimal(part.substr(colon + 1)).value_or(0);
    }
    freeAt_ = std::max(freeAt_, now)
        + std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(static_cast<double>(unread) / tokensPerMillisecond));
    return freeAt_ - now;
}

} // namespace eelgrass::standins
