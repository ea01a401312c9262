// Tests how long an entry may act on its configuration.
#include "decisions/ConfigurationFreshness.h"
#include "decisions/RemoteClock.h"

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
    freshness.confirmed(start);
    BOOST_TEST(freshness.holds(start + 4999ms));
    BOOST_TEST(!freshness.holds(start + 5s));
    BOOST_TEST(!freshness.holds(start + 6s));
}

// An entry that is cut off from the store asks a peer that is cut off as well. Each answer is new, but the confirmation
// that the answer passes on keeps getting older.
BOOST_AUTO_TEST_CASE(a_peers_confirmation_keeps_its_age)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start);
    for (auto passed = Duration(1s); passed < 10s; passed += 1s) {
        freshness.confirmed(start + passed - passed);
        BOOST_TEST(freshness.holds(start + passed) == (passed < 5s));
    }
}

BOOST_AUTO_TEST_CASE(an_older_confirmation_is_ignored)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start);
    freshness.confirmed(start - 3s);
    BOOST_TEST((freshness.age(start + 1s) == Duration(1s)));
}

// Guards against refusing requests because the answers to long polls appear outdated. A fast answer first gives the
// offset of the clocks. When a poll then waits two seconds for its answer, the age of the answer is the time of its
// transmission, without the wait.
BOOST_AUTO_TEST_CASE(a_long_poll_confirms_as_of_its_answer)
{
    auto clock = RemoteClock();
    constexpr auto peer = Duration(70s);
    clock.note(start, peer + 3ms);
    const auto asked = start + 10ms;
    const auto made = asked + 2s;
    clock.note(asked, peer + (made - start));
    const auto earliest = clock.earliest(asked, peer + (made - start));
    BOOST_TEST((earliest <= made));
    BOOST_TEST((earliest >= made - 10ms));
}

// An answer that stayed in a socket while the process was paused is not new when it is read.
BOOST_AUTO_TEST_CASE(an_answer_that_waited_in_a_socket_is_not_new)
{
    auto clock = RemoteClock();
    constexpr auto peer = Duration(70s);
    clock.note(start, peer);
    const auto asked = start + 1s;
    clock.note(asked, peer + 1s + 2ms);
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(clock.earliest(asked, peer + 1s + 2ms));
    const auto resumed = asked + 6s;
    BOOST_TEST(!freshness.holds(resumed));
}

// Another peer with a clock far behind answers; the offset of the first peer's clock must not be used.
BOOST_AUTO_TEST_CASE(a_clock_that_went_back_belongs_to_another_peer)
{
    auto clock = RemoteClock();
    clock.note(start, Duration(70s));
    const auto asked = start + 1s;
    clock.note(asked, Duration(3s));
    BOOST_TEST((clock.earliest(asked, Duration(3s)) == asked));
}
