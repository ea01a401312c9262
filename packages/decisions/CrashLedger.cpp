#include "decisions/CrashLedger.h"

#include <algorithm>
#include <tuple>

namespace eelgrass::decisions {

auto CrashLedger::counts(const Fact& fact, Moment now) noexcept -> bool
{
    return fact.evidence == CrashEvidence::Crashed
        || (fact.evidence == CrashEvidence::Broke && now - fact.at < breakLifetime);
}

auto CrashLedger::expired(const Fact& fact, Moment now) noexcept -> bool
{
    switch (fact.evidence) {
    case CrashEvidence::Broke:
        return now - fact.at >= breakRetention;
    case CrashEvidence::Cleared:
        return now - fact.at >= clearedRetention;
    case CrashEvidence::Crashed:
        break;
    }
    return now - fact.at >= retention;
}

auto CrashLedger::apply(const CrashReport& report, Moment now) -> bool
{
    if (expired({ report.evidence, report.at }, now))
        return false;
    const auto known = requests_.contains(report.request);
    if (!known && requests_.size() >= capacity)
        makeRoom(now);
    auto& facts = requests_[report.request];
    const auto key = RunKey(report.start, report.breaksBefore);
    const auto [found, added] = facts.try_emplace(key, Fact { report.evidence, report.at });
    auto& fact = found->second;
    // Processes of an older version do not tell it.
    const auto shared = fact.shared.empty() && !report.shared.empty();
    if (shared) {
        fact.shared = report.shared;
        fact.begun = report.begun;
        for (const auto& held : fact.shared)
            shared_[held].emplace(report.request, key);
    }
    // The moment of a whole run says how long the report is kept; that of a crash is the earliest known.
    const auto stronger = report.evidence > fact.evidence;
    if (stronger && report.evidence == CrashEvidence::Cleared)
        fact.at = report.at;
    else if (report.evidence != CrashEvidence::Cleared && fact.evidence != CrashEvidence::Cleared)
        fact.at = std::min(fact.at, report.at);
    fact.evidence = std::max(fact.evidence, report.evidence);
    auto& start = starts_[report.start];
    if (report.evidence != CrashEvidence::Cleared)
        start.endedAt = start.endedAt == Moment() ? report.at : std::min(start.endedAt, report.at);
    start.crashed = start.crashed || report.evidence == CrashEvidence::Crashed;
    start.requests.insert(report.request);
    if (!added && !stronger && !shared)
        return false;
    ++version_;
    return true;
}

auto CrashLedger::apply(const WholeRun& run, Moment now) -> bool
{
    if (now - run.begunAt >= retention)
        return false;
    const auto known = wholeRuns_.find(run.held);
    const auto before = known == wholeRuns_.end() ? std::nullopt : std::optional(known->second.begunAt);
    const auto news = isNews(run, before, now) || (known != wholeRuns_.end() && !known->second.told);
    noteWholeRun(run.held, run.begunAt, true);
    if (news)
        ++version_;
    return news;
}

auto CrashLedger::ranWhole(const std::vector<SharedHash>& shared, Moment begunAt, Moment now) -> std::vector<WholeRun>
{
    auto news = std::vector<WholeRun>();
    for (const auto& held : shared) {
        const auto known = wholeRuns_.find(held);
        const auto before = known == wholeRuns_.end() ? std::nullopt : std::optional(known->second.begunAt);
        if (shared_.contains(held) && isNews({ held, begunAt }, before, now))
            news.push_back({ held, begunAt });
        noteWholeRun(held, begunAt, false);
    }
    if (!news.empty())
        ++version_;
    return news;
}

auto CrashLedger::noteWholeRun(SharedHash held, Moment begunAt, bool told) -> void
{
    auto& known = wholeRuns_[held];
    known.begunAt = std::max(known.begunAt, begunAt);
    known.told = known.told || told;
    if (wholeRuns_.size() <= wholeRunCapacity)
        return;
    // Without the whole run of what a report names, its cleared crashes would count again.
    const auto rank
        = [this](const auto& entry) { return std::tuple(shared_.contains(entry.first), entry.second.begunAt); };
    wholeRuns_.erase(std::min_element(wholeRuns_.begin(), wholeRuns_.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); }));
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
        const auto& fact = requests_.at(run.first).at(run.second);
        return fact.evidence != CrashEvidence::Cleared && fact.at > from && fact.at <= to;
    });
}

