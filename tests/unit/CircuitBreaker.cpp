#include "decisions/CircuitBreaker.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Sends one request every 30 ms, as many entries together do, to a replica that alternates between one second down and
/// one and a half seconds up. Returns the number of lost requests.
template <typename Allows, typename Answered> auto lostWhileAlternating(Allows allows, Answered answered) -> int
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

// Each request sent while the replica is down is lost, because it is unknown whether it ran, and the replica's own
// report shows no problem. With requests held back after three losses, most callers are served by other replicas.
BOOST_AUTO_TEST_CASE(a_replica_that_goes_down_repeatedly_loses_few_requests)
{
    auto breaker = CircuitBreaker();
    const auto lost = lostWhileAlternating([&](Moment now) { return breaker.allows(now); },
        [&](bool well, Moment now) {
            breaker.requestSent();
            if (well)
                breaker.succeeded(now, now);
            else
                breaker.connectionBroke(now);
        });
    const auto baseline = lostWhileAlternating([](Moment) { return true; }, [](bool, Moment) {});
    BOOST_TEST_MESSAGE("lost " << lost << " of " << baseline);
    BOOST_TEST(lost * 5 < baseline);
}

// Every replica answers two requests in five with an error, because of the requests or of a shared dependency. No
// breaker may open, or no request would be served at all.
BOOST_AUTO_TEST_CASE(errors_alone_do_not_open_the_breaker)
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

BOOST_AUTO_TEST_CASE(a_single_broken_connection_does_not_open_the_breaker)
{
    auto breaker = CircuitBreaker();
    breaker.connectionBroke(Moment(1s));
    BOOST_TEST(breaker.allows(Moment(1s)));
    BOOST_TEST(breaker.failureShare(Moment(1s)) > 0.1);
    BOOST_TEST(breaker.failureShare(Moment(11s)) < 0.01);
}

// After the pause one probe request is admitted. A stream that began before the pause and ends without error does not
// close the breaker.
BOOST_AUTO_TEST_CASE(one_probe_is_admitted_after_the_pause)
{
    auto breaker = CircuitBreaker();
    for (auto count = 0; count < 3; ++count)
        breaker.connectionBroke(Moment(1s));
    BOOST_TEST(!breaker.allows(Moment(1s)));
    const auto reopenedAt = breaker.openUntil();
    breaker.succeeded(Moment(900ms), reopenedAt);
    BOOST_TEST(breaker.open());
    BOOST_TEST(breaker.allows(reopenedAt));
    breaker.requestSent();
    BOOST_TEST(!breaker.allows(reopenedAt + 1ms));
    breaker.succeeded(reopenedAt, reopenedAt + 100ms);
    BOOST_TEST(breaker.allows(reopenedAt + 100ms));
    BOOST_TEST(!breaker.open());
}

// If the caller of the probe request leaves, another probe is admitted.
BOOST_AUTO_TEST_CASE(a_probe_without_result_allows_the_next)
{
    auto breaker = CircuitBreaker();
    for (auto count = 0; count < 3; ++count)
        breaker.connectionBroke(Moment(1s));
    const auto reopenedAt = breaker.openUntil();
    breaker.requestSent();
    breaker.endedWithoutResult(reopenedAt);
    BOOST_TEST(breaker.allows(reopenedAt + 1ms));
}
