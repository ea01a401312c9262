#include "base/LogQueue.h"

#include <utility>

namespace eelgrass::log {

auto LogQueue::admits(std::size_t size, bool important, Moment now) -> bool
{
    constexpr auto reserve = 5;
    if (now - secondBegan_ >= Duration(1s)) {
        secondBegan_ = now;
        inSecond_ = 0;
    }
    const auto room = limits_.waitingBytes + (important ? limits_.waitingBytes / reserve : 0);
    if (waiting_ + size > room)
        return false;
    return important || ++inSecond_ <= limits_.linesPerSecond;
}

auto LogQueue::add(std::string line, bool important, Moment now) -> void
{
    flush();
    if (!admits(line.size(), important, now)) {
        ++leftOut_;
        ++untold_;
        return;
    }
    if (untold_ > 0) {
        const auto count = std::to_string(std::exchange(untold_, 0));
        lines_.push_back(
            R"({"level":"WARN","logger":"eelgrass","message":"log lines left out","context_map":{"count":")" + count
            + "\"}}\n");
        waiting_ += lines_.back().size();
    }
    waiting_ += line.size();
    lines_.push_back(std::move(line));
    flush();
}

auto LogQueue::flush() -> void
{
    while (!lines_.empty()) {
        const auto rest = std::string_view(lines_.front()).substr(sentOfFirst_);
        const auto taken = sink_(rest);
        waiting_ -= taken;
        if (taken < rest.size()) {
            sentOfFirst_ += taken;
            return;
        }
        sentOfFirst_ = 0;
        lines_.pop_front();
    }
}

} // namespace eelgrass::log
