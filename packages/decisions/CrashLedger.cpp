#include "decisions/CrashLedger.h"

#include <algorithm>

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

auto CrashLedger::verdict(const RunContent& content, Moment now) const -> Verdict
{
    const auto refusals = this->refusals(content, now);
    return refusals.empty() ? verdict(content.request, now) : refusals.front();
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
