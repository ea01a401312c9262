#include "wire/MainLoop.h"

#include "base/Log.h"

#include <glib-unix.h>

#include <algorithm>
#include <csignal>

namespace eelgrass::wire {

namespace detail {

namespace {

// A turn of KJ work is bounded so that sockets and timers are looked at between turns, however busy promises are.
constexpr auto eventsPerTurn = 1000U;

} // namespace

GlibEventPort::GlibEventPort()
    : loop_(*this)
{
}

GlibEventPort::~GlibEventPort() noexcept(false)
{
    if (source_)
        g_source_remove(source_);
}

auto GlibEventPort::wait() -> bool
{
    waiting_ = true;
    g_main_context_iteration(nullptr, TRUE);
    waiting_ = false;
    return false;
}

auto GlibEventPort::poll() -> bool
{
    waiting_ = true;
    while (g_main_context_iteration(nullptr, FALSE)) { }
    waiting_ = false;
    return false;
}

auto GlibEventPort::setRunnable(bool runnable) -> void
{
    if (runnable && !source_)
        source_ = g_idle_add_full(G_PRIORITY_DEFAULT, dispatch, this, nullptr);
}

auto GlibEventPort::dispatch(gpointer self) -> gboolean
{
    auto& port = *static_cast<GlibEventPort*>(self);
    port.source_ = 0;
    if (port.waiting_)
        return G_SOURCE_REMOVE;
    port.loop_.run(eventsPerTurn);
    if (port.loop_.isRunnable())
        port.setRunnable(true);
    return G_SOURCE_REMOVE;
}

} // namespace detail

MainLoop::MainLoop(TimerService::Clock clock)
    : scope_(port_.loop())
    , loop_(g_main_loop_new(nullptr, FALSE), g_main_loop_unref)
    , timers_(std::move(clock))
    , tasks_(*this)
{
    timers_.onEarlier([this] { scheduleTimers(); });
}

MainLoop::~MainLoop() noexcept(false)
{
    if (timerSource_)
        g_source_remove(timerSource_);
}

auto MainLoop::run() -> int
{
    g_main_loop_run(loop_.get());
    return exitCode_;
}

auto MainLoop::quit(int code) -> void
{
    exitCode_ = code;
    g_main_loop_quit(loop_.get());
}

auto MainLoop::quitWhenFlushed() -> void
{
    spawn(kj::evalLast([this] { quit(); }));
}

auto MainLoop::sleep(Duration delay) -> kj::Promise<void>
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto timer = timers_.after(delay,
        [fulfiller = std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller))] { (*fulfiller)->fulfill(); });
    return pair.promise.attach(std::make_unique<Timer>(std::move(timer)));
}

auto MainLoop::spawn(kj::Promise<void> task) -> void { tasks_.add(kj::mv(task)); }

auto MainLoop::taskFailed(kj::Exception&& exception) -> void
{
    log::error("task failed", { { "reason", exception.getDescription().cStr() } });
}

auto MainLoop::scheduleTimers() -> void
{
    if (timerSource_)
        g_source_remove(timerSource_);
    timerSource_ = 0;
    const auto due = timers_.nextDue();
    if (due == Moment::max())
        return;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(std::max(due - timers_.now(), Duration(0)));
    auto fire = [](gpointer self) -> gboolean {
        auto& loop = *static_cast<MainLoop*>(self);
        loop.timerSource_ = 0;
        loop.timers_.runDue();
        loop.scheduleTimers();
        return G_SOURCE_REMOVE;
    };
    timerSource_ = g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(wait.count()), fire, this, nullptr);
}

auto MainLoop::onStopSignal(std::function<void()> handler) -> void
{
    stopHandler_ = std::move(handler);
    auto call = [](gpointer self) -> gboolean {
        static_cast<MainLoop*>(self)->stopHandler_();
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGTERM, call, this);
    g_unix_signal_add(SIGINT, call, this);
}

auto MainLoop::onReloadSignal(std::function<void()> handler) -> void
{
    reloadHandler_ = std::move(handler);
    auto call = [](gpointer self) -> gboolean {
        static_cast<MainLoop*>(self)->reloadHandler_();
        return G_SOURCE_CONTINUE;
    };
    g_unix_signal_add(SIGHUP, call, this);
}

} // namespace eelgrass::wire
