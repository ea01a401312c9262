#include "decisions/SharedCulprits.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace eelgrass::decisions {

namespace {

struct Candidate {
    SharedRecord record;
    std::set<StartHash> starts;
    std::size_t weight = 0;
    std::size_t limit = 0;
};

auto toCandidate(SharedRecord record) -> Candidate
{
    auto candidate = Candidate { .weight = weightOf(record.crashes),
        .limit = record.soundBefore ? soundCrashLimit : sharedCrashLimit };
    for (const auto& crash : record.crashes)
        candidate.starts.insert(crash.start);
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

auto toCulprit(const Candidate& candidate, const std::vector<Candidate>& candidates) -> Culprit
{
    auto culprit = Culprit { .weight = candidate.weight, .limit = candidate.limit, .starts = candidate.starts };
    for (const auto& crash : candidate.record.crashes)
        culprit.last = std::max(culprit.last, crash.at);
    for (const auto& other : candidates) {
        if (other.starts == candidate.starts && other.record.soundBefore == candidate.record.soundBefore)
            culprit.together.push_back(other.record.held);
    }
    return culprit;
}

} // namespace

auto weightOf(std::vector<SharedCrash> crashes) -> std::size_t
{
    std::sort(crashes.begin(), crashes.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    auto events = std::size_t(0);
    auto eventBegan = Moment();
    auto starts = std::set<StartHash>();
    auto requests = std::set<RequestDigest>();
    for (const auto& crash : crashes) {
        if (events == 0 || crash.at - eventBegan >= crashMomentSpan) {
            ++events;
            eventBegan = crash.at;
        }
        starts.insert(crash.start);
        requests.insert(crash.request);
    }
    return std::min({ events, starts.size(), requests.size() });
}

auto findCulprits(std::vector<SharedRecord> records) -> std::vector<Culprit>
{
    auto candidates = std::vector<Candidate>();
    for (auto& record : records) {
        auto candidate = toCandidate(std::move(record));
        if (candidate.weight >= candidate.limit)
            candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tuple(left.record.soundBefore, right.weight, right.starts.size(), left.record.held)
            < std::tuple(right.record.soundBefore, left.weight, left.starts.size(), right.record.held);
    });
    auto culprits = std::vector<Culprit>();
    auto explained = std::set<StartHash>();
    for (const auto& candidate : candidates) {
        if (weightOf(unexplained(candidate, explained)) < candidate.limit)
            continue;
        culprits.push_back(toCulprit(candidate, candidates));
        explained.insert(candidate.starts.begin(), candidate.starts.end());
    }
    return culprits;
}

} // namespace eelgrass::decisions
