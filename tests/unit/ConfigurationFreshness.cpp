// How long an entry may go by what it knows.
#include "decisions/ConfigurationFreshness.h"
#include "decisions/RemoteClock.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto start = Moment(Duration(1000s));

} // namespace

BOOST_AUTO_TEST_CASE(nothing_holds_before_it_is_confirmed) { BOOST_TEST(!ConfigurationFreshness(5s).holds(start)); }

// A caller whose key was taken away is served.
// 1. An entry stands still for six seconds. 2. What it knew was new when it stopped. 3. The first thing that it does
// when it goes on is to send a request that had been waiting.
BOOST_AUTO_TEST_CASE(a_pause_of_the_process_counts)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start);
    BOOST_TEST(freshness.holds(start + 4999ms));
    BOOST_TEST(!freshness.holds(start + 5s));
    BOOST_TEST(!freshness.holds(start + 6s));
}

// The same, told by others: 1. an entry that is cut off asks a peer that is cut off as well. 2. Each answer is new, and
// what it says gets older all the same.
BOOST_AUTO_TEST_CASE(what_a_peer_knows_is_as_old_as_it_was_there)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start);
    for (auto passed = Duration(1s); passed < 10s; passed += 1s) {
        freshness.confirmed(start + passed - passed);
        BOOST_TEST(freshness.holds(start + passed) == (passed < 5s));
    }
}

BOOST_AUTO_TEST_CASE(an_older_proof_takes_nothing_back)
{
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(start);
    freshness.confirmed(start - 3s);
    BOOST_TEST((freshness.age(start + 1s) == Duration(1s)));
}

// Callers are refused though nothing was taken away, since every long question seems old when it is answered.
// 1. A quick answer shows how the clocks stand. 2. A question is asked and waits for two seconds. 3. Its answer is as
// old as its way, not as its wait.
BOOST_AUTO_TEST_CASE(a_long_poll_proves_what_it_says_as_of_its_answer)
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

// What was in a socket while the process stood still is not new when it is read.
BOOST_AUTO_TEST_CASE(an_answer_that_lay_in_a_socket_is_not_new)
{
    auto clock = RemoteClock();
    constexpr auto peer = Duration(70s);
    clock.note(start, peer);
    const auto asked = start + 1s;
    clock.note(asked, peer + 1s + 2ms);
    auto freshness = ConfigurationFreshness(5s);
    freshness.confirmed(clock.earliest(asked, peer + 1s + 2ms));
    const auto woke = asked + 6s;
    BOOST_TEST(!freshness.holds(woke));
}

// Another peer answers by a clock that is far behind: nothing is taken from the first one's.
BOOST_AUTO_TEST_CASE(a_clock_that_went_back_is_another_one)
{
    auto clock = RemoteClock();
    clock.note(start, Duration(70s));
    const auto asked = start + 1s;
    clock.note(asked, Duration(3s));
    BOOST_TEST((clock.earliest(asked, Duration(3s)) == asked));
}
