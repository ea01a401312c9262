#include "decisions/ExpiryGrace.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::decisions::ExpiryGrace;

namespace {

auto at(Duration time) -> Moment { return Moment() + time; }

} // namespace

// Callers of an entry that has just started hear of broken or refused sends for three seconds.
// 1. The entry reads the list for the first time. 2. A replica leaves without a word: the next reading does not name
// it.
// 3. Taken for an entry that lapsed in an outage it was kept, and sent to.
BOOST_AUTO_TEST_CASE(what_the_first_reading_named_and_the_next_does_not_is_gone)
{
    auto grace = ExpiryGrace();
    grace.regained(at(10s));
    BOOST_TEST(grace.gone(at(10s), at(11s)));
}

// Callers are served through the return of the store.
// 1. The store is away and entries of living replicas lapse. 2. It comes back, and its first readings miss them. 3.
// They are back two seconds later; what is not by then has left.
BOOST_AUTO_TEST_CASE(what_lapsed_in_an_outage_has_time_to_return)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    const auto listedBefore = at(5s);
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(listedBefore, at(20s)));
    BOOST_TEST(!grace.gone(listedBefore, at(22s)));
    BOOST_TEST(grace.gone(listedBefore, at(23s)));
}

// What only a peer told of was never in a reading of ours, and has the same time.
BOOST_AUTO_TEST_CASE(what_a_peer_told_of_has_time_to_return)
{
    auto grace = ExpiryGrace();
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(std::nullopt, at(21s)));
    BOOST_TEST(grace.gone(std::nullopt, at(23s)));
}

// Replicas are replaced while the store serves some entries and turns this one away. What returned and then left is
// gone at once, though the time for lapsed entries is not over.
BOOST_AUTO_TEST_CASE(what_returned_and_left_again_is_gone_at_once)
{
    auto grace = ExpiryGrace();
    grace.regained(at(20s));
    BOOST_TEST(grace.gone(at(21s), at(22s)));
}

// Callers get no answer from replicas that had left while the store turned this entry alone away.
// 1. Another entry tells that it reads the list all the while. 2. The store lets this one in again. 3. Nothing had
// lapsed: what the first reading does not name has left.
BOOST_AUTO_TEST_CASE(an_outage_of_one_entry_alone_gives_no_grace)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    grace.lost(at(15s));
    grace.servedElsewhere(at(19s));
    grace.regained(at(20s));
    BOOST_TEST(grace.gone(at(5s), at(20s)));
}

// What another entry read long ago says nothing of an outage that began since.
BOOST_AUTO_TEST_CASE(old_evidence_of_the_store_takes_no_grace_away)
{
    auto grace = ExpiryGrace();
    grace.servedElsewhere(at(10s));
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(at(5s), at(20s)));
}

// Callers are turned away everywhere as the store comes back.
// 1. The store goes away for all; another entry had read the list just before. 2. Entries of living replicas lapse. 3.
// It comes back within three seconds; taken for a sign that the store served others, that reading made them all count
// as gone.
BOOST_AUTO_TEST_CASE(a_peers_last_reading_before_the_outage_takes_no_grace_away)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    grace.lost(at(18s));
    grace.servedElsewhere(at(17s) + 900ms);
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(at(17s), at(20s)));
}
