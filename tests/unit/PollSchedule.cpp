#include "decisions/PollSchedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace eelgrass;
using decisions::PollSchedule;

namespace {

/// Number of polls in each tenth of a second when `count` pollers start at the same moment and the platform is
/// unavailable until `availableAt`.
auto pollsPerTenth(int count, Duration availableAt, Duration end) -> std::map<long, int>
{
    auto polls = std::map<long, int>();
    for (auto seed = 0; seed < count; ++seed) {
        auto schedule = PollSchedule(1s, 4s, static_cast<std::uint64_t>(seed));
        for (auto at = Duration(0); at < end;) {
            ++polls[at / 100ms];
            at += schedule.next(at < availableAt ? PollSchedule::Outcome::Failed : PollSchedule::Outcome::Answered);
        }
    }
    return polls;
}

auto most(const std::map<long, int>& polls, long from) -> int
{
    auto highest = 0;
    for (auto tenth = polls.lower_bound(from); tenth != polls.end(); ++tenth)
        highest = std::max(highest, tenth->second);
    return highest;
}

} // namespace

// 400 entries of two regions start at the same moment. Without jitter they would send 400 reads in the same millisecond
// of every second, and the platform would refuse some of them each time. The jitter spreads them within some seconds.
BOOST_AUTO_TEST_CASE(pollers_that_start_together_spread_out)
{
    const auto polls = pollsPerTenth(400, 0s, 60s);
    BOOST_TEST(polls.at(0) == 400);
    BOOST_TEST(most(polls, 200) < 80);
}

// The platform is unavailable for a minute and returns. The pollers must not cause a burst: there are fewer polls than
// usual during the outage, and every tenth of a second afterwards has fewer than 80 polls, twice the 40 of an even
// distribution.
BOOST_AUTO_TEST_CASE(an_outage_ends_without_a_burst)
{
    const auto polls = pollsPerTenth(400, 60s, 90s);
    auto duringOutage = 0;
    for (auto tenth = 300L; tenth < 600; ++tenth)
        duringOutage += polls.contains(tenth) ? polls.at(tenth) : 0;
    BOOST_TEST(duringOutage < 30 * 400 / 3);
    BOOST_TEST(most(polls, 600) < 80);
}

BOOST_AUTO_TEST_CASE(a_failing_platform_is_asked_again_within_the_limit)
{
    auto schedule = PollSchedule(1s, 4s, 7);
    for (auto failure = 0; failure < 50; ++failure)
        BOOST_TEST((schedule.next(PollSchedule::Outcome::Failed) <= 5s));
    BOOST_TEST((schedule.next(PollSchedule::Outcome::Answered) <= 1250ms));
}
