// Tests how long an entry may act on its configuration.
#include "decisions/ConfigurationFreshness.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto start = Moment(Duration(1000s));

} // namespace

BOOST_AUTO_TEST_CASE(an_unconfirmed_configuration_is_not_fresh)
{
    BOOST_TEST(!ConfigurationFreshness(5s).holds(start));
}

// Guards against serving a caller whose key was revoked. An entry process is paused for six seconds with a
// configuration that was current before, and on resuming first sends a request that had been waiting.
BOOST_AUTO_TEST_CASE(a_pause_of_the_process_counts_as_age)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start, start);
    BOOST_TEST(freshness.holds(start + 4999ms));
    BOOST_TEST(!freshness.holds(start + 5s));
    BOOST_TEST(!freshness.holds(start + 6s));
}

// An entry that is cut off from the store asks a peer that is cut off as well. Each answer is new, but the confirmation
// that the answer passes on keeps getting older.
BOOST_AUTO_TEST_CASE(a_peers_confirmation_keeps_its_age)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start, start);
    for (auto passed = Duration(1s); passed < 10s; passed += 1s) {
        freshness.confirmed(start + passed - passed, start + passed);
        BOOST_TEST(freshness.holds(start + passed) == (passed < 5s));
    }
}

BOOST_AUTO_TEST_CASE(an_older_confirmation_is_ignored)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start, start);
    freshness.confirmed(start - 3s, start);
    BOOST_TEST((freshness.age(start + 1s) == Duration(1s)));
}

// Guards against accepting a key for ever because of one moment that is wrong: nothing after now is confirmed.
BOOST_AUTO_TEST_CASE(a_moment_after_now_confirms_nothing)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start, start);
    freshness.confirmed(start + 500s, start + 1s);
    BOOST_TEST((freshness.age(start + 2s) == Duration(2s)));
    BOOST_TEST(!freshness.holds(start + 5s));
}
