#include "decisions/CrashLedger.h"

#include "decisions/FirstByRendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto begin = Moment(Duration(std::chrono::hours(1)));
constexpr auto request = RequestDigest(1);
constexpr auto other = RequestDigest(2);

auto crash(RequestDigest digest, std::uint64_t start, Moment at) -> CrashReport
{
    return { digest, StartHash(start), 0, CrashEvidence::Crashed, at };
}

/// Crashes a second apart, from `first` on.
auto crashes(CrashLedger& ledger, RequestDigest digest, std::uint64_t first, std::uint64_t count) -> Moment
{
    auto at = begin;
    for (auto start = first; start < first + count; ++start) {
        at = begin + Duration(1s) * start;
        (void)ledger.apply(crash(digest, start, at), at);
    }
    return at;
}

} // namespace

BOOST_AUTO_TEST_CASE(third_crash_refuses_a_request)
{
    auto ledger = CrashLedger();
    const auto second = crashes(ledger, request, 1, 2);
    BOOST_TEST(!ledger.verdict(request, second).refused);
    const auto third = crashes(ledger, request, 3, 1);
    BOOST_TEST(ledger.verdict(request, third).refused);
    BOOST_TEST(!ledger.verdict(other, third).refused);
}

// Guards against counting one crash for each run of a request that is asked for often, and for each who tells of it.
BOOST_AUTO_TEST_CASE(crash_counts_once_whoever_tells_of_it)
{
    auto ledger = CrashLedger();
    for (auto count = 0; count < 10; ++count)
        (void)ledger.apply(crash(request, 7, begin + Duration(1ms) * count), begin + 1s);
    BOOST_TEST(ledger.verdict(request, begin + 1s).crashes == 1U);
    BOOST_TEST(!ledger.apply(crash(request, 7, begin), begin + 2s));
}

BOOST_AUTO_TEST_CASE(whole_run_clears_what_was_before)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, request, 1, 2);
    BOOST_TEST(ledger.clear(request, now).size() == 2U);
    BOOST_TEST(ledger.verdict(request, now).crashes == 0U);
    // A report that comes late from who has not heard of it changes nothing.
    BOOST_TEST(!ledger.apply(crash(request, 1, begin), now));
    (void)crashes(ledger, request, 4, 2);
    BOOST_TEST(ledger.verdict(request, begin + 6s).crashes == 2U);
}

// Guards against refusing for long what connections were reset under whose replicas went on.
BOOST_AUTO_TEST_CASE(break_without_a_crash_counts_for_a_while)
{
    auto ledger = CrashLedger();
    for (auto start = std::uint64_t(1); start <= CrashLedger::limit; ++start)
        (void)ledger.apply({ request, StartHash(start), 0, CrashEvidence::Broke, begin }, begin);
    BOOST_TEST(ledger.verdict(request, begin).refused);
    BOOST_TEST(!ledger.verdict(request, begin + CrashLedger::breakLifetime).refused);
    for (auto start = std::uint64_t(1); start <= CrashLedger::limit; ++start)
        BOOST_TEST(ledger.confirm(StartHash(start), begin + 1s).size() == 1U);
    BOOST_TEST(ledger.verdict(request, begin + CrashLedger::breakLifetime).refused);
}

// Guards against refusing a request that ran beside the cause each time that it was tried.
BOOST_AUTO_TEST_CASE(request_that_runs_beside_the_cause_is_not_refused)
{
    auto ledger = CrashLedger();
    (void)crashes(ledger, request, 1, 3);
    const auto tie = crashes(ledger, other, 1, 3);
    BOOST_TEST(!ledger.verdict(request, tie).refused);
    BOOST_TEST(!ledger.verdict(other, tie).refused);
    const auto now = crashes(ledger, request, 4, 1);
    BOOST_TEST(ledger.verdict(request, now).refused);
    BOOST_TEST(!ledger.verdict(other, now).refused);
}

// Guards against refusing the last one of those that ran at replicas which were killed, as the others have been
// cleared.
BOOST_AUTO_TEST_CASE(request_is_not_refused_for_what_cleared_requests_met_as_well)
{
    auto ledger = CrashLedger();
    (void)crashes(ledger, request, 1, 3);
    const auto now = crashes(ledger, other, 1, 3);
    (void)ledger.clear(other, now);
    BOOST_TEST(!ledger.verdict(request, now).refused);
}

