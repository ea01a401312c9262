// The rest that a replica asks a host for, and the return of requests after it.
#include "decisions/RequestedRest.h"
#include "decisions/ReturnTimes.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <vector>

using namespace eelgrass;
using eelgrass::decisions::RequestedRest;
using eelgrass::decisions::ReturnTimes;

namespace {

constexpr auto start = Moment(100s);

/// Sends all that it may for `time`, looking each millisecond, before sends are unlimited again; returns when it sent.
auto sendsOf(RequestedRest& rest, Moment from, Duration time) -> std::vector<Moment>
{
    auto sends = std::vector<Moment>();
    for (auto now = from; now < from + time; now += 1ms) {
        while (rest.allows(now)) {
            rest.recordSend(now);
            sends.push_back(now);
        }
    }
    return sends;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_replica_that_never_asked_gets_requests)
{
    auto rest = RequestedRest();
    BOOST_TEST(rest.allows(Moment()));
    BOOST_TEST(!rest.resting(start));
    BOOST_TEST(!rest.end().has_value());
}

// Guards against a rest that a later, shorter one ends.
BOOST_AUTO_TEST_CASE(the_latest_end_holds)
{
    auto rest = RequestedRest();
    BOOST_TEST(rest.ask(3s, 0s, start));
    BOOST_TEST(!rest.ask(1s, 0s, start + 1s));
    BOOST_TEST(!rest.ask(0s, 0s, start + 1s));
    BOOST_TEST(!rest.ask(-5s, 0s, start + 1s));
    BOOST_TEST(rest.resting(start + 3s - 1us));
    BOOST_TEST(!rest.allows(start + 3s - 1us));
    BOOST_TEST(rest.allows(start + 3s));
    BOOST_TEST(rest.ask(3s, 0s, start + 2s));
    BOOST_TEST(!rest.allows(start + 4s));
    BOOST_TEST(rest.allows(start + 5s));
}

// Guards against a replica that is lost for good by one wrong answer.
BOOST_AUTO_TEST_CASE(a_rest_of_days_ends_after_minutes)
{
    auto rest = RequestedRest();
    rest.ask(std::chrono::hours(1000), 0s, start);
    BOOST_TEST(!rest.allows(start + RequestedRest::maxRest - 1ms));
    BOOST_TEST(rest.allows(start + RequestedRest::maxRest));
}

// Guards against the herd at the end of a rest: a few requests first, then more, until nothing is held back.
BOOST_AUTO_TEST_CASE(after_the_rest_a_few_are_sent_and_then_more)
{
    auto rest = RequestedRest();
    rest.ask(3s, 0s, start);
    const auto end = start + 3s;
    BOOST_TEST(sendsOf(rest, start, 3s).empty());
    const auto first = sendsOf(rest, end, 100ms);
    const auto second = sendsOf(rest, end + 100ms, 100ms);
    BOOST_TEST(first.size() == 2U);
    BOOST_TEST(second.size() == 4U);
    for (auto count = 0; count < 1000; ++count) {
        BOOST_TEST_REQUIRE(rest.allows(end + 1s));
        rest.recordSend(end + 1s);
    }
}

// Guards against a moment to wait for that does not come: waiting until then lets one request through.
BOOST_AUTO_TEST_CASE(sends_are_allowed_from_the_moment_that_is_told)
{
    auto rest = RequestedRest();
    rest.ask(2s, 30ms, start);
    auto now = start;
    for (auto count = 0; count < 200; ++count) {
        now = std::max(now, rest.sendsFrom(now));
        BOOST_TEST_REQUIRE(rest.allows(now));
        rest.recordSend(now);
    }
    BOOST_TEST((now <= start + 2s + 30ms + 700ms));
}

// Guards against many hosts that were all asked at the same moment and all come back at the same moment.
BOOST_AUTO_TEST_CASE(four_hundred_hosts_do_not_come_back_together)
{
    for (const auto hosts : { std::size_t(3), std::size_t(400) }) {
        auto within = std::map<Duration::rep, std::size_t>();
        for (auto host = std::size_t(0); host < hosts; ++host) {
            const auto position = (static_cast<double>(host) + 0.5) / static_cast<double>(hosts);
            auto rest = RequestedRest();
            rest.ask(3s, RequestedRest::startDelay(3s, hosts, position), start);
            for (const auto at : sendsOf(rest, start, 3s + 100ms))
                ++within[(at - start) / 100ms];
        }
        auto first = std::size_t(0);
        for (const auto& [slice, sends] : within)
            first = std::max(first, sends);
        BOOST_TEST(first <= 64U);
        BOOST_TEST((within.empty() || within.begin()->first >= 30));
    }
    BOOST_TEST((RequestedRest::startDelay(200ms, 400, 1) <= 100ms));
}

// Guards against clients that are all told the same moment, and against urgent ones that come last.
BOOST_AUTO_TEST_CASE(refused_clients_return_one_after_another_urgent_ones_first)
{
    auto returns = ReturnTimes();
    auto delays = std::set<Duration>();
    for (auto count = 0; count < 50; ++count)
        delays.insert(returns.next(5, start + 3s, start));
    BOOST_TEST(delays.size() == 50U);
    BOOST_TEST((returns.next(0, start + 3s, start) < 20ms));
    BOOST_TEST((returns.next(9, start + 3s, start) >= 1s));
    // The next rest starts from the beginning.
    BOOST_TEST((returns.next(9, start + 9s, start + 4s) == 0ms));
}
