// The part of CrashLedger about what requests share: its whole runs, and which of it makes replicas crash.
#include "decisions/CrashLedger.h"

#include <algorithm>

namespace eelgrass::decisions {

auto CrashLedger::apply(const WholeRun& run, Moment now) -> bool
{
    if (now - run.begunAt >= retention)
        return false;
    // Whoever tells of it has found that it clears something; this process may keep no report on that.
    const auto* known = wholeRuns_.find(run.held);
    const auto news = !known || !known->told || run.begunAt > known->begunAt;
    noteWholeRun(run.held, run.begunAt, true);
    if (news)
        ++version_;
    return news;
}

auto CrashLedger::ranWhole(const std::vector<SharedHash>& shared, Moment begunAt, Moment now) -> std::vector<WholeRun>
{
    auto news = std::vector<WholeRun>();
    for (const auto& held : shared) {
        const auto* known = wholeRuns_.find(held);
        const auto before = known ? std::optional(known->begunAt) : std::nullopt;
        if (isReported(held) && isNews({ held, begunAt }, before, now))
            news.push_back({ held, begunAt });
        noteWholeRun(held, begunAt, false);
    }
    if (!news.empty())
        ++version_;
    return news;
}

auto CrashLedger::noteWholeRun(SharedHash held, Moment begunAt, bool told) -> void
{
    wholeRuns_.note(held, begunAt, told);
    wholeRuns_.makeRoom([this](SharedHash other) { return isReported(other); });
}

auto CrashLedger::isNews(const WholeRun& run, std::optional<Moment> known, Moment now) const -> bool
{
    const auto before = known.value_or(Moment::min());
    if (run.begunAt > before && crashedBetween(run.held, before, run.begunAt))
        return true;
    return now - run.begunAt < soundMemory && (!known || run.begunAt - *known >= wholeRunNews);
}

auto CrashLedger::crashedBetween(SharedHash held, Moment from, Moment to) const -> bool
{
    const auto found = shared_.find(held);
    if (found == shared_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto& run) {
        const auto& fact = *run.second;
        return fact.evidence != CrashEvidence::Cleared && fact.at > from && fact.at <= to;
    });
}

auto CrashLedger::wholeRuns(Moment now) const -> std::vector<WholeRun>
{
    auto runs = std::vector<WholeRun>();
    for (const auto& [held, known] : wholeRuns_) {
        const auto run = WholeRun { held, known.begunAt };
        const auto recent = now - known.begunAt < soundMemory && isReported(held);
        if (known.told || recent || clearsCrashes(run))
            runs.push_back(run);
    }
    return runs;
}

auto CrashLedger::endedByCulprit(StartHash start, const Fact& fact, Moment now) const -> bool
{
    const auto& known = culprits(now);
    return std::any_of(known.begin(), known.end(),
        [&](const Culprit& culprit) { return culprit.starts.contains(start) && !culprit.isHeldBy(fact.shared); });
}

auto CrashLedger::verdictOn(const Culprit& culprit) -> Verdict
{
    // Beyond this many the time is the longest one anyway.
    constexpr auto maxSteps = std::size_t(4);
    constexpr auto growth = 6;
    auto wait = Duration(firstSharedProbe);
    for (auto step = std::size_t(0); step < std::min(culprit.weight.moments - culprit.limit.moments, maxSteps); ++step)
        wait *= growth;
    return { .crashes = culprit.starts.size(),
        .unexplained = culprit.weight.crashes,
        .last = culprit.last,
        .refused = true,
        .shared = culprit.together,
        .probeFrom = culprit.last + std::min(wait, longestSharedProbe),
        .key = culprit.together.front().value() };
}

auto CrashLedger::ends() const -> Ends
{
    auto ends = Ends();
    for (const auto& [start, known] : starts_) {
        if (known.crashKnownAt)
            ends.emplace_back(known.endedAt, start);
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

auto CrashLedger::isSettled(StartHash start, Moment now) const -> bool
{
    const auto found = starts_.find(start);
    return found == starts_.end() || settledAt(found->second) <= now;
}

auto CrashLedger::settledAt(const Start& start) const noexcept -> Moment
{
    return start.crashKnownAt
        ? std::min(*start.crashKnownAt + settleTime_, start.endedAt + maxSettleTimes * settleTime_)
        : Moment::min();
}

auto CrashLedger::nextSettled(Moment now, Moment until) const -> Moment
{
    for (const auto& [start, known] : starts_) {
        if (const auto settled = settledAt(known); settled > now)
            until = std::min(until, settled);
    }
    return until;
}

auto CrashLedger::sharedCrashes(SharedHash held, Moment now) const -> std::vector<SharedCrash>
{
    auto crashes = std::vector<SharedCrash>();
    const auto found = shared_.find(held);
    if (found == shared_.end())
        return crashes;
    const auto* whole = wholeRuns_.find(held);
    const auto wholeRunAt = whole ? whole->begunAt : Moment::min();
    auto startsWithIt = std::vector<StartHash>();
    startsWithIt.reserve(found->second.size());
    for (const auto& [run, fact] : found->second)
        startsWithIt.push_back(run.second.first);
    std::sort(startsWithIt.begin(), startsWithIt.end());
    const auto& ends = cache_.ends;
    const auto killed = [&](Moment at) {
        auto end = std::lower_bound(ends.begin(), ends.end(), std::pair(at - sameMoment, StartHash()));
        for (; end != ends.end() && end->first <= at + sameMoment; ++end) {
            if (!std::binary_search(startsWithIt.begin(), startsWithIt.end(), end->second))
                return true;
        }
        return false;
    };
    for (const auto& [run, fact] : found->second) {
        const auto confirmed = fact->evidence == CrashEvidence::Crashed && isSettled(run.second.first, now);
        if (counts(*fact, now) && fact->at > wholeRunAt && !killed(fact->at))
            crashes.push_back({ fact->at, run.second.first, run.first, fact->begun, confirmed });
    }
    return crashes;
}

auto CrashLedger::sharedRecords(Moment now) const -> std::vector<SharedRecord>
{
    auto records = std::vector<SharedRecord>();
    for (const auto& [held, runs] : shared_) {
        if (runs.size() < repeatedCrashes)
            continue;
        auto crashes = sharedCrashes(held, now);
        if (crashes.empty())
            continue;
        const auto first = std::min_element(
            crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
        const auto* whole = wholeRuns_.find(held);
        const auto sound = whole && first->at - whole->begunAt < soundMemory;
        records.push_back({ held, std::move(crashes), sound });
    }
    return records;
}

auto CrashLedger::refreshCache(Moment now) const -> void
{
    // Breaks that cease to count change the result without a report.
    constexpr auto cacheTime = Duration(200ms);
    if (cache_.version == version_ && now >= cache_.from && now < cache_.until)
        return;
    cache_ = { version_, now, nextSettled(now, now + cacheTime), ends(), {} };
    cache_.culprits = findCulprits(sharedRecords(now));
}

auto CrashLedger::culprits(Moment now) const -> const std::vector<Culprit>&
{
    refreshCache(now);
    return cache_.culprits;
}

auto CrashLedger::standing(SharedHash held, Moment now) const -> Standing
{
    refreshCache(now);
    const auto [crashes, added] = cache_.crashes.try_emplace(held);
    if (added)
        crashes->second = sharedCrashes(held, now).size();
    const auto* whole = wholeRuns_.find(held);
    return { crashes->second, whole ? std::optional(whole->begunAt) : std::nullopt };
}

} // namespace eelgrass::decisions
