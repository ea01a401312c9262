#include "decisions/PrefillRate.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Processes prompts of 9,000 tokens one after another, each for `took`, with `pause` between them.
auto processPrompts(PrefillRate& rate, int prompts, Duration took, Duration pause, Moment now = Moment(1s)) -> Moment
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

BOOST_AUTO_TEST_CASE(the_expected_rate_is_used_before_the_first_prompt)
{
    BOOST_TEST(PrefillRate(40).perMillisecond() == 40, boost::test_tools::tolerance(0.001));
}

// A replica processes prompts at two thirds of its peers' rate and is idle most of the time. Its estimated rate must be
// low, and the estimate for an equally idle peer must not.
BOOST_AUTO_TEST_CASE(a_slow_replica_is_detected_and_idle_time_does_not_count)
{
    auto slow = PrefillRate(40);
    auto usual = PrefillRate(40);
    (void)processPrompts(slow, 12, 300ms, 2s);
    (void)processPrompts(usual, 12, 200ms, 2s);
    BOOST_TEST(slow.perMillisecond() < 33);
    BOOST_TEST(usual.perMillisecond() > 42);
}

// A replica becomes four times slower and later recovers; the estimate follows within a few prompts each time.
BOOST_AUTO_TEST_CASE(the_estimate_follows_a_replica_that_becomes_slow)
{
    auto rate = PrefillRate(40);
    auto now = processPrompts(rate, 20, 200ms, 0ms);
    now = processPrompts(rate, 8, 800ms, 0ms, now);
    BOOST_TEST(rate.perMillisecond() < 20);
    (void)processPrompts(rate, 20, 200ms, 0ms, now);
    BOOST_TEST(rate.perMillisecond() > 35);
}

BOOST_AUTO_TEST_CASE(a_dropped_request_does_not_change_the_estimate)
{
    auto rate = PrefillRate(40);
    rate.granted(Moment(1s));
    rate.dropped();
    (void)processPrompts(rate, 4, 225ms, 10s, Moment(30s));
    BOOST_TEST(rate.perMillisecond() == 40, boost::test_tools::tolerance(0.01));
}
