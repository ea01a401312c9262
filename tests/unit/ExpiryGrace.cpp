#include "decisions/ExpiryGrace.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::decisions::ExpiryGrace;

namespace {

auto at(Duration time) -> Moment { return Moment() + time; }

} // namespace

// Guards against requests sent to a replica that has left, for up to three seconds after an entry has started. The
// replica is in the first reading of the list and missing from the next one; its absence must not be taken for a
// registration that expired during an outage.
BOOST_AUTO_TEST_CASE(a_replica_missing_from_the_second_reading_is_gone)
{
    auto grace = ExpiryGrace();
    grace.regained(at(10s));
    BOOST_TEST(grace.gone(at(10s), at(11s)));
}

// Guards against refusing requests when the store returns. Registrations of live replicas expire during the outage and
// are missing from the first readings. They are renewed within two seconds; replicas still missing then have left.
BOOST_AUTO_TEST_CASE(expired_registrations_have_a_grace_period_after_an_outage)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    const auto listedBefore = at(5s);
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(listedBefore, at(20s)));
    BOOST_TEST(!grace.gone(listedBefore, at(22s)));
    BOOST_TEST(grace.gone(listedBefore, at(23s)));
}

// A replica known only from a peer was never in a reading of this entry and gets the same grace period.
BOOST_AUTO_TEST_CASE(replicas_known_from_a_peer_have_a_grace_period)
{
    auto grace = ExpiryGrace();
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(std::nullopt, at(21s)));
    BOOST_TEST(grace.gone(std::nullopt, at(23s)));
}

// A replica that was listed after the store returned and is then missing is gone at once, although the grace period is
// not over.
BOOST_AUTO_TEST_CASE(a_replica_that_returned_and_left_again_is_gone_at_once)
{
    auto grace = ExpiryGrace();
    grace.regained(at(20s));
    BOOST_TEST(grace.gone(at(21s), at(22s)));
}

// Guards against requests sent to replicas that left while the store refused only this entry. Another entry kept
// reading the list, so no registration expired; replicas that the first reading does not name have left.
BOOST_AUTO_TEST_CASE(an_outage_of_one_entry_alone_starts_no_grace_period)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    grace.lost(at(15s));
    grace.servedElsewhere(at(19s));
    grace.regained(at(20s));
    BOOST_TEST(grace.gone(at(5s), at(20s)));
}

// A reading of another entry long before the outage does not prove that the store served it during the outage.
BOOST_AUTO_TEST_CASE(an_old_reading_of_a_peer_does_not_disable_the_grace_period)
{
    auto grace = ExpiryGrace();
    grace.servedElsewhere(at(10s));
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(at(5s), at(20s)));
}

// Guards against refusing all requests when the store returns within three seconds of an outage that affected all
// entries. Another entry had read the list just before the outage. If this reading counted as proof that the store
// served others, all replicas whose registrations expired would count as gone.
BOOST_AUTO_TEST_CASE(a_peer_reading_before_the_outage_does_not_disable_the_grace_period)
{
    auto grace = ExpiryGrace();
    grace.regained(at(0s));
    grace.lost(at(18s));
    grace.servedElsewhere(at(17s) + 900ms);
    grace.regained(at(20s));
    BOOST_TEST(!grace.gone(at(17s), at(20s)));
}
