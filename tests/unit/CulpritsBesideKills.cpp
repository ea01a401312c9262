#include "decisions/CrashLedger.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto begin = Moment(Duration(std::chrono::hours(1)));
constexpr auto common = SharedHash(1);
constexpr auto deadly = SharedHash(2);

/// A crash `number` seconds after the beginning, under a request that no other one is like.
auto crash(CrashLedger& ledger, std::uint64_t number, const std::vector<SharedHash>& shared) -> Moment
{
    const auto at = begin + Duration(1s) * number;
    (void)ledger.apply({ RequestDigest(number), StartHash(number), 0, CrashEvidence::Crashed, at, shared }, at);
    return at;
}

auto refused(const CrashLedger& ledger, std::vector<SharedHash> shared, Moment now) -> bool
{
    return ledger.verdict({ RequestDigest(999), std::move(shared) }, now).refused;
}

} // namespace

// Guards against refusing what all requests hold for one more replica that was killed, or whose report on the culprit
// was lost with its entry.
BOOST_AUTO_TEST_CASE(common_content_with_a_crash_more_than_the_culprit_is_not_refused)
{
    auto ledger = CrashLedger();
    for (auto number = std::uint64_t(1); number <= 3; ++number)
        (void)crash(ledger, number, { common, deadly });
    auto now = crash(ledger, 4, { common });
    BOOST_TEST(refused(ledger, { common, deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
    // Three crashes that nothing else explains are its own.
    (void)crash(ledger, 5, { common });
    now = crash(ledger, 6, { common });
    BOOST_TEST(refused(ledger, { common }, now));
}

// The same before the culprit has crashes enough itself.
BOOST_AUTO_TEST_CASE(common_content_is_not_refused_while_a_narrower_thing_repeats_in_its_crashes)
{
    auto ledger = CrashLedger();
    (void)crash(ledger, 1, { common, deadly });
    (void)crash(ledger, 2, { common });
    auto now = crash(ledger, 3, { common, deadly });
    BOOST_TEST(!refused(ledger, { common }, now));
    BOOST_TEST(!refused(ledger, { common, deadly }, now));
    now = crash(ledger, 4, { common, deadly });
    BOOST_TEST(refused(ledger, { common, deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against refusing a popular part in place of the culprit, as one of its replicas was killed.
BOOST_AUTO_TEST_CASE(popular_part_that_also_crashed_without_the_culprit_is_not_refused)
{
    constexpr auto culprit = SharedHash(8);
    constexpr auto popular = SharedHash(7);
    auto ledger = CrashLedger();
    (void)crash(ledger, 1, { culprit, popular });
    (void)crash(ledger, 2, { culprit, SharedHash(9) });
    auto now = crash(ledger, 3, { culprit, popular });
    now += 1s;
    (void)ledger.apply({ RequestDigest(4), StartHash(4), 0, CrashEvidence::Crashed, now, { popular }, true }, now);
    BOOST_TEST(refused(ledger, { culprit }, now));
    BOOST_TEST(!refused(ledger, { popular }, now));
}

// Guards against refusing a popular part in place of the culprit, which has no more crashes once it is refused, while
// replicas that are killed go on to add some to what is popular.
BOOST_AUTO_TEST_CASE(part_that_crashed_with_the_culprit_and_without_it_later_is_not_refused)
{
    for (const auto popular : { SharedHash(deadly.value() - 1), SharedHash(deadly.value() + 1) }) {
        auto ledger = CrashLedger();
        (void)crash(ledger, 1, { deadly });
        (void)crash(ledger, 2, { deadly, popular });
        (void)crash(ledger, 3, { deadly, popular });
        for (auto number = std::uint64_t(4); number <= 5; ++number) {
            const auto now = crash(ledger, number, { popular });
            BOOST_TEST(refused(ledger, { deadly }, now));
            BOOST_TEST(!refused(ledger, { popular }, now));
        }
    }
}

// Guards against refusing what all requests hold for runs that had not begun, as the culprit crashes after its first
// events.
BOOST_AUTO_TEST_CASE(common_content_of_runs_that_had_not_begun_is_not_refused_beside_a_culprit_that_had)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 4; ++start) {
        now = crash(ledger, start, { common, SharedHash(20 + start) });
        (void)ledger.apply(
            { RequestDigest(100 + start), StartHash(start), 0, CrashEvidence::Crashed, now, { common, deadly }, true },
            now);
    }
    now = crash(ledger, 5, { common });
    BOOST_TEST(refused(ledger, { common, deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against a cause that is never refused as long as popular sound parts repeat in its crashes.
BOOST_AUTO_TEST_CASE(content_that_crashes_replicas_with_any_popular_part_is_refused_by_the_sixth_crash)
{
    constexpr auto requests = std::uint64_t(6);
    for (auto popular = std::uint64_t(1); popular <= requests; ++popular) {
        auto ledger = CrashLedger();
        auto now = begin;
        for (auto number = std::uint64_t(1); number <= requests; ++number)
            now = crash(ledger, number, { deadly, SharedHash(10 + number % popular) });
        for (auto part = std::uint64_t(0); part < popular; ++part)
            BOOST_TEST(refused(ledger, { deadly, SharedHash(10 + part) }, now));
    }
}

// Guards against refusing what all requests hold for the first reports on starts of which the others are on their way.
BOOST_AUTO_TEST_CASE(crashes_count_once_the_other_reports_on_their_starts_are_likely_to_be_known)
{
    constexpr auto settleTime = Duration(500ms);
    constexpr auto reportDelay = Duration(300ms);
    auto ledger = CrashLedger(settleTime);
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 3; ++start) {
        now = begin + Duration(1s) * start;
        (void)ledger.apply(
            { RequestDigest(100 + start), StartHash(start), 0, CrashEvidence::Crashed, now, { common } }, now);
        BOOST_TEST(!refused(ledger, { common }, now));
        const auto at = now;
        now += reportDelay;
        BOOST_TEST(!refused(ledger, { common }, now));
        (void)ledger.apply(
            { RequestDigest(start), StartHash(start), 0, CrashEvidence::Crashed, at, { common, deadly } }, now);
    }
    BOOST_TEST(!refused(ledger, { common, deadly }, now));
    now += settleTime - reportDelay;
    BOOST_TEST(refused(ledger, { common, deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against an entry that starts now and sends what all others refuse, and against a further probe beside the one
// that has just crashed a replica.
BOOST_AUTO_TEST_CASE(crashes_of_some_time_ago_count_at_once_and_the_last_one_moves_the_probe)
{
    auto ledger = CrashLedger(Duration(500ms));
    auto now = begin + 200s;
    for (auto start = std::uint64_t(1); start <= 3; ++start) {
        const auto at = begin + Duration(1s) * start;
        (void)ledger.apply({ RequestDigest(start), StartHash(start), 0, CrashEvidence::Crashed, at, { deadly } }, now);
    }
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST((ledger.verdict({ RequestDigest(999), { deadly } }, now).probeFrom <= now));
    (void)ledger.apply({ RequestDigest(4), StartHash(4), 0, CrashEvidence::Crashed, now, { deadly } }, now);
    BOOST_TEST((ledger.verdict({ RequestDigest(999), { deadly } }, now).probeFrom > now + 60s));
}
