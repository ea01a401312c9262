#include "decisions/SharedCulprits.h"

#include "decisions/CrashLedger.h"
#include "decisions/ProbeLeases.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto begin = Moment(Duration(std::chrono::hours(1)));
constexpr auto common = SharedHash(1);
constexpr auto deadly = SharedHash(2);
constexpr auto rare = SharedHash(3);
constexpr auto second = SharedHash(4);

auto crash(std::uint64_t request, std::uint64_t start, Moment at, std::vector<SharedHash> shared) -> CrashReport
{
    return { RequestDigest(request), StartHash(start), 0, CrashEvidence::Crashed, at, std::move(shared) };
}

/// One crash each `gap` under another request each time; the number of the first is used for starts and requests.
auto crashes(CrashLedger& ledger, std::uint64_t first, std::uint64_t count, const std::vector<SharedHash>& shared,
    Duration gap = 1s) -> Moment
{
    auto at = begin;
    for (auto number = first; number < first + count; ++number) {
        at = begin + gap * number;
        (void)ledger.apply(crash(number, number, at, shared), at);
    }
    return at;
}

auto refused(const CrashLedger& ledger, std::vector<SharedHash> shared, Moment now) -> bool
{
    return ledger.verdict({ RequestDigest(999'999), std::move(shared) }, now).refused;
}

} // namespace

// Guards against blaming requests alone, of which no two are alike.
BOOST_AUTO_TEST_CASE(part_under_which_three_requests_crashed_replicas_is_refused)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, 1, 2, { deadly });
    BOOST_TEST(!refused(ledger, { deadly }, now));
    const auto third = crashes(ledger, 3, 1, { deadly });
    BOOST_TEST(refused(ledger, { rare, deadly }, third));
    BOOST_TEST(!refused(ledger, { rare }, third));
}

// Guards against blaming the parts of one request that comes again and again.
BOOST_AUTO_TEST_CASE(parts_of_one_request_that_crashes_replicas_are_not_refused)
{
    auto ledger = CrashLedger();
    auto at = begin;
    for (auto start = std::uint64_t(1); start <= 6; ++start) {
        at += 1s;
        (void)ledger.apply(crash(7, start, at, { common, deadly }), at);
    }
    BOOST_TEST(ledger.verdict(RequestDigest(7), at).refused);
    BOOST_TEST(!refused(ledger, { common, deadly }, at));
}

// Guards against refusing what is popular for the crashes of what it is often asked for together with.
BOOST_AUTO_TEST_CASE(part_that_others_were_served_with_is_not_refused)
{
    auto ledger = CrashLedger();
    (void)ledger.ranWhole({ common }, begin, begin);
    const auto now = crashes(ledger, 1, 8, { common, deadly });
    BOOST_TEST(refused(ledger, { common, deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
    BOOST_TEST(!refused(ledger, { common, rare }, now));
}

// Guards against refusing sound requests while nothing tells two parts apart: only what holds both is refused.
BOOST_AUTO_TEST_CASE(parts_that_nothing_tells_apart_are_refused_together)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, 1, 4, { common, deadly });
    BOOST_TEST(refused(ledger, { common, deadly, rare }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
    BOOST_TEST(!refused(ledger, { deadly }, now));
    // A whole run of one of them tells.
    (void)ledger.ranWhole({ common }, now, now);
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against refusing what ran beside the part at each of its crashes.
BOOST_AUTO_TEST_CASE(parts_and_requests_beside_the_culprit_are_not_refused)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 6; ++start) {
        now += 1s;
        (void)ledger.apply(crash(start, start, now, { deadly }), now);
        // One that is repeated beside it each time, and others that share a part.
        (void)ledger.apply(crash(50, start, now, { second }), now);
        if (start > 1)
            (void)ledger.apply(crash(100 + start, start, now, { rare }), now);
    }
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(!refused(ledger, { rare }, now));
    BOOST_TEST(!ledger.verdict(RequestDigest(50), now).refused);
}

// Guards against refusing what more requests hold than the part, since sound ones run beside it, and one crashing
// request is repeated.
BOOST_AUTO_TEST_CASE(part_of_sound_requests_beside_repeats_is_not_refused)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 4; ++start) {
        now += 1s;
        (void)ledger.apply(crash(start / 2, start, now, { common, deadly }), now);
        (void)ledger.apply(crash(100 + start, start, now, { common, SharedHash(200 + start % 3) }), now);
        BOOST_TEST(!refused(ledger, { common, rare }, now));
    }
    BOOST_TEST(refused(ledger, { common, deadly }, now));
}

