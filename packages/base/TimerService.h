#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace eelgrass {

class TimerService;

/// A subscription to the timer service; it ends with this object.
class Timer {
public:
    Timer() = default;
    Timer(Timer&& other) noexcept
        : service_(std::exchange(other.service_, nullptr))
        , key_(std::move(other.key_))
    {
    }
    auto operator=(Timer&& other) noexcept -> Timer&
    {
        std::swap(service_, other.service_);
        std::swap(key_, other.key_);
        return *this;
    }
    ~Timer() { cancel(); }

    /// Whether the callback is still to come: not any more once a timer of `after` has fired, nor within its callback.
    [[nodiscard]] auto active() const noexcept -> bool;
    auto cancel() noexcept -> void;

private:
    friend class TimerService;
    using Key = std::pair<Moment, std::uint64_t>;
    Timer(TimerService& service, Key key) noexcept
        : service_(&service)
        , key_(key)
    {
    }

    TimerService* service_ = nullptr;
    Key key_ {};
};

/// Timers that parts subscribe to, on the clock that it is given: the kernel's, or a test's virtual one.
///
/// ```cpp
/// timer_ = timers.every(1s, [this] { beat(); });
/// ```
class TimerService {
public:
    using Callback = std::function<void()>;
    using Clock = std::function<Moment()>;

    explicit TimerService(Clock clock = eelgrass::now)
        : clock_(std::move(clock))
    {
    }

    [[nodiscard]] auto now() const -> Moment { return clock_(); }
    [[nodiscard]] auto after(Duration, Callback) -> Timer;
    [[nodiscard]] auto every(Duration, Callback) -> Timer;

    /// Runs what is due, in the order of due times.
    auto runDue() -> void;
    /// When `runDue` next has something to run; `Moment::max()` for never.
    [[nodiscard]] auto nextDue() const noexcept -> Moment;
    /// Told whenever `nextDue` moves nearer.
    auto onEarlier(Callback callback) -> void { onEarlier_ = std::move(callback); }

private:
    friend class Timer;
    struct Entry {
        Callback callback;
        Duration period {};
    };
    auto add(Moment due, Entry) -> Timer::Key;
    [[nodiscard]] auto isPending(const Timer::Key& key) const noexcept -> bool
    {
        return entries_.contains(key) || moved_.contains(key.second);
    }

    Clock clock_;
    std::uint64_t nextId_ = 0;
    std::map<Timer::Key, std::shared_ptr<Entry>> entries_;
    std::map<std::uint64_t, Timer::Key> moved_;
    Callback onEarlier_;
};

} // namespace eelgrass
