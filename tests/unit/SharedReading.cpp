// One entry of a zone reads the store, the others ask it.
#include "decisions/SharedReading.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto bound = Duration(4s);
constexpr auto sharing = SharedReading(bound);
// From the store to the reader, and from there to the one who asks.
constexpr auto wayThere = Duration(20ms);

/// How old what an entry knows is when it begins a reading of its own, at the latest: the reader reads until `frozen`
/// and then says nothing more; the entry asks `phase` later than the reader reads.
auto oldestKnowledge(Duration phase, Duration frozen) -> Duration
{
    auto spared = Moment();
    auto knows = Moment();
    for (auto asked = Moment(phase); asked < Moment(frozen); asked += sharing.sharedInterval()) {
        const auto since = (asked - Moment()) / sharing.sharedInterval();
        const auto readAt = Moment(sharing.sharedInterval() * since);
        const auto heardAt = asked + wayThere;
        spared = sharing.coveredUntil(heardAt, heardAt - readAt);
        knows = readAt;
    }
    return spared - knows;
}

} // namespace

// A request is sent to a replica that has left long ago.
// 1. One entry reads the list for the others. 2. It freezes right after a reading. 3. A replica leaves; the others ask,
// hear nothing, and must read for themselves soon enough to send nothing there at the bound.
BOOST_AUTO_TEST_CASE(what_is_known_through_a_reader_that_freezes_is_never_as_old_as_the_bound)
{
    for (auto phase = Duration(0); phase < sharing.sharedInterval(); phase += Duration(10ms)) {
        for (auto frozen = Duration(8s); frozen < Duration(10s); frozen += Duration(10ms))
            BOOST_REQUIRE((oldestKnowledge(phase, frozen) <= bound * 3 / 4));
    }
}

// The same where the reader lives and the store tells it nothing: its words spare less the older its reading is.
BOOST_AUTO_TEST_CASE(a_reader_whose_own_reading_is_old_spares_nobody)
{
    const auto now = Moment(20s);
    BOOST_TEST((sharing.coveredUntil(now, Duration(0)) > now));
    BOOST_TEST((sharing.coveredUntil(now, bound * 3 / 4) <= now));
}

// While all is well nobody but the reader calls the store: the next answer comes before the last one's time is over.
BOOST_AUTO_TEST_CASE(a_reader_that_answers_spares_all_readings)
{
    const auto oldest = sharing.sharedInterval() + 2 * wayThere;
    const auto heardAt = Moment(20s);
    BOOST_TEST((sharing.coveredUntil(heardAt, oldest) > heardAt + sharing.sharedInterval() + 2 * wayThere));
}
