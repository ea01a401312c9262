// Tests of what is believed of a replica's rate limit when answers overtake each other.
#include "decisions/AnnouncedRateLimit.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;
using Change = AnnouncedRateLimit::Change;

namespace {

constexpr auto start = Moment(Duration(1000s));

/// An answer to a request that was sent at `sent` after the start and took `took`.
auto answer(std::optional<double> perSecond, Duration sent, Duration took = 50ms) -> RateLimitStatement
{
    return { perSecond, start + sent, start + sent + took };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_limit_is_learned_changes_and_ends)
{
    auto limit = AnnouncedRateLimit();
    BOOST_TEST((limit.apply(answer({}, 0s)) == Change::None));
    BOOST_TEST((limit.apply(answer(1, 1s)) == Change::Learned));
    BOOST_TEST((limit.apply(answer(1, 2s)) == Change::None));
    BOOST_TEST((limit.apply(answer(4, 3s)) == Change::Changed));
    BOOST_TEST((limit.apply(answer(0.5, 4s)) == Change::Changed));
    BOOST_TEST(*limit.perSecond() == 0.5);
    BOOST_TEST((limit.apply(answer({}, 5s)) == Change::Ended));
    BOOST_TEST(!limit.perSecond().has_value());
    BOOST_TEST((limit.apply(answer(1, 6s)) == Change::Learned));
}

// Guards against forgetting a limit because of an answer that was made before it and arrives after it.
BOOST_AUTO_TEST_CASE(an_overtaken_answer_does_not_end_a_limit)
{
    auto limit = AnnouncedRateLimit();
    BOOST_TEST((limit.apply(answer(1, 1s)) == Change::Learned));
    BOOST_TEST((limit.apply(answer({}, 500ms, 3s)) == Change::None));
    BOOST_TEST((limit.apply(answer(5, 900ms, 3s)) == Change::None));
    BOOST_TEST(*limit.perSecond() == 1);
    // Named again at 5 s, the limit is not ended by a request that was sent before that.
    BOOST_TEST((limit.apply(answer(1, 5s)) == Change::None));
    BOOST_TEST((limit.apply(answer({}, 4s, 3s)) == Change::None));
    BOOST_TEST((limit.apply(answer({}, 6s)) == Change::Ended));
}

BOOST_AUTO_TEST_CASE(the_lower_of_two_limits_holds_if_their_order_is_unknown)
{
    auto limit = AnnouncedRateLimit();
    BOOST_TEST((limit.apply(answer(5, 1s, 2s)) == Change::Learned));
    BOOST_TEST((limit.apply(answer(2, 2s, 2s)) == Change::Changed));
    BOOST_TEST((limit.apply(answer(5, 3s, 2s)) == Change::None));
    BOOST_TEST(*limit.perSecond() == 2);
    BOOST_TEST((limit.apply(answer(5, 6s)) == Change::Changed));
}

// Guards against an entry that was cut off and brings back a limit which has ended meanwhile.
BOOST_AUTO_TEST_CASE(a_statement_that_is_surely_older_changes_nothing)
{
    auto limit = AnnouncedRateLimit();
    BOOST_TEST((limit.apply(answer(1, 1s)) == Change::Learned));
    BOOST_TEST((limit.apply(answer({}, 10s)) == Change::Ended));
    BOOST_TEST((limit.apply(answer(1, 2s)) == Change::None));
    BOOST_TEST(!limit.perSecond().has_value());
}
