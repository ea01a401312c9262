#include "decisions/SharedCulprits.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

namespace {

using RunId = std::pair<StartHash, RequestDigest>;

// Starts, runs and requests stand in sorted vectors: after a storm there are thousands to look at with each report.

template <typename Value> auto sortUnique(std::vector<Value>& values) -> void
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

template <typename Value> auto insertUnique(std::vector<Value>& sorted, const Value& value) -> void
{
    const auto place = std::lower_bound(sorted.begin(), sorted.end(), value);
    if (place == sorted.end() || *place != value)
        sorted.insert(place, value);
}

struct Candidate {
    SharedRecord record;
    std::vector<StartHash> starts;
    std::vector<RunId> runs;
    CrashWeight weight;
    CrashWeight limit;
    /// When it had as many crashes as it takes.
    std::optional<Moment> limitReachedAt {};

    [[nodiscard]] auto reachesLimit() const noexcept -> bool { return limitReachedAt.has_value(); }
};

auto sortByMoment(std::vector<SharedCrash>& crashes) -> void
{
    std::sort(crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
}

/// The weight of crashes that are added in the order of their moments.
class CrashCount {
public:
    auto add(const SharedCrash& crash) -> void
    {
        if (moments_ == 0 || crash.at - momentBegan_ >= crashMomentSpan) {
            ++moments_;
            momentBegan_ = crash.at;
        }
        if (!crash.confirmed)
            return;
        insertUnique(starts_, crash.start);
        insertUnique(requests_, crash.request);
    }
    [[nodiscard]] auto weight() const -> CrashWeight
    {
        return { std::min(starts_.size(), requests_.size()), moments_ };
    }

private:
    std::size_t moments_ = 0;
    Moment momentBegan_ {};
    std::vector<StartHash> starts_;
    std::vector<RequestDigest> requests_;
};

/// When the crashes, without those of the `explained` starts, were as many as it takes. They are sorted by moment.
auto momentOfLimit(const SharedRecord& record, const CrashWeight& limit, const std::vector<StartHash>& explained)
    -> std::optional<Moment>
{
    auto count = CrashCount();
    for (const auto& crash : record.crashes) {
        if (std::binary_search(explained.begin(), explained.end(), crash.start))
            continue;
        count.add(crash);
        if (count.weight().reaches(limit))
            return crash.at;
    }
    return std::nullopt;
}

auto toCandidate(SharedRecord record) -> Candidate
{
    sortByMoment(record.crashes);
    auto candidate = Candidate { .weight = weightOf(record.crashes),
        .limit = record.soundBefore ? soundCrashLimit : sharedCrashLimit };
    candidate.limitReachedAt = momentOfLimit(record, candidate.limit, {});
    for (const auto& crash : record.crashes) {
        if (!crash.confirmed)
            continue;
        candidate.starts.push_back(crash.start);
        candidate.runs.emplace_back(crash.start, crash.request);
    }
    sortUnique(candidate.starts);
    sortUnique(candidate.runs);
    candidate.record = std::move(record);
    return candidate;
}

/// Whether the crashes that no culprit explains are as many as it takes.
auto reachesLimitBeside(const Candidate& candidate, const std::vector<StartHash>& explained) -> bool
{
    return momentOfLimit(candidate.record, candidate.limit, explained).has_value();
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
    auto starts = std::vector<StartHash>();
    for (const auto& run : candidate.runs) {
        if (std::binary_search(other.runs.begin(), other.runs.end(), run))
            starts.push_back(run.first);
    }
    sortUnique(starts);
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
        && heldTogether(other, candidate) && !reachesLimitBeside(candidate, other.starts);
}

/// Whether something narrower is more likely to be the cause, which the next crashes will tell.
auto hasNarrower(const Candidate& candidate, const std::vector<Candidate>& candidates) -> bool
{
    return std::any_of(
        candidates.begin(), candidates.end(), [&](const Candidate& other) { return isNarrower(other, candidate); });
}

auto toCulprit(const Candidate& candidate, const std::vector<Candidate>& candidates) -> Culprit
{
    auto culprit = Culprit { .weight = candidate.weight,
        .limit = candidate.limit,
        .starts = { candidate.starts.begin(), candidate.starts.end() } };
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

/// Whether something narrower makes it unlikely as the cause, by all crashes.
auto isBroad(SharedHash held, const std::vector<Candidate>& all) -> bool
{
    const auto found = std::lower_bound(all.begin(), all.end(), held,
        [](const Candidate& candidate, SharedHash other) { return candidate.record.held < other; });
    return found != all.end() && found->record.held == held && found->reachesLimit() && hasNarrower(*found, all);
}

/// Adds the culprits of these candidates whose crashes no earlier one explains, the most suspicious first, but for what
/// is broad by `all` crashes. What is refused has no further crashes, while killed replicas add some to what is
/// popular, so the first to reach its limit goes before what has more by now.
auto addCulprits(std::vector<Candidate> candidates, const std::vector<Candidate>& all, std::vector<Culprit>& culprits,
    std::vector<StartHash>& explained) -> void
{
    const auto limitMoment = [](const Candidate& one) { return one.limitReachedAt.value_or(Moment::max()); };
    std::sort(candidates.begin(), candidates.end(), [&](const Candidate& left, const Candidate& right) {
        return std::tuple(left.record.soundBefore, limitMoment(left), right.weight.crashes, right.starts.size(),
                   left.record.held)
            < std::tuple(right.record.soundBefore, limitMoment(right), left.weight.crashes, left.starts.size(),
                right.record.held);
    });
    for (const auto& candidate : candidates) {
        if (!reachesLimitBeside(candidate, explained) || isAmbiguous(candidate, candidates)
            || isBroad(candidate.record.held, all))
            continue;
        culprits.push_back(toCulprit(candidate, candidates));
        for (const auto& start : candidate.starts)
            insertUnique(explained, start);
    }
}

} // namespace

auto weightOf(std::vector<SharedCrash> crashes) -> CrashWeight
{
    sortByMoment(crashes);
    auto count = CrashCount();
    for (const auto& crash : crashes)
        count.add(crash);
    return count.weight();
}

auto findCulprits(std::vector<SharedRecord> records) -> std::vector<Culprit>
{
    auto unbegun = records;
    for (auto& record : unbegun)
        std::erase_if(record.crashes, [](const SharedCrash& crash) { return crash.begun; });
    auto culprits = std::vector<Culprit>();
    auto explained = std::vector<StartHash>();
    auto all = toCandidates(std::move(records));
    std::sort(all.begin(), all.end(),
        [](const Candidate& left, const Candidate& right) { return left.record.held < right.record.held; });
    addCulprits(toCandidates(std::move(unbegun)), all, culprits, explained);
    addCulprits(all, all, culprits, explained);
    return culprits;
}

} // namespace eelgrass::decisions
