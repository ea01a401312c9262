// Tests as of which moment answers to long polls are.
#include "decisions/LongPolls.h"
#include "decisions/ConfigurationFreshness.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto start = Moment(Duration(1000s));
constexpr auto peer = Duration(70s);
constexpr auto wait = Duration(2s);

/// An empty answer that came `took` after it was asked for, when the peer's clock stood at `peerTime`.
auto empty(Moment askedAt, Duration took, std::optional<Duration> peerTime) -> LongPolls::Answer
{
    return { .askedAt = askedAt, .receivedAt = askedAt + took, .wait = wait, .empty = true, .peerTime = peerTime };
}

} // namespace

// Guards against refusing requests because the answers to long polls appear outdated.
BOOST_AUTO_TEST_CASE(an_empty_answer_is_as_of_the_end_of_its_wait)
{
    auto polls = LongPolls();
    BOOST_TEST((polls.asOf(empty(start, wait + 3ms, peer)) == start + wait));
    const auto asked = start + wait + 4ms;
    BOOST_TEST((polls.asOf(empty(asked, wait + 300ms, peer + wait + 4ms)) == asked + wait));
}

// Guards against taking the end of a wait for the moment of an answer that came before, with changes.
BOOST_AUTO_TEST_CASE(an_answer_with_changes_is_as_of_its_asking)
{
    auto polls = LongPolls();
    auto answer = empty(start, wait + 3ms, peer);
    answer.empty = false;
    BOOST_TEST((polls.asOf(answer) == start));
}

// Guards against accepting a key that went while the process was suspended with the answer in its socket.
BOOST_AUTO_TEST_CASE(an_answer_that_waited_in_a_socket_is_not_new)
{
    auto polls = LongPolls();
    auto freshness = ConfigurationFreshness(5s);
    const auto resumed = start + wait + 6s;
    freshness.confirmed(polls.asOf(empty(start, wait + 6s, peer)), resumed);
    BOOST_TEST(!freshness.holds(resumed));
}

// Guards against a peer that ends a wait early: an answer that is read late does not show how long it took.
BOOST_AUTO_TEST_CASE(a_wait_that_was_not_kept_counts_for_nothing)
{
    auto polls = LongPolls();
    BOOST_TEST((polls.asOf(empty(start, wait - 1ms, peer)) == start));
    const auto asked = start + wait;
    BOOST_TEST((polls.asOf(empty(asked, wait + 6s, peer + 100ms)) == asked));
}

// Guards against trusting the clock of another process of the peer; whatever its step, nothing gets newer by it.
BOOST_AUTO_TEST_CASE(a_step_of_the_peers_clock_makes_no_answer_newer)
{
    for (const auto step : { Duration(-60s), Duration(-1s), Duration(100ms), Duration(500s) }) {
        auto polls = LongPolls();
        (void)polls.asOf(empty(start, wait, peer));
        auto asked = start + wait;
        for (auto count = 1; count < 4; ++count) {
            const auto time = peer + count * wait + step;
            // Right after a step back the peer is not taken to have waited.
            const auto latest = step < Duration(0) && count == 1 ? asked : asked + wait;
            BOOST_TEST((polls.asOf(empty(asked, wait + 1ms, time)) <= latest));
            // A step that may be a wait that was not kept, or kept for longer, is not told from one.
            const auto certain = count == 1 && (step == Duration(-60s) || step == Duration(500s));
            BOOST_TEST((polls.clockStep() != Duration(0)) == certain);
            asked += wait;
        }
        // Once the clock goes on steadily, the waits count again.
        BOOST_TEST((polls.asOf(empty(asked, wait + 1ms, peer + 4 * wait + step)) == asked + wait));
    }
}