// Guards against choosing one of two parts by chance, of which always one ran beside the other.
BOOST_AUTO_TEST_CASE(parts_that_always_run_beside_each_other_wait_for_the_next_crash)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 3; ++start) {
        now += 1s;
        (void)ledger.apply(crash(start, start, now, { deadly }), now);
        (void)ledger.apply(crash(100 + start, start, now, { rare }), now);
    }
    BOOST_TEST(!refused(ledger, { deadly }, now));
    BOOST_TEST(!refused(ledger, { rare }, now));
    now += 1s;
    (void)ledger.apply(crash(4, 4, now, { deadly }), now);
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(!refused(ledger, { rare }, now));
}

// Guards against refusing a system prompt because all replicas were killed at once, before any whole run of it.
BOOST_AUTO_TEST_CASE(part_of_all_requests_at_replicas_killed_within_a_second_is_not_refused)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, 1, 9, { common }, 100ms);
    BOOST_TEST(!refused(ledger, { common }, now));
}

// The same for what was served before, and for kills over two seconds.
BOOST_AUTO_TEST_CASE(sound_part_at_replicas_killed_one_after_the_other_is_not_refused)
{
    auto ledger = CrashLedger();
    (void)ledger.ranWhole({ common }, begin - 5s, begin);
    const auto now = crashes(ledger, 1, 7, { common }, 300ms);
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against trusting for ever what was sound once.
BOOST_AUTO_TEST_CASE(part_that_was_sound_and_crashes_replicas_now_is_refused)
{
    auto ledger = CrashLedger();
    (void)ledger.ranWhole({ common, deadly }, begin, begin);
    const auto now = crashes(ledger, 1, 5, { deadly });
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against crashes that count again when the whole run that cleared them is forgotten before the reports on them,
// at the process that had it and at those that are told later.
BOOST_AUTO_TEST_CASE(cleared_part_stays_cleared_for_as_long_as_the_reports_on_its_crashes)
{
    auto ledger = CrashLedger();
    auto now = crashes(ledger, 1, 4, { deadly }) + 1s;
    (void)ledger.ranWhole({ deadly }, now, now);
    for (auto number = std::uint64_t(0); number < 2 * WholeRuns::capacity; ++number)
        (void)ledger.ranWhole({ SharedHash(100'000 + number) }, now + 1s, now + 1s);
    for (auto count = 0; count < 20; ++count) {
        now += std::chrono::minutes(5);
        (void)ledger.expire(now);
        BOOST_TEST(!refused(ledger, { deadly }, now));
        auto later = CrashLedger();
        for (const auto& report : ledger.reports(now))
            (void)later.apply(report, now);
        BOOST_TEST(refused(later, { deadly }, now));
        for (const auto& run : ledger.wholeRuns(now))
            BOOST_TEST(later.apply(run, now) == (run.held == deadly));
        BOOST_TEST(!refused(later, { deadly }, now));
    }
}

// Guards against refusing what all requests hold because connections of several replicas were reset, which went on.
BOOST_AUTO_TEST_CASE(part_of_requests_whose_connections_broke_off_is_not_refused)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto number = std::uint64_t(1); number <= 6; ++number) {
        now += 1s;
        (void)ledger.apply({ RequestDigest(number), StartHash(number), 0, CrashEvidence::Broke, now, { common } }, now);
    }
    BOOST_TEST(!refused(ledger, { common }, now));
    for (auto number = std::uint64_t(1); number <= 6; ++number)
        BOOST_TEST(ledger.confirm(StartHash(number), now - 2s, now).size() == (number >= 4 ? 1U : 0U));
    BOOST_TEST(refused(ledger, { common }, now));
}

// Guards against doubt between a part and what sound requests hold, when one of these runs beside each crash: they have
// begun to answer, and the culprit has not.
BOOST_AUTO_TEST_CASE(part_of_runs_that_had_begun_is_not_refused_for_those_that_had_not)
{
    constexpr auto adapter = SharedHash(20);
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto start = std::uint64_t(1); start <= 4; ++start) {
        now += 1s;
        (void)ledger.apply(crash(start, start, now, { deadly, adapter }), now);
        auto beside = crash(100 + start, start, now, { common, adapter });
        beside.begun = true;
        (void)ledger.apply(beside, now);
    }
    BOOST_TEST(refused(ledger, { deadly, adapter }, now));
    BOOST_TEST(!refused(ledger, { common, adapter }, now));
}

// Guards against one of two causes that hides the other one.
BOOST_AUTO_TEST_CASE(two_parts_that_crash_replicas_at_the_same_time_are_refused)
{
    auto ledger = CrashLedger();
    auto now = begin;
    for (auto number = std::uint64_t(1); number <= 8; ++number) {
        now += 300ms;
        (void)ledger.apply(crash(number, number, now, { common, number % 2 == 0 ? deadly : second }), now);
    }
    (void)ledger.ranWhole({ common }, now, now);
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(refused(ledger, { second }, now));
    BOOST_TEST(!refused(ledger, { common }, now));
}

// Guards against one member that gets a part refused for the others.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_for_one_member_is_refused_to_that_member)
{
    constexpr auto part = SharedHash(10);
    constexpr auto ofFirst = heldByMember(11);
    constexpr auto ofOther = heldByMember(12);
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, 1, 5, { part, ofFirst });
    BOOST_TEST(refused(ledger, { part, ofFirst }, now));
    BOOST_TEST(!refused(ledger, { part, ofOther }, now));
    const auto later = now + 1s;
    (void)ledger.apply(crash(60, 60, later, { part, ofOther }), later);
    BOOST_TEST(refused(ledger, { part, ofOther }, later));
}

// Guards against forgetting the culprit for the made-up parts of a stranger.
BOOST_AUTO_TEST_CASE(made_up_parts_do_not_push_out_a_culprit)
{
    auto ledger = CrashLedger();
    auto now = crashes(ledger, 1, 4, { deadly });
    for (auto number = std::uint64_t(0); number < 20 * CrashLedger::capacity; ++number) {
        now += 1ms;
        (void)ledger.apply(crash(10'000 + number, 10'000 + number, now, { SharedHash(10'000 + number) }), now);
    }
    BOOST_TEST(refused(ledger, { deadly }, now));
    BOOST_TEST(ledger.reports(now).size() <= CrashLedger::capacity + 4);
    for (auto number = std::uint64_t(0); number < 2 * WholeRuns::capacity; ++number)
        (void)ledger.ranWhole({ SharedHash(100'000 + number) }, now, now);
    BOOST_TEST(refused(ledger, { deadly }, now));
}

// Guards against a refusal that nothing could ever end, as what is refused has no whole run.
BOOST_AUTO_TEST_CASE(refused_part_is_tried_by_one_probe_at_a_time_and_cleared_by_its_whole_run)
{
    auto ledger = CrashLedger();
    const auto now = crashes(ledger, 1, 3, { deadly });
    const auto probeFrom = ledger.verdict({ RequestDigest(99), { deadly } }, now).probeFrom;
    BOOST_TEST((probeFrom > now + 15s));
    auto leases = ProbeLeases();
    auto granted = 0;
    for (auto entry = 0; entry < 400; ++entry)
        granted += leases.take(deadly.value(), probeFrom + Duration(10ms) * entry) ? 1 : 0;
    BOOST_TEST(granted == 1);
    (void)ledger.apply(crash(70, 70, probeFrom, { deadly }), probeFrom);
    BOOST_TEST((ledger.verdict({ RequestDigest(99), { deadly } }, probeFrom).probeFrom > probeFrom + 60s));
    (void)ledger.ranWhole({ deadly }, probeFrom + 1s, probeFrom + 1s);
    BOOST_TEST(!refused(ledger, { deadly }, probeFrom + 1s));
}

namespace {

/// Entries and agents that share reports and whole runs with delays, and are killed at random; a part that crashes each
/// replica that runs it, in requests of which no two are alike, and sound requests that share their other parts.
class Fleet {
public:
    Fleet(std::size_t entries, std::size_t replicas, std::uint64_t seed)
        : random_(seed)
        , entries_(entries)
        , agents_(10)
        , replicas_(replicas)
        , startedAt_(entries)
    {
    }

    auto step(Duration time, bool crashing) -> void
    {
        now_ += time;
        finishRuns();
        for (auto count = 0; count < 6; ++count)
            sendSound();
        if (crashing)
            sendCrashing();
        share();
    }
    /// All replicas of a rack end.
    auto killSome(std::size_t count) -> void
    {
        for (auto index = std::size_t(0); index < count; ++index)
            endReplica(drawn(replicas_.size()));
    }
    /// A process is replaced by one that knows nothing.
    auto killProcess() -> void
    {
        if (drawn(2) == 0) {
            agents_[drawn(agents_.size())] = {};
            return;
        }
        const auto entry = drawn(entries_.size());
        entries_[entry] = {};
        startedAt_[entry] = now_;
    }
    [[nodiscard]] auto drawn(std::size_t count) -> std::size_t { return random_() % count; }
    [[nodiscard]] auto late() const noexcept -> int { return late_; }
    [[nodiscard]] auto crashes() const noexcept -> std::size_t { return crashes_.size(); }
    [[nodiscard]] auto soundRefused() const noexcept -> int { return soundRefused_; }
    [[nodiscard]] auto soundSent() const noexcept -> int { return soundSent_; }

private:
    struct Run {
        RunContent content;
        std::size_t entry = 0;
        Moment begunAt {};
        Moment endsAt {};
    };
    struct Replica {
        std::uint64_t start = 0;
        Moment backAt {};
        std::vector<Run> runs;
    };

    [[nodiscard]] auto up() -> Replica*
    {
        for (auto tries = 0; tries < 8; ++tries) {
            auto& replica = replicas_[drawn(replicas_.size())];
            if (replica.backAt <= now_)
                return &replica;
        }
        return nullptr;
    }
    [[nodiscard]] auto content(bool crashing) -> RunContent
    {
        auto shared = std::vector { SharedHash(1), SharedHash(100 + drawn(20)) };
        if (crashing)
            shared.push_back(deadly);
        return { RequestDigest(++requests_), shared };
    }
    auto sendSound() -> void
    {
        const auto held = content(false);
        const auto entry = drawn(entries_.size());
        ++soundSent_;
        if (entries_[entry].verdict(held, now_).refused) {
            ++soundRefused_;
            return;
        }
        if (auto* replica = up())
            replica->runs.push_back({ held, entry, now_, now_ + Duration(1ms) * (200 + drawn(2500)) });
    }
    auto sendCrashing() -> void
    {
        constexpr auto notice = Duration(3s);
        const auto held = content(true);
        const auto entry = drawn(entries_.size());
        for (auto tries = 0; tries < 2; ++tries) {
            if (entries_[entry].verdict(held, now_).refused)
                return;
            auto* replica = up();
            if (!replica)
                return;
            const auto inTouch = now_ - startedAt_[entry] >= notice;
            late_ += inTouch && crashes_.size() >= 5 && now_ > crashes_[4] + notice ? 1 : 0;
            crashes_.push_back(now_);
            replica->runs.push_back({ held, entry, now_, now_ + 1s });
            endReplica(static_cast<std::size_t>(replica - replicas_.data()));
        }
    }
    auto endReplica(std::size_t index) -> void
    {
        auto& replica = replicas_[index];
        if (replica.backAt > now_)
            return;
        const auto start = StartHash(index * 100'000 + replica.start++);
        replica.backAt = now_ + 3s;
        for (const auto& run : std::exchange(replica.runs, {})) {
            const auto report
                = CrashReport { run.content.request, start, 0, CrashEvidence::Crashed, now_, run.content.shared };
            (void)entries_[run.entry].apply(report, now_);
            tell(run.content.request.value(), report);
        }
    }
    /// Two agents keep what is told.
    template <typename News> auto tell(std::uint64_t key, const News& news) -> void
    {
        (void)agents_[key % agents_.size()].apply(news, now_);
        (void)agents_[(key + 1) % agents_.size()].apply(news, now_);
    }
    auto finishRuns() -> void
    {
        for (auto& replica : replicas_) {
            std::erase_if(replica.runs, [&](const Run& run) {
                if (run.endsAt > now_)
                    return false;
                for (const auto& news : entries_[run.entry].ranWhole(run.content.shared, run.begunAt, now_))
                    tell(news.held.value(), news);
                return true;
            });
        }
    }
    /// Agents publish to all; one entry, another one each time, tells what it knows again.
    auto share() -> void
    {
        for (auto& agent : agents_) {
            const auto reports = agent.reports(now_);
            const auto wholeRuns = agent.wholeRuns(now_);
            for (auto& entry : entries_) {
                for (const auto& report : reports)
                    (void)entry.apply(report, now_);
                for (const auto& run : wholeRuns)
                    (void)entry.apply(run, now_);
            }
        }
        const auto& teller = entries_[drawn(entries_.size())];
        for (const auto& report : teller.reports(now_))
            tell(report.request.value(), report);
        for (const auto& run : teller.wholeRuns(now_))
            tell(run.held.value(), run);
    }

    std::mt19937_64 random_;
    Moment now_ = begin;
    std::vector<CrashLedger> entries_;
    std::vector<CrashLedger> agents_;
    std::vector<Replica> replicas_;
    std::vector<Moment> startedAt_;
    std::uint64_t requests_ = 0;
    std::vector<Moment> crashes_;
    int late_ = 0;
    int soundRefused_ = 0;
    int soundSent_ = 0;
};

} // namespace

// Guards against a count that is lost with the processes that had it, and against refusing what runs beside.
BOOST_AUTO_TEST_CASE(crashing_part_is_refused_in_time_and_sound_requests_never_whatever_dies)
{
    constexpr auto maxLateSends = 3;
    for (const auto entries : { std::size_t(3), std::size_t(24), std::size_t(400) }) {
        const auto seeds = entries == 400 ? std::uint64_t(2) : std::uint64_t(10);
        for (auto seed = std::uint64_t(1); seed <= seeds; ++seed) {
            auto fleet = Fleet(entries, 12, seed);
            for (auto step = 0; step < 100; ++step) {
                fleet.step(250ms, step >= 8);
                if (step % 16 == 5)
                    fleet.killSome(3);
                if (fleet.drawn(4) == 0)
                    fleet.killProcess();
            }
            BOOST_TEST_MESSAGE(entries << " entries, seed " << seed << ": " << fleet.crashes() << " crashes, late "
                                       << fleet.late() << ", sound refused " << fleet.soundRefused() << " of "
                                       << fleet.soundSent());
            BOOST_TEST(fleet.crashes() >= 3U);
            BOOST_TEST(fleet.late() <= maxLateSends);
            BOOST_TEST(fleet.soundRefused() == 0);
        }
    }
}