// Guards against taking a request for a cause because it ran at one of several replicas that were killed together.
BOOST_AUTO_TEST_CASE(replicas_that_end_together_are_no_crashes)
{
    auto ledger = CrashLedger();
    for (auto kill = std::uint64_t(0); kill < CrashLedger::limit; ++kill) {
        const auto at = begin + Duration(5s) * kill;
        (void)ledger.apply(crash(request, 2 * kill, at), at);
        (void)ledger.apply(crash(RequestDigest(100 + kill), 2 * kill + 1, at + 20ms), at + 20ms);
    }
    const auto verdict = ledger.verdict(request, begin + 20s);
    BOOST_TEST(verdict.crashes == CrashLedger::limit);
    BOOST_TEST(verdict.unexplained == 0U);
    BOOST_TEST(!verdict.refused);
}

// Guards against a request that goes on for ever because another one always runs with it.
BOOST_AUTO_TEST_CASE(requests_that_always_run_together_are_refused_in_the_end)
{
    auto ledger = CrashLedger();
    (void)crashes(ledger, request, 1, CrashLedger::certainLimit);
    const auto now = crashes(ledger, other, 1, CrashLedger::certainLimit);
    BOOST_TEST(ledger.verdict(request, now).refused);
    BOOST_TEST(ledger.verdict(other, now).refused);
}

// Guards against a refusal that ends for all entries at once: from the moment that used to be its end on, one run is a
// probe.
BOOST_AUTO_TEST_CASE(refusal_lasts_until_a_probe_and_longer_after_each_further_crash)
{
    auto ledger = CrashLedger();
    const auto third = crashes(ledger, request, 1, 3);
    const auto later = third + CrashLedger::refusalTime;
    BOOST_TEST(ledger.verdict(request, later - 1s).refused);
    BOOST_TEST(ledger.verdict(request, later).refused);
    BOOST_TEST((ledger.verdict(request, later).probeFrom == later));
    (void)ledger.apply(crash(request, 9, later), later);
    BOOST_TEST(ledger.verdict(request, later + 1s).refused);
    BOOST_TEST((ledger.verdict(request, later + 1s).probeFrom == later + 2 * CrashLedger::refusalTime));
    (void)ledger.clear(request, later + 2s);
    BOOST_TEST(!ledger.verdict(request, later + 2s).refused);
}

// Guards against forgetting a cause when a bad day breaks thousands of other runs.
BOOST_AUTO_TEST_CASE(requests_with_the_fewest_crashes_are_dropped_first)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, request, 1, 3) + 1s;
    for (auto number = std::uint64_t(0); number < 3 * CrashLedger::capacity; ++number)
        (void)ledger.apply(crash(RequestDigest(1000 + number), 1000 + number, now + Duration(1ms) * number),
            now + Duration(1ms) * number);
    BOOST_TEST(ledger.verdict(request, now + 4s).refused);
    BOOST_TEST(ledger.reports(now + 4s).size() <= CrashLedger::capacity + 2);
}

// Guards against an agent that keeps to itself a whole run which clears crashes, as other agents keep the reports on
// them.
BOOST_AUTO_TEST_CASE(later_whole_run_is_news_to_who_keeps_no_report_on_what_it_held)
{
    constexpr auto held = SharedHash(7);
    auto keeper = CrashLedger();
    BOOST_TEST(keeper.apply(WholeRun { held, begin }, begin));
    const auto version = keeper.version();
    BOOST_TEST(keeper.apply(WholeRun { held, begin + 2s }, begin + 2s));
    BOOST_TEST(keeper.version() > version);
    BOOST_TEST(!keeper.apply(WholeRun { held, begin + 2s }, begin + 3s));
    BOOST_TEST(!keeper.apply(WholeRun { held, begin }, begin + 3s));
}

// Guards against processes that spend their time on taking in again what they have dropped: others publish it each
// time.
BOOST_AUTO_TEST_CASE(dropped_reports_are_not_taken_in_again_when_they_are_told_again)
{
    constexpr auto runsAtKilledReplicas = std::uint64_t(4000);
    auto ledger = CrashLedger();
    auto now = begin;
    auto published = std::vector<CrashReport>();
    for (auto number = std::uint64_t(0); number < runsAtKilledReplicas; ++number)
        published.push_back(crash(RequestDigest(1000 + number), number % 400, begin + Duration(1ms) * (number % 400)));
    const auto news = [&] {
        return std::count_if(
            published.begin(), published.end(), [&](const CrashReport& report) { return ledger.apply(report, now); });
    };
    BOOST_TEST(news() > 0);
    now += 1s;
    (void)news();
    now += 1s;
    const auto version = ledger.version();
    BOOST_TEST(news() == 0);
    BOOST_TEST(ledger.version() == version);
    // What happens from now on is taken in all the same.
    now = crashes(ledger, request, 1000, 3);
    BOOST_TEST(ledger.verdict(request, now).refused);
}

namespace {

/// Entries and agents that share reports with delays, and are killed at random; replicas that crash under one request.
class Fleet {
public:
    Fleet(std::size_t entries, std::size_t agents, std::uint64_t seed)
        : random_(seed)
        , entries_(entries)
        , agents_(agents)
        , startOf_(agents)
    {
        for (auto& start : startOf_)
            start = ++starts_;
    }

