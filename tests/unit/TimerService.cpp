#include "base/TimerService.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace eelgrass;

namespace {

struct Fixture {
    Moment present {};
    TimerService timers { [this] { return present; } };
    std::vector<int> ran;

    auto pass(Duration time) -> void
    {
        present += time;
        timers.runDue();
    }
    auto note(int which) -> TimerService::Callback
    {
        return [this, which] { ran.push_back(which); };
    }
    auto expect(std::vector<int> wanted) -> void
    {
        BOOST_TEST(ran == wanted, boost::test_tools::per_element());
        ran.clear();
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(timers_run_in_the_order_of_their_due_times, Fixture)
{
    auto late = timers.after(20ms, note(2));
    auto early = timers.after(10ms, note(1));
    auto same = timers.after(20ms, note(3));
    pass(9ms);
    expect({});
    pass(11ms);
    expect({ 1, 2, 3 });
    pass(100ms);
    expect({});
}

BOOST_FIXTURE_TEST_CASE(beats_missed_in_a_pause_are_not_made_up_for, Fixture)
{
    auto beat = timers.every(10ms, note(1));
    pass(10ms);
    pass(10ms);
    expect({ 1, 1 });
    pass(1000ms);
    expect({ 1 });
    beat.cancel();
    pass(1000ms);
    expect({});
    BOOST_TEST((timers.nextDue() == Moment::max()));
}

BOOST_FIXTURE_TEST_CASE(a_timer_may_be_cancelled_or_set_anew_by_any_callback, Fixture)
{
    auto other = timers.after(20ms, note(9));
    auto first = timers.after(10ms, [&] { other.cancel(); });
    auto self = Timer();
    self = timers.every(10ms, [&] {
        ran.push_back(1);
        self.cancel();
    });
    auto again = Timer();
    again = timers.every(10ms, [&] {
        ran.push_back(2);
        again = timers.after(10ms, note(3));
    });
    pass(10ms);
    expect({ 1, 2 });
    pass(10ms);
    expect({ 3 });
    pass(100ms);
    expect({});
}

BOOST_FIXTURE_TEST_CASE(a_nearer_due_time_is_told_a_later_one_is_not, Fixture)
{
    auto told = 0;
    timers.onEarlier([&] { ++told; });
    auto first = timers.after(20ms, note(1));
    auto later = timers.after(30ms, note(2));
    BOOST_TEST(told == 1);
    auto nearer = timers.after(10ms, note(3));
    BOOST_TEST(told == 2);
    BOOST_TEST((timers.nextDue() == present + 10ms));
}

BOOST_FIXTURE_TEST_CASE(a_subscription_that_is_moved_ends_with_its_last_owner, Fixture)
{
    {
        auto owner = Timer();
        {
            auto first = timers.every(10ms, note(1));
            owner = std::move(first);
        }
        pass(10ms);
        expect({ 1 });
    }
    pass(10ms);
    expect({});
}

// Guards against work that is scheduled once and never again, as the timer that has fired is taken for one to come.
BOOST_FIXTURE_TEST_CASE(timer_that_has_fired_is_not_active, Fixture)
{
    auto once = Timer();
    auto activeWithin = true;
    once = timers.after(10ms, [&] { activeWithin = once.active(); });
    auto beat = timers.every(10ms, note(1));
    BOOST_TEST(once.active());
    pass(10ms);
    BOOST_TEST(!activeWithin);
    BOOST_TEST(!once.active());
    BOOST_TEST(beat.active());
    once = timers.after(10ms, note(2));
    BOOST_TEST(once.active());
    once.cancel();
    beat.cancel();
    BOOST_TEST(!once.active());
    BOOST_TEST(!beat.active());
}
