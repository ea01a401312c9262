#include "decisions/ReplicaSilence.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::decisions::ReplicaSilence;

namespace {

using Failure = ReplicaSilence::Failure;

constexpr auto reportLimit = Duration(400ms);
constexpr auto interval = Duration(250ms);

/// Asks for reports as an agent does, from the beginning of a pause on that no report outlasts. Returns how often the
/// replica counted as gone.
auto timesGone(ReplicaSilence& silence, Duration pause)
{
    auto gone = 0;
    for (auto askedAt = Moment(1s); askedAt + reportLimit <= Moment(1s) + pause; askedAt += reportLimit + interval)
        gone += silence.reportFailed(Failure::NoAnswerInTime, askedAt, askedAt + reportLimit) ? 1 : 0;
    return gone;
}

} // namespace

// Guards against forgetting a replica that does nothing for up to two seconds and then goes on.
BOOST_AUTO_TEST_CASE(replica_that_pauses_is_silent_and_not_gone)
{
    for (const auto pause : { Duration(500ms), Duration(1200ms), Duration(2s) }) {
        auto silence = ReplicaSilence();
        BOOST_TEST(timesGone(silence, pause) == 0);
        BOOST_TEST(silence.silent());
        silence.reported();
        BOOST_TEST(!silence.silent());
        BOOST_TEST(!silence.lasting());
    }
}

// Guards against granting requests to a silent replica until a second report has failed.
BOOST_AUTO_TEST_CASE(first_report_without_an_answer_shows_silence)
{
    auto silence = ReplicaSilence();
    (void)silence.reportFailed(Failure::NoAnswerInTime, Moment(1s), Moment(1400ms));
    BOOST_TEST(silence.silent());
    BOOST_TEST(!silence.lasting());
    (void)silence.reportFailed(Failure::NoAnswerInTime, Moment(1650ms), Moment(2050ms));
    BOOST_TEST(silence.lasting());
    BOOST_TEST((silence.length(Moment(2050ms)) == Duration(1050ms)));
}

// Guards against keeping what is known of a replica that has gone dark for good; told once.
BOOST_AUTO_TEST_CASE(replica_that_stays_silent_is_gone)
{
    auto silence = ReplicaSilence();
    BOOST_TEST(timesGone(silence, Duration(10s)) == 1);
    BOOST_TEST(silence.silent());
}

// Guards against taking longer than before to notice the end of a replica whose host refuses connections.
BOOST_AUTO_TEST_CASE(second_refused_connection_shows_that_the_replica_is_gone)
{
    auto silence = ReplicaSilence();
    BOOST_TEST(!silence.reportFailed(Failure::NoReport, Moment(1s), Moment(1s)));
    BOOST_TEST(!silence.silent());
    BOOST_TEST(silence.reportFailed(Failure::NoReport, Moment(1250ms), Moment(1250ms)));
    auto crashed = ReplicaSilence();
    BOOST_TEST(!crashed.reportFailed(Failure::NoAnswerInTime, Moment(1s), Moment(1400ms)));
    BOOST_TEST(crashed.reportFailed(Failure::NoReport, Moment(1650ms), Moment(1650ms)));
}
