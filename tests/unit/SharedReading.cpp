// Tests the timing by which one entry of a zone reads the store and the others ask it.
#include "decisions/SharedReading.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto bound = Duration(4s);
constexpr auto sharing = SharedReading(bound);
// Latency from the store to the reader, and from the reader to a follower.
constexpr auto latency = Duration(20ms);

/// Returns the maximum age of a follower's data when it starts a reading of its own. The reader reads until `frozenAt`
/// and then no longer answers; the follower asks it `phase` after each reading.
auto maxAgeAtOwnReading(Duration phase, Duration frozenAt) -> Duration
{
    auto covered = Moment();
    auto dataReadAt = Moment();
    for (auto asked = Moment(phase); asked < Moment(frozenAt); asked += sharing.sharedInterval()) {
        const auto since = (asked - Moment()) / sharing.sharedInterval();
        const auto readAt = Moment(sharing.sharedInterval() * since);
        const auto answeredAt = asked + latency;
        covered = sharing.coveredUntil(answeredAt, answeredAt - readAt);
        dataReadAt = readAt;
    }
    return covered - dataReadAt;
}

} // namespace

// Guards against requests sent to a replica that has left. The reader of a zone freezes right after a reading, and a
// replica leaves. The followers get no answer and must read the list themselves early enough to stop sending requests
// to the replica within the bound.
BOOST_AUTO_TEST_CASE(data_of_a_frozen_reader_is_replaced_within_the_bound)
{
    for (auto phase = Duration(0); phase < sharing.sharedInterval(); phase += Duration(10ms)) {
        for (auto frozenAt = Duration(8s); frozenAt < Duration(10s); frozenAt += Duration(10ms))
            BOOST_REQUIRE((maxAgeAtOwnReading(phase, frozenAt) <= bound * 3 / 4));
    }
}

// The reader answers its followers, but gets no answers from the store. The older its last reading is, the less time an
// answer to the followers covers.
BOOST_AUTO_TEST_CASE(an_old_reading_of_the_reader_does_not_cover_followers)
{
    const auto now = Moment(20s);
    BOOST_TEST((sharing.coveredUntil(now, Duration(0)) > now));
    BOOST_TEST((sharing.coveredUntil(now, bound * 3 / 4) <= now));
}

// In normal operation only the reader calls the store: its next answer reaches the followers before the period that its
// last answer covers has ended.
BOOST_AUTO_TEST_CASE(a_reader_that_answers_covers_all_followers)
{
    const auto oldest = sharing.sharedInterval() + 2 * latency;
    const auto answeredAt = Moment(20s);
    BOOST_TEST((sharing.coveredUntil(answeredAt, oldest) > answeredAt + sharing.sharedInterval() + 2 * latency));
}