auto CrashLedger::wholeRuns(Moment now) const -> std::vector<WholeRun>
{
    auto runs = std::vector<WholeRun>();
    for (const auto& [held, known] : wholeRuns_) {
        const auto run = WholeRun { held, known.begunAt };
        const auto recent = now - known.begunAt < soundMemory && shared_.contains(held);
        if (known.told || recent || clearsCrashes(run))
            runs.push_back(run);
    }
    return runs;
}

auto CrashLedger::confirm(StartHash start, Moment since, Moment now) -> std::vector<CrashReport>
{
    auto confirmed = std::vector<CrashReport>();
    const auto ended = starts_.find(start);
    if (ended == starts_.end())
        return confirmed;
    for (const auto& request : ended->second.requests) {
        const auto found = requests_.find(request);
        if (found == requests_.end())
            continue;
        // The last one; the start has outlived those before.
        auto fact = found->second.upper_bound({ start, UINT8_MAX });
        if (fact == found->second.begin() || (--fact)->first.first != start)
            continue;
        const auto& broke = fact->second;
        if (broke.evidence == CrashEvidence::Broke && broke.at >= since && !expired(broke, now))
            confirmed.push_back({ request, start, fact->first.second, CrashEvidence::Crashed, fact->second.at,
                fact->second.shared, fact->second.begun });
    }
    for (const auto& report : confirmed)
        (void)apply(report, now);
    return confirmed;
}

auto CrashLedger::clear(RequestDigest request, Moment now) -> std::vector<CrashReport>
{
    auto cleared = std::vector<CrashReport>();
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return cleared;
    for (const auto& [key, fact] : found->second) {
        if (fact.evidence != CrashEvidence::Cleared)
            cleared.push_back({ request, key.first, key.second, CrashEvidence::Cleared, now, fact.shared, fact.begun });
    }
    for (const auto& report : cleared)
        (void)apply(report, now);
    return cleared;
}

auto CrashLedger::crashesOf(RequestDigest request, Moment now) const -> std::size_t
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        found->second.begin(), found->second.end(), [&](const auto& entry) { return counts(entry.second, now); }));
}

auto CrashLedger::crashesInARow(RequestDigest request, StartHash start, Moment now) const -> std::size_t
{
    auto most = crashesOf(request, now);
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return most;
    const auto& facts = found->second;
    for (auto here = facts.lower_bound({ start, 0 }); here != facts.end() && here->first.first == start; ++here) {
        if (here->second.evidence != CrashEvidence::Cleared)
            continue;
        const auto together = std::count_if(facts.begin(), facts.end(), [&](const auto& entry) {
            const auto& [key, fact] = entry;
            const auto apart = std::max(fact.at, here->second.at) - std::min(fact.at, here->second.at);
            return fact.evidence == CrashEvidence::Cleared && apart < sameClearing;
        });
        most = std::max(most, static_cast<std::size_t>(together));
    }
    return most;
}

auto CrashLedger::endedTogether(const Start& start) const -> bool
{
    return std::any_of(starts_.begin(), starts_.end(), [&](const auto& entry) {
        const auto& other = entry.second;
        const auto apart = std::max(other.endedAt, start.endedAt) - std::min(other.endedAt, start.endedAt);
        if (&other == &start || other.endedAt == Moment() || apart > sameMoment)
            return false;
        return std::none_of(other.requests.begin(), other.requests.end(),
            [&](RequestDigest request) { return start.requests.contains(request); });
    });
}

