#include "decisions/CircuitBreaker.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Sends one request every 30 ms, as many entries together do, to a replica that is down for a second and up for a
/// second and a half by turns; how many were lost.
template <typename Allows, typename Answered> auto lostWhileFlapping(Allows allows, Answered answered) -> int
{
    auto lost = 0;
    for (auto now = Moment(); now < Moment(10s); now += 30ms) {
        const auto phase = (now.time_since_epoch() % Duration(2500ms));
        if (!allows(now))
            continue;
        const auto down = phase >= Duration(500ms) && phase < Duration(1500ms);
        lost += down ? 1 : 0;
        answered(!down, now);
    }
    return lost;
}

} // namespace

// What callers see: each request that is sent while the replica is down is lost, since nobody can say whether it ran.
// The replica's own report looks well all the while. Held back after three, most callers are served elsewhere.
BOOST_AUTO_TEST_CASE(a_replica_that_flaps_loses_few_requests)
{
    auto breaker = CircuitBreaker();
    const auto lost = lostWhileFlapping([&](Moment now) { return breaker.allows(now); },
        [&](bool well, Moment now) {
            breaker.requestSent();
            if (well)
                breaker.succeeded(now, now);
            else
                breaker.connectionBroke(now);
        });
    const auto baseline = lostWhileFlapping([](Moment) { return true; }, [](bool, Moment) {});
    BOOST_TEST_MESSAGE("lost " << lost << " of " << baseline);
    BOOST_TEST(lost * 5 < baseline);
}

// Every replica answers two requests in five with a failure: the requests, or something behind all of them, are the
// cause. Nobody rests, or nobody would be served at all.
BOOST_AUTO_TEST_CASE(failures_alone_rest_nobody)
{
    auto breaker = CircuitBreaker();
    for (auto count = 0; count < 100; ++count) {
        const auto now = Moment(Duration(50ms) * count);
        BOOST_TEST(breaker.allows(now));
        breaker.requestSent();
        if (count % 5 < 2)
            breaker.failed(now);
        else
            breaker.succeeded(now, now);
    }
    BOOST_TEST(breaker.failureShare(Moment(5s)) > 0.2);
}

BOOST_AUTO_TEST_CASE(a_single_break_rests_nobody_and_is_forgotten)
{
    auto breaker = CircuitBreaker();
    breaker.connectionBroke(Moment(1s));
    BOOST_TEST(breaker.allows(Moment(1s)));
    BOOST_TEST(breaker.failureShare(Moment(1s)) > 0.1);
    BOOST_TEST(breaker.failureShare(Moment(11s)) < 0.01);
}

// After a rest one request tries. A stream from before the rest that ends well says nothing of new ones.
BOOST_AUTO_TEST_CASE(one_request_tries_after_a_rest)
{
    auto breaker = CircuitBreaker();
    for (auto count = 0; count < 3; ++count)
        breaker.connectionBroke(Moment(1s));
    BOOST_TEST(!breaker.allows(Moment(1s)));
    const auto after = breaker.openUntil();
    breaker.succeeded(Moment(900ms), after);
    BOOST_TEST(breaker.open());
    BOOST_TEST(breaker.allows(after));
    breaker.requestSent();
    BOOST_TEST(!breaker.allows(after + 1ms));
    breaker.succeeded(after, after + 100ms);
    BOOST_TEST(breaker.allows(after + 100ms));
    BOOST_TEST(!breaker.open());
}

// The request that tries is given up by its caller: another one may try.
BOOST_AUTO_TEST_CASE(a_try_that_says_nothing_makes_room_for_the_next)
{
    auto breaker = CircuitBreaker();
    for (auto count = 0; count < 3; ++count)
        breaker.connectionBroke(Moment(1s));
    const auto after = breaker.openUntil();
    breaker.requestSent();
    breaker.endedWithoutResult(after);
    BOOST_TEST(breaker.allows(after + 1ms));
}
