#include "decisions/StopSchedule.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using decisions::StopSchedule;

namespace {

constexpr auto began = Moment() + Duration(100s);
constexpr auto grace = Duration(8s);
constexpr auto schedule = StopSchedule(began, grace);

} // namespace

// Guards against connections that are closed while the platform still sends new ones, or taken too late to be served.
BOOST_AUTO_TEST_CASE(idle_connections_close_before_the_listener)
{
    BOOST_TEST(bool(schedule.closesIdleAt() >= began + Duration(2s)));
    BOOST_TEST(bool(schedule.closesIdleAt() < schedule.acceptsUntil()));
    BOOST_TEST(bool(schedule.acceptsUntil() < began + Duration(3s)));
}

// Guards against a request that is cut off although it came too late for that.
BOOST_AUTO_TEST_CASE(late_requests_are_served_only_if_they_end_before_the_stop)
{
    const auto longAfter = schedule.requestsEnd() + Duration(1ms);
    BOOST_TEST(schedule.serves(began - Duration(1s), longAfter));
    BOOST_TEST(schedule.serves(began + Duration(2s), longAfter));
    BOOST_TEST(!schedule.serves(began + Duration(3s), longAfter));
    BOOST_TEST(schedule.serves(began + Duration(3s), schedule.requestsEnd()));
}

// Guards against requests that are cut before the last sixth of the grace period.
BOOST_AUTO_TEST_CASE(requests_end_in_the_last_sixth_of_the_grace_period)
{
    BOOST_TEST(bool(schedule.requestsEnd() >= began + grace - grace / 6));
    BOOST_TEST(bool(schedule.requestsEnd() < schedule.processEnds()));
    BOOST_TEST(bool(schedule.processEnds() < began + grace));
}

// Guards against stops that take longer than a short grace period.
BOOST_AUTO_TEST_CASE(a_short_grace_period_shortens_every_step)
{
    for (const auto time : { Duration(0ms), Duration(100ms), Duration(1s), Duration(3s) }) {
        const auto shortStop = StopSchedule(began, time);
        BOOST_TEST(bool(shortStop.closesIdleAt() <= shortStop.requestsEnd()));
        BOOST_TEST(bool(shortStop.acceptsUntil() <= shortStop.requestsEnd()));
        BOOST_TEST(bool(shortStop.requestsEnd() <= shortStop.processEnds()));
        BOOST_TEST(bool(shortStop.processEnds() <= began + time));
        BOOST_TEST(!shortStop.serves(shortStop.requestsEnd(), shortStop.requestsEnd() + Duration(1ms)));
    }
}