    /// Sends the request at a random entry; whether it ran, and crashed its replica.
    auto send(RequestDigest digest, bool fatal) -> bool
    {
        auto& entry = entries_[drawn(entries_.size())];
        if (entry.verdict(digest, now_).refused)
            return false;
        const auto replica = drawn(agents_.size());
        if (!fatal) {
            beside_[replica].insert(digest);
            return true;
        }
        crashReplica(replica, entry, digest);
        return true;
    }
    /// What ran beside runs to its end elsewhere, now and then.
    auto answer(RequestDigest digest) -> void
    {
        auto& entry = entries_[drawn(entries_.size())];
        if (!entry.verdict(digest, now_).refused)
            tell(entry.clear(digest, now_));
    }
    auto pass(Duration time) -> void
    {
        now_ += time;
        // Agents publish, and entries tell again what they know.
        for (auto& agent : agents_) {
            for (const auto& report : agent.reports(now_)) {
                for (auto& entry : entries_)
                    (void)entry.apply(report, now_);
            }
        }
        for (const auto& report : entries_[drawn(entries_.size())].reports(now_))
            tell({ report });
    }
    /// A process is replaced by one that knows nothing.
    auto kill() -> void
    {
        if (drawn(2) == 0)
            agents_[drawn(agents_.size())] = {};
        else
            entries_[drawn(entries_.size())] = {};
    }
    [[nodiscard]] auto drawn(std::size_t count) -> std::size_t { return random_() % count; }
    [[nodiscard]] auto now() const -> Moment { return now_; }
    [[nodiscard]] auto refusedAnywhere(RequestDigest digest) const -> bool
    {
        return std::any_of(entries_.begin(), entries_.end(),
            [&](const CrashLedger& entry) { return entry.verdict(digest, now_).refused; });
    }

private:
    auto crashReplica(std::size_t replica, CrashLedger& entry, RequestDigest digest) -> void
    {
        const auto start = std::exchange(startOf_[replica], ++starts_);
        auto reports = std::vector<CrashReport> { crash(digest, start, now_) };
        for (const auto& one : std::exchange(beside_[replica], {}))
            reports.push_back(crash(one, start, now_));
        for (const auto& report : reports)
            (void)entry.apply(report, now_);
        tell(reports);
    }
    auto tell(const std::vector<CrashReport>& reports) -> void
    {
        for (const auto& report : reports) {
            auto keepers = FirstByRendezvous<std::size_t>(report.request.value(), 2);
            for (auto agent = std::size_t(0); agent < agents_.size(); ++agent)
                keepers.offer(agent, agent * 7919 + 1);
            for (const auto agent : keepers.nodes())
                (void)agents_[agent].apply(report, now_);
        }
    }

    std::mt19937_64 random_;
    Moment now_ = begin;
    std::vector<CrashLedger> entries_;
    std::vector<CrashLedger> agents_;
    std::vector<std::uint64_t> startOf_;
    std::map<std::size_t, std::set<RequestDigest>> beside_;
    std::uint64_t starts_ = 0;
};

} // namespace

// Guards against a count that is lost with the processes that had it, and against refusing what runs beside.
BOOST_AUTO_TEST_CASE(crashing_request_is_refused_in_time_whatever_dies)
{
    constexpr auto notice = Duration(3s);
    constexpr auto maxLateRuns = 3;
    constexpr auto besideCount = std::uint64_t(12);
    for (const auto entries : { std::size_t(3), std::size_t(24), std::size_t(400) }) {
        for (auto seed = std::uint64_t(1); seed <= 10; ++seed) {
            auto fleet = Fleet(entries, 9, seed);
            auto crashMoments = std::vector<Moment>();
            auto late = 0;
            for (auto step = 0; step < 120; ++step) {
                for (auto number = std::uint64_t(0); number < besideCount; ++number) {
                    const auto digest = RequestDigest(100 + number);
                    (void)fleet.send(digest, false);
                    if (fleet.drawn(4) == 0)
                        fleet.answer(digest);
                }
                if (fleet.send(request, true)) {
                    late += crashMoments.size() >= 3 && fleet.now() > crashMoments[2] + notice ? 1 : 0;
                    crashMoments.push_back(fleet.now());
                }
                if (fleet.drawn(3) == 0)
                    fleet.kill();
                fleet.pass(400ms);
            }
            BOOST_TEST(late <= maxLateRuns);
            for (auto number = std::uint64_t(0); number < besideCount; ++number)
                BOOST_TEST(!fleet.refusedAnywhere(RequestDigest(100 + number)));
        }
    }
}
