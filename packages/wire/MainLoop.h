#pragma once

#include "base/DeferredCalls.h"
#include "base/TimerService.h"

#include <glib.h>
#include <kj/async.h>

#include <functional>
#include <memory>
#include <utility>

namespace eelgrass::wire {

namespace detail {

/// Lets KJ's event loop run inside GLib's: a runnable KJ loop becomes a pending GLib source.
class GlibEventPort final : public kj::EventPort {
public:
    GlibEventPort();
    ~GlibEventPort() noexcept(false);
    KJ_DISALLOW_COPY(GlibEventPort);

    auto wait() -> bool override;
    auto poll() -> bool override;
    auto setRunnable(bool runnable) -> void override;
    auto loop() noexcept -> kj::EventLoop& { return loop_; }

private:
    static auto dispatch(gpointer self) -> gboolean;

    kj::EventLoop loop_;
    guint source_ = 0;
    /// Inside a promise's `wait`, which takes the turns itself.
    bool waiting_ = false;
};

} // namespace detail

/// The one loop on the one thread of a process: GLib sources, KJ promises and timers.
///
/// ```cpp
/// auto loop = MainLoop();
/// loop.spawn(server.run());
/// return loop.run();
/// ```
class MainLoop final : private kj::TaskSet::ErrorHandler {
public:
    explicit MainLoop(TimerService::Clock clock = eelgrass::now);
    ~MainLoop() noexcept(false);
    KJ_DISALLOW_COPY(MainLoop);

    /// Runs until `quit`; returns the code given there.
    auto run() -> int;
    auto quit(int code = 0) -> void;
    /// Quits behind all promises that can run now, so that the messages they send to other processes have reached the
    /// kernel.
    auto quitWhenFlushed() -> void;

    [[nodiscard]] auto timers() noexcept -> TimerService& { return timers_; }
    /// A promise that is kept after `delay`.
    [[nodiscard]] auto sleep(Duration delay) -> kj::Promise<void>;
    /// Keeps a promise alive to its end; a failure is logged.
    auto spawn(kj::Promise<void> task) -> void;
    /// Destroys `held` after the callback at hand has returned. A promise that is destroyed from within its own
    /// callback ends the process.
    template <typename T> auto releaseLater(T held) -> void
    {
        deferred_.add([kept = std::make_shared<T>(std::move(held))] {});
    }
    /// Calls `handler` on SIGTERM and SIGINT.
    auto onStopSignal(std::function<void()> handler) -> void;
    /// Calls `handler` on SIGHUP, which ends a process that has no handler for it.
    auto onReloadSignal(std::function<void()> handler) -> void;

    /// Runs the loop until `promise` is settled; for tests and short programs, never inside a callback.
    template <typename T> auto wait(kj::Promise<T> promise) { return promise.wait(scope_); }

private:
    auto taskFailed(kj::Exception&& exception) -> void override;
    auto scheduleTimers() -> void;

    detail::GlibEventPort port_;
    kj::WaitScope scope_;
    std::unique_ptr<GMainLoop, decltype(&g_main_loop_unref)> loop_;
    TimerService timers_;
    DeferredCalls deferred_ { timers_ };
    guint timerSource_ = 0;
    std::function<void()> stopHandler_;
    std::function<void()> reloadHandler_;
    int exitCode_ = 0;
    kj::TaskSet tasks_;
};

} // namespace eelgrass::wire
