#include "decisions/PollSchedule.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace eelgrass;
using decisions::PollSchedule;

namespace {

/// Polls in each tenth of a second when `count` pollers start at the same moment; the platform is away until `back`.
auto pollsPerTenth(int count, Duration back, Duration end) -> std::map<long, int>
{
    auto polls = std::map<long, int>();
    for (auto seed = 0; seed < count; ++seed) {
        auto schedule = PollSchedule(1s, 4s, static_cast<std::uint64_t>(seed));
        for (auto at = Duration(0); at < end;) {
            ++polls[at / 100ms];
            at += schedule.next(at < back ? PollSchedule::Outcome::Failed : PollSchedule::Outcome::Answered);
        }
    }
    return polls;
}

auto most(const std::map<long, int>& polls, long from) -> int
{
    auto high = 0;
    for (auto tenth = polls.lower_bound(from); tenth != polls.end(); ++tenth)
        high = std::max(high, tenth->second);
    return high;
}

} // namespace

// 400 entries of two regions start at one moment. In step they would send 400 reads in the same millisecond of each
// second for ever, and the platform would refuse some each time. The spread evens them out within some seconds.
BOOST_AUTO_TEST_CASE(pollers_that_start_together_spread_out)
{
    const auto polls = pollsPerTenth(400, 0s, 60s);
    BOOST_TEST(polls.at(0) == 400);
    BOOST_TEST(most(polls, 200) < 80);
}

// The platform is away for a minute and comes back. The pollers must not greet it with a burst: there are fewer
// polls than usual while it is away, and no tenth of a second afterwards sees more than
// twice the even share of 40.
BOOST_AUTO_TEST_CASE(an_outage_ends_without_a_burst)
{
    const auto polls = pollsPerTenth(400, 60s, 90s);
    auto away = 0;
    for (auto tenth = 300L; tenth < 600; ++tenth)
        away += polls.contains(tenth) ? polls.at(tenth) : 0;
    BOOST_TEST(away < 30 * 400 / 3);
    BOOST_TEST(most(polls, 600) < 80);
}

BOOST_AUTO_TEST_CASE(a_failing_platform_is_asked_again_within_the_limit)
{
    auto schedule = PollSchedule(1s, 4s, 7);
    for (auto failure = 0; failure < 50; ++failure)
        BOOST_TEST((schedule.next(PollSchedule::Outcome::Failed) <= 5s));
    BOOST_TEST((schedule.next(PollSchedule::Outcome::Answered) <= 1250ms));
}