auto CrashLedger::explained(RequestDigest request, StartHash start, std::size_t crashes, Moment now) const -> bool
{
    const auto found = starts_.find(start);
    if (found == starts_.end())
        return false;
    const auto& others = found->second.requests;
    const auto suspected = std::any_of(others.begin(), others.end(),
        [&](RequestDigest other) { return other != request && crashesInARow(other, start, now) >= crashes; });
    return suspected || endedTogether(found->second);
}

auto CrashLedger::endedByCulprit(StartHash start, const Fact& fact, Moment now) const -> bool
{
    const auto& known = culprits(now);
    return std::any_of(known.begin(), known.end(),
        [&](const Culprit& culprit) { return culprit.starts.contains(start) && !culprit.isHeldBy(fact.shared); });
}

auto CrashLedger::verdict(RequestDigest request, Moment now) const -> Verdict
{
    auto verdict = Verdict { .crashes = crashesOf(request, now) };
    if (verdict.crashes == 0)
        return verdict;
    for (const auto& [key, fact] : requests_.at(request)) {
        if (counts(fact, now))
            verdict.last = std::max(verdict.last, fact.at);
    }
    if (verdict.crashes < limit)
        return verdict;
    auto ownCrashes = std::size_t(0);
    for (const auto& [key, fact] : requests_.at(request)) {
        if (!counts(fact, now) || endedByCulprit(key.first, fact, now))
            continue;
        ++ownCrashes;
        if (!explained(request, key.first, verdict.crashes, now))
            ++verdict.unexplained;
    }
    // Beyond this number of doublings the refusal lasts for as long as the reports.
    constexpr auto maxDoublings = std::size_t(4);
    const auto doublings = std::min(verdict.crashes - limit, maxDoublings);
    verdict.probeFrom = verdict.last + refusalTime * (1U << doublings);
    verdict.key = request.value();
    verdict.refused = verdict.unexplained >= limit || ownCrashes >= certainLimit;
    return verdict;
}

