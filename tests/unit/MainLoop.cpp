#include "wire/MainLoop.h"

#include <kj/debug.h>

#include <boost/test/unit_test.hpp>

using namespace eelgrass;

BOOST_AUTO_TEST_CASE(promises_sources_and_timers_take_turns_on_one_loop)
{
    auto loop = wire::MainLoop();
    auto idle = false;
    g_idle_add(
        [](gpointer seen) -> gboolean {
            *static_cast<bool*>(seen) = true;
            return G_SOURCE_REMOVE;
        },
        &idle);
    auto evaluated = false;
    loop.spawn(kj::evalLater([&] { evaluated = true; }));
    loop.wait(loop.sleep(1ms));
    BOOST_TEST(evaluated);
    BOOST_TEST(idle);
}

BOOST_AUTO_TEST_CASE(promises_run_inside_the_main_loop_and_its_code_is_returned)
{
    auto loop = wire::MainLoop();
    loop.spawn(kj::evalLater([] {}).then([&] { loop.quit(7); }));
    BOOST_TEST(loop.run() == 7);
}

BOOST_AUTO_TEST_CASE(promises_without_end_do_not_hold_up_the_sources)
{
    // A promise that always queues the next keeps KJ runnable for ever; GLib must get its turns none the less.
    auto loop = wire::MainLoop();
    auto turns = 0;
    std::function<kj::Promise<void>()> again = [&]() -> kj::Promise<void> {
        ++turns;
        return kj::evalLater([&] { return again(); });
    };
    loop.spawn(again());
    auto timer = loop.timers().after(1ms, [&] { loop.quit(); });
    BOOST_TEST(loop.run() == 0);
    BOOST_TEST(turns > 1);
}

BOOST_AUTO_TEST_CASE(a_failed_task_is_logged_and_the_loop_goes_on)
{
    auto loop = wire::MainLoop();
    loop.spawn(KJ_EXCEPTION(FAILED, "on purpose"));
    loop.wait(loop.sleep(1ms));
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(a_sleep_that_is_dropped_takes_its_timer_along)
{
    auto loop = wire::MainLoop();
    {
        auto dropped = loop.sleep(1ms);
        BOOST_TEST((loop.timers().nextDue() != Moment::max()));
    }
    BOOST_TEST((loop.timers().nextDue() == Moment::max()));
}

BOOST_AUTO_TEST_CASE(a_loop_may_go_while_tasks_and_timers_are_pending)
{
    auto ran = false;
    {
        auto loop = wire::MainLoop();
        loop.spawn(loop.sleep(3600s).then([&] { ran = true; }));
        loop.spawn(kj::evalLater([&] { ran = true; }));
    }
    g_main_context_iteration(nullptr, FALSE);
    BOOST_TEST(!ran);
}
