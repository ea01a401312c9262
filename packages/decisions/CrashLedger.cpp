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
    if (!requests_.contains(report.request) && !hasRoomFor(report, now))
        return false;
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
            shared_[held][{ report.request, key }] = &fact;
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
    if (report.evidence == CrashEvidence::Crashed && !start.crashKnownAt)
        start.crashKnownAt = now;
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
    const auto* known = wholeRuns_.find(run.held);
    const auto before = known ? std::optional(known->begunAt) : std::nullopt;
    const auto news = isNews(run, before, now) || (known && !known->told);
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
    for (auto& [request, facts] : requests_) {
        dropped += std::erase_if(facts, [&, request = request](const auto& entry) {
            if (!expired(entry.second, now))
                return false;
            dropShared(request, entry.first, entry.second);
            return true;
        });
    }
    std::erase_if(requests_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(starts_, [&](const auto& entry) {
        return std::none_of(entry.second.requests.begin(), entry.second.requests.end(),
            [&](RequestDigest request) { return requests_.contains(request); });
    });
    if (dropped > 0)
        ++version_;
    wholeRuns_.expire(now, retention, [this](SharedHash held) { return isReported(held); });
    return dropped > 0;
}

auto CrashLedger::dropShared(RequestDigest request, const RunKey& key, const Fact& fact) -> void
{
    for (const auto& held : fact.shared) {
        const auto found = shared_.find(held);
        if (found == shared_.end())
            continue;
        found->second.erase({ request, key });
        if (found->second.empty())
            shared_.erase(found);
    }
}

auto CrashLedger::rankOf(const Facts& facts, const std::vector<Culprit>& known, Moment now) -> Rank
{
    auto rank = Rank();
    for (const auto& [key, fact] : facts) {
        rank.first += counts(fact, now) ? 1 : 0;
        rank.second = std::max(rank.second, fact.at);
    }
    for (const auto& [key, fact] : facts) {
        for (const auto& culprit : known)
            rank.first = std::max(rank.first, culprit.isHeldBy(fact.shared) ? culprit.weight.crashes : 0);
    }
    return rank;
}

auto CrashLedger::hasRoomFor(const CrashReport& report, Moment now) -> bool
{
    if (requests_.size() >= capacity)
        makeRoom(now);
    if (!dropped_ || requests_.size() < capacity - dropCount)
        return true;
    const auto facts
        = Facts { { { report.start, report.breaksBefore }, { report.evidence, report.at, report.shared } } };
    return rankOf(facts, culprits(now), now) > *dropped_;
}

auto CrashLedger::makeRoom(Moment now) -> void
{
    const auto& known = culprits(now);
    auto ranks = std::vector<std::pair<Rank, RequestDigest>>();
    ranks.reserve(requests_.size());
    for (const auto& [request, facts] : requests_)
        ranks.emplace_back(rankOf(facts, known, now), request);
    const auto kept = ranks.begin() + static_cast<std::ptrdiff_t>(dropCount);
    std::nth_element(ranks.begin(), kept, ranks.end());
    for (auto dropped = ranks.begin(); dropped != kept; ++dropped) {
        const auto found = requests_.find(dropped->second);
        for (const auto& [key, fact] : found->second)
            dropShared(found->first, key, fact);
        requests_.erase(found);
    }
    dropped_ = std::max_element(ranks.begin(), kept)->first;
    ++version_;
}

} // namespace eelgrass::decisions