auto CrashLedger::refusals(const RunContent& content, Moment now) const -> std::vector<Verdict>
{
    auto refusals = std::vector<Verdict>();
    if (auto own = verdict(content.request, now); own.refused)
        refusals.push_back(std::move(own));
    for (const auto& culprit : culprits(now)) {
        if (culprit.isHeldBy(content.shared))
            refusals.push_back(verdictOn(culprit));
    }
    return refusals;
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

auto CrashLedger::verdict(const RunContent& content, Moment now) const -> Verdict
{
    const auto refusals = this->refusals(content, now);
    return refusals.empty() ? verdict(content.request, now) : refusals.front();
}

auto CrashLedger::ends() const -> Ends
{
    auto ends = Ends();
    for (const auto& [start, known] : starts_) {
        if (known.crashed)
            ends.emplace_back(known.endedAt, start);
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

auto CrashLedger::sharedCrashes(SharedHash held, Moment now) const -> std::vector<SharedCrash>
{
    auto crashes = std::vector<SharedCrash>();
    const auto found = shared_.find(held);
    if (found == shared_.end())
        return crashes;
    const auto whole = wholeRuns_.find(held);
    const auto wholeRunAt = whole == wholeRuns_.end() ? Moment::min() : whole->second.begunAt;
    auto startsWithIt = std::set<StartHash>();
    for (const auto& [request, key] : found->second)
        startsWithIt.insert(key.first);
    const auto& ends = cache_.ends;
    const auto killed = [&](Moment at) {
        auto end = std::lower_bound(ends.begin(), ends.end(), std::pair(at - sameMoment, StartHash()));
        for (; end != ends.end() && end->first <= at + sameMoment; ++end) {
            if (!startsWithIt.contains(end->second))
                return true;
        }
        return false;
    };
    for (const auto& [request, key] : found->second) {
        const auto& fact = requests_.at(request).at(key);
        const auto confirmed = fact.evidence == CrashEvidence::Crashed;
        if (counts(fact, now) && fact.at > wholeRunAt && !killed(fact.at))
            crashes.push_back({ fact.at, key.first, request, fact.begun, confirmed });
    }
    return crashes;
}

auto CrashLedger::sharedRecords(Moment now) const -> std::vector<SharedRecord>
{
    auto records = std::vector<SharedRecord>();
    for (const auto& [held, runs] : shared_) {
        auto crashes = sharedCrashes(held, now);
        if (crashes.empty())
            continue;
        const auto first = std::min_element(
            crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
        const auto whole = wholeRuns_.find(held);
        const auto sound = whole != wholeRuns_.end() && first->at - whole->second.begunAt < soundMemory;
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
    cache_ = { version_, now, now + cacheTime, ends(), {} };
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
    auto standing = Standing { .crashes = sharedCrashes(held, now).size() };
    if (const auto whole = wholeRuns_.find(held); whole != wholeRuns_.end())
        standing.wholeRunAt = whole->second.begunAt;
    return standing;
}

auto CrashLedger::breaksAt(RequestDigest request, StartHash start, Moment before) const -> std::uint8_t
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return 0;
    const auto first = found->second.lower_bound({ start, 0 });
    const auto last = found->second.upper_bound({ start, UINT8_MAX });
    const auto breaks = std::count_if(first, last, [&](const auto& entry) { return entry.second.at <= before; });
    return static_cast<std::uint8_t>(std::min<std::ptrdiff_t>(breaks, UINT8_MAX));
}

auto CrashLedger::reports(Moment now) const -> std::vector<CrashReport>
{
    auto reports = std::vector<CrashReport>();
    for (const auto& [request, facts] : requests_) {
        for (const auto& [key, fact] : facts) {
            const auto old = fact.evidence == CrashEvidence::Cleared && now - fact.at >= clearedNewsTime;
            if (!old && !expired(fact, now))
                reports.push_back({ request, key.first, key.second, fact.evidence, fact.at, fact.shared, fact.begun });
        }
    }
    return reports;
}

auto CrashLedger::expire(Moment now) -> bool
{
    auto dropped = std::size_t(0);
    for (auto& [request, facts] : requests_)
        dropped += std::erase_if(facts, [&](const auto& entry) { return expired(entry.second, now); });
    std::erase_if(requests_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(starts_, [&](const auto& entry) {
        return std::none_of(entry.second.requests.begin(), entry.second.requests.end(),
            [&](RequestDigest request) { return requests_.contains(request); });
    });
    if (dropped > 0) {
        indexShared();
        ++version_;
    }
    std::erase_if(wholeRuns_, [&](const auto& entry) {
        const auto needed = entry.second.told || shared_.contains(entry.first);
        return now - entry.second.begunAt >= (needed ? retention : wholeRunRetention);
    });
    return dropped > 0;
}

auto CrashLedger::indexShared() -> void
{
    shared_.clear();
    for (const auto& [request, facts] : requests_) {
        for (const auto& [key, fact] : facts) {
            for (const auto& held : fact.shared)
                shared_[held].emplace(request, key);
        }
    }
}

auto CrashLedger::makeRoom(Moment now) -> void
{
    const auto& known = culprits(now);
    const auto rank = [&](const auto& entry) {
        auto last = Moment();
        auto crashes = crashesOf(entry.first, now);
        for (const auto& [key, fact] : entry.second) {
            last = std::max(last, fact.at);
            for (const auto& culprit : known)
                crashes = std::max(crashes, culprit.isHeldBy(fact.shared) ? culprit.weight.crashes : 0);
        }
        return std::tuple(crashes, last);
    };
    const auto first = std::min_element(requests_.begin(), requests_.end(),
        [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    requests_.erase(first);
    indexShared();
    ++version_;
}

} // namespace eelgrass::decisions
