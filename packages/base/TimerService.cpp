#include "base/TimerService.h"

#include <algorithm>

namespace eelgrass {

auto Timer::active() const noexcept -> bool { return service_ && service_->isPending(key_); }

auto Timer::cancel() noexcept -> void
{
    if (!service_)
        return;
    auto& service = *std::exchange(service_, nullptr);
    // A periodic timer is filed anew under each due time; its id stays.
    auto moved = service.moved_.find(key_.second);
    if (moved != service.moved_.end()) {
        key_ = moved->second;
        service.moved_.erase(moved);
    }
    service.entries_.erase(key_);
}

auto TimerService::add(Moment due, Entry entry) -> Timer::Key
{
    auto earlier = due < nextDue();
    auto key = Timer::Key(due, nextId_++);
    entries_.emplace(key, std::make_shared<Entry>(std::move(entry)));
    if (earlier && onEarlier_)
        onEarlier_();
    return key;
}

auto TimerService::after(Duration delay, Callback callback) -> Timer
{
    return { *this, add(now() + delay, { std::move(callback), {} }) };
}

auto TimerService::every(Duration period, Callback callback) -> Timer
{
    return { *this, add(now() + period, { std::move(callback), period }) };
}

auto TimerService::runDue() -> void
{
    const auto present = now();
    while (!entries_.empty() && entries_.begin()->first.first <= present) {
        auto key = entries_.begin()->first;
        auto entry = entries_.begin()->second;
        entries_.erase(entries_.begin());
        if (entry->period.count() > 0) {
            // After a pause of the process the beats that were missed are not made up for.
            auto next = Timer::Key(std::max(key.first + entry->period, present + Duration(1)), key.second);
            entries_.emplace(next, entry);
            moved_[key.second] = next;
        }
        entry->callback();
    }
}

auto TimerService::nextDue() const noexcept -> Moment
{
    return entries_.empty() ? Moment::max() : entries_.begin()->first.first;
}

} // namespace eelgrass
