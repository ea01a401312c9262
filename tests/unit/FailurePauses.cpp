#include "serving/Replica.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::serving::Replica;
using eelgrass::serving::ReplicaRecord;

// Guards against avoiding a replica for seconds because many streams there fell silent in one short pause.
BOOST_AUTO_TEST_CASE(failures_at_the_same_time_make_one_short_pause)
{
    auto timers = TimerService([] { return Moment(); });
    auto replica = Replica(timers, ReplicaRecord {});
    for (auto count = 0; count < 10; ++count)
        replica.failed(Moment(1s + count * 10ms));
    BOOST_TEST(!replica.usable(Moment(1200ms)));
    BOOST_TEST(replica.usable(Moment(1400ms)));
}

// Guards against trying a replica that stays away as often as one that failed for a moment.
BOOST_AUTO_TEST_CASE(each_failure_after_a_pause_doubles_the_next_one)
{
    auto timers = TimerService([] { return Moment(); });
    auto replica = Replica(timers, ReplicaRecord {});
    replica.failed(Moment(1s));
    replica.failed(Moment(1s));
    replica.failed(Moment(1400ms));
    BOOST_TEST(!replica.usable(Moment(1900ms)));
    BOOST_TEST(replica.usable(Moment(2s)));
    replica.failed(Moment(2s));
    BOOST_TEST(!replica.usable(Moment(3100ms)));
    BOOST_TEST(replica.usable(Moment(3200ms)));
}
