#include "decisions/SharedCulprits.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace eelgrass::decisions {

namespace {

using RunId = std::pair<StartHash, RequestDigest>;

struct Candidate {
    SharedRecord record;
    std::set<StartHash> starts;
    std::set<RunId> runs;
    CrashWeight weight;
    CrashWeight limit;
    /// The crash with which it had as many as it takes; the latest moment if it has fewer.
    Moment limitReachedAt = Moment::max();

    [[nodiscard]] auto reachesLimit() const noexcept -> bool { return weight.reaches(limit); }
};

auto momentOfLimit(std::vector<SharedCrash> crashes, const CrashWeight& limit) -> Moment
{
    std::sort(crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    auto known = std::vector<SharedCrash>();
    for (const auto& crash : crashes) {
        known.push_back(crash);
        if (known.size() >= limit.crashes && weightOf(known).reaches(limit))
            return crash.at;
    }
    return Moment::max();
}

auto toCandidate(SharedRecord record) -> Candidate
{
    auto candidate = Candidate { .weight = weightOf(record.crashes),
        .limit = record.soundBefore ? soundCrashLimit : sharedCrashLimit };
    for (const auto& crash : record.crashes) {
        if (!crash.confirmed)
            continue;
        candidate.starts.insert(crash.start);
        candidate.runs.emplace(crash.start, crash.request);
    }
    if (candidate.reachesLimit())
        candidate.limitReachedAt = momentOfLimit(record.crashes, candidate.limit);
    candidate.record = std::move(record);
    return candidate;
}

/// The crashes that no culprit explains.
auto unexplained(const Candidate& candidate, const std::set<StartHash>& explained) -> std::vector<SharedCrash>
{
    auto crashes = candidate.record.crashes;
    std::erase_if(crashes, [&](const SharedCrash& crash) { return explained.contains(crash.start); });
    return crashes;
}

/// Whether the other one explains all crashes of the candidate, and was not sound while the candidate was not.
auto explains(const Candidate& other, const Candidate& candidate) -> bool
{
    return other.record.soundBefore <= candidate.record.soundBefore
        && std::includes(other.starts.begin(), other.starts.end(), candidate.starts.begin(), candidate.starts.end());
}

/// Whether some run held both, at each start that ended under the candidate.
auto heldTogether(const Candidate& candidate, const Candidate& other) -> bool
{
    auto starts = std::set<StartHash>();
    for (const auto& run : candidate.runs) {
        if (other.runs.contains(run))
            starts.insert(run.first);
    }
    return starts.size() == candidate.starts.size();
}

/// Whether something that other runs held explains the crashes as well, so that the next ones have to tell.
auto isAmbiguous(const Candidate& candidate, const std::vector<Candidate>& candidates) -> bool
{
    if (candidate.weight.crashes >= certainCrashes)
        return false;
    return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& other) {
        return other.reachesLimit() && explains(other, candidate) && !heldTogether(candidate, other);
    });
}

/// Whether fewer requests hold the other one, and all but too few of the candidate's crashes had it in common.
auto isNarrower(const Candidate& other, const Candidate& candidate) -> bool
{
    if (isHeldByMember(other.record.held) || other.weight.crashes < repeatedCrashes
        || other.record.soundBefore > candidate.record.soundBefore || other.starts.size() >= candidate.starts.size())
        return false;
    return std::includes(candidate.starts.begin(), candidate.starts.end(), other.starts.begin(), other.starts.end())
        && heldTogether(other, candidate) && !weightOf(unexplained(candidate, other.starts)).reaches(candidate.limit);
}

/// Whether something narrower is more likely to be the cause, which the next crashes will tell.
auto hasNarrower(const Candidate& candidate, const std::vector<Candidate>& candidates) -> bool
{
    return std::any_of(
        candidates.begin(), candidates.end(), [&](const Candidate& other) { return isNarrower(other, candidate); });
}

auto toCulprit(const Candidate& candidate, const std::vector<Candidate>& candidates) -> Culprit
{
    auto culprit = Culprit { .weight = candidate.weight, .limit = candidate.limit, .starts = candidate.starts };
    for (const auto& crash : candidate.record.crashes)
        culprit.last = std::max(culprit.last, crash.at);
    for (const auto& other : candidates) {
        if (explains(other, candidate) && heldTogether(candidate, other))
            culprit.together.push_back(other.record.held);
    }
    return culprit;
}

auto toCandidates(std::vector<SharedRecord> records) -> std::vector<Candidate>
{
    auto candidates = std::vector<Candidate>();
    candidates.reserve(records.size());
    for (auto& record : records)
        candidates.push_back(toCandidate(std::move(record)));
    return candidates;
}

/// What something narrower makes unlikely as the cause, by all crashes.
auto broadContent(const std::vector<Candidate>& candidates) -> std::set<SharedHash>
{
    auto broad = std::set<SharedHash>();
    for (const auto& candidate : candidates) {
        if (candidate.reachesLimit() && hasNarrower(candidate, candidates))
            broad.insert(candidate.record.held);
    }
    return broad;
}

/// Adds the culprits of these candidates whose crashes no earlier one explains, the most suspicious first, but for
/// `broad` content. What is refused has no further crashes, while killed replicas add some to what is popular, so the
/// first to reach its limit goes before what has more by now.
auto addCulprits(std::vector<Candidate> candidates, const std::set<SharedHash>& broad, std::vector<Culprit>& culprits,
    std::set<StartHash>& explained) -> void
{
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(left.record.soundBefore, left.limitReachedAt, right.weight.crashes, right.starts.size(),
                   left.record.held)
            < std::tuple(right.record.soundBefore, right.limitReachedAt, left.weight.crashes, left.starts.size(),
                right.record.held);
    });
    for (const auto& candidate : candidates) {
        const auto own = weightOf(unexplained(candidate, explained));
        if (!own.reaches(candidate.limit) || isAmbiguous(candidate, candidates)
            || broad.contains(candidate.record.held))
            continue;
        culprits.push_back(toCulprit(candidate, candidates));
        explained.insert(candidate.starts.begin(), candidate.starts.end());
    }
}

} // namespace

auto weightOf(std::vector<SharedCrash> crashes) -> CrashWeight
{
    std::sort(crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    auto moments = std::size_t(0);
    auto momentBegan = Moment();
    auto starts = std::set<StartHash>();
    auto requests = std::set<RequestDigest>();
    for (const auto& crash : crashes) {
        if (moments == 0 || crash.at - momentBegan >= crashMomentSpan) {
            ++moments;
            momentBegan = crash.at;
        }
        if (!crash.confirmed)
            continue;
        starts.insert(crash.start);
        requests.insert(crash.request);
    }
    return { std::min(starts.size(), requests.size()), moments };
}

auto findCulprits(std::vector<SharedRecord> records) -> std::vector<Culprit>
{
    auto unbegun = records;
    for (auto& record : unbegun)
        std::erase_if(record.crashes, [](const SharedCrash& crash) { return crash.begun; });
    auto culprits = std::vector<Culprit>();
    auto explained = std::set<StartHash>();
    const auto all = toCandidates(std::move(records));
    const auto broad = broadContent(all);
    addCulprits(toCandidates(std::move(unbegun)), broad, culprits, explained);
    addCulprits(all, broad, culprits, explained);
    return culprits;
}

} // namespace eelgrass::decisions
