#include "decisions/PrefillRate.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Reads prompts of 9,000 tokens one after another, each for `took`, with `pause` between two.
auto read(PrefillRate& rate, int prompts, Duration took, Duration pause, Moment now = Moment(1s)) -> Moment
{
    for (auto count = 0; count < prompts; ++count) {
        rate.granted(now);
        now += took;
        rate.started(9000, now);
        now += pause;
    }
    return now;
}

} // namespace

BOOST_AUTO_TEST_CASE(until_something_was_read_the_expected_rate_is_taken)
{
    BOOST_TEST(PrefillRate(40).perMillisecond() == 40, boost::test_tools::tolerance(0.001));
}

// A replica that reads at two thirds of its peers' pace, and is idle most of the time: it counts as slow, not as idle.
BOOST_AUTO_TEST_CASE(a_slow_replica_is_seen_and_idle_time_does_not_count)
{
    auto slow = PrefillRate(40);
    auto usual = PrefillRate(40);
    (void)read(slow, 12, 300ms, 2s);
    (void)read(usual, 12, 200ms, 2s);
    BOOST_TEST(slow.perMillisecond() < 33);
    BOOST_TEST(usual.perMillisecond() > 42);
}

// A replica that turns four times slower is known as such after a few prompts, and taken back as soon.
BOOST_AUTO_TEST_CASE(a_replica_that_turns_slow_is_followed)
{
    auto rate = PrefillRate(40);
    auto now = read(rate, 20, 200ms, 0ms);
    now = read(rate, 8, 800ms, 0ms, now);
    BOOST_TEST(rate.perMillisecond() < 20);
    (void)read(rate, 20, 200ms, 0ms, now);
    BOOST_TEST(rate.perMillisecond() > 35);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_dropped_leaves_no_reading_behind)
{
    auto rate = PrefillRate(40);
    rate.granted(Moment(1s));
    rate.dropped();
    (void)read(rate, 4, 225ms, 10s, Moment(30s));
    BOOST_TEST(rate.perMillisecond() == 40, boost::test_tools::tolerance(0.01));
}
