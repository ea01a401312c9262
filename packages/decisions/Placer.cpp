#include "decisions/Placer.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// Duration of one load at full speed; the weight store serves two loads per second.
constexpr auto loadTime = Duration(500ms);
// An additional holder must save at least 1.5 times the cost of its load. Without this margin, entries whose views are
// outdated order unnecessary loads.
constexpr auto growthMargin = 1.5;
// Upper bound of the loads counted as queued ahead of an additional holder's load. The load of a popular adapter
// overtakes most of the queue, so counting the whole queue would confine the adapter to one full target while others
// idle.
constexpr auto maxLoadsAhead = std::size_t(4);
// A holder that was not needed for this time is no longer used. The time is longer than the gaps within a normal burst.
constexpr auto holderIdleLimit = Duration(30s);
// Number of candidates for loading an adapter: enough to avoid a full target, few enough that all entries agree on
// them.
constexpr auto maxLoadCandidates = std::size_t(4);
// Upper bound of the demand for the evicted adapter that counts as cost; a target above it is in effect excluded.
constexpr auto maxEvictionCost = 8.0;
constexpr auto crossZoneLatency = Duration(1ms);
// Delay added, besides the slower queue, for a target that is twice as slow as its peers.
constexpr auto slownessPenalty = Duration(1s);

/// Whether the target cannot continue the request's answer. A target that has not reported may be asked: it refuses
/// if its engine's software is another one.
auto hasOtherSoftware(const PlacementRequest& request, const TargetView& view) -> bool
{
    return request.software && view.reportedAt != Moment() && view.software != *request.software;
}

auto eligible(const PlacementRequest& request, const TargetView& view) -> bool
{
    const auto tried = std::find(request.tried.begin(), request.tried.end(), view.id) != request.tried.end();
    return !tried && view.reachable && !view.leaving && view.serves == request.serves
        && !hasOtherSoftware(request, view);
}

auto scaled(Duration duration, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Expected wait for a free place in the target's batch, from its last report and the requests sent since then.
auto batchWait(const PlacementRequest& request, const TargetView& view) -> Duration
{
    // Requests that wait for a load do not delay a request whose adapter is resident.
    const auto waiting = view.queued > view.awaitingLoad ? view.queued - view.awaitingLoad : 0;
    const auto busy = view.running + waiting + view.sentSinceReport;
    const auto ahead = busy >= view.batchLimit ? busy - view.batchLimit + 1 : 0;
    auto wait = view.placeTime * static_cast<Duration::rep>(ahead);
    if (view.slowness > 1)
        wait = scaled(wait, view.slowness) + scaled(slownessPenalty, view.slowness - 1);
    return view.zone == request.zone ? wait : wait + crossZoneLatency;
}

auto loadCost(const Fleet& fleet) -> Duration
{
    const auto loadCount = std::min(fleet.loadsWaiting(), maxLoadsAhead) + 1;
    return scaled(loadTime * static_cast<Duration::rep>(loadCount), growthMargin);
}

/// Cost of loading the adapter at a target that does not hold it: the wait for a place, the reload of the evicted
/// adapter, and the loads that already wait at the target.
auto loadCandidateCost(const PlacementRequest& request, const TargetView& view) -> Duration
{
    const auto reloadCost = scaled(loadTime, std::min(view.evictionCost, maxEvictionCost));
    const auto queuedLoads = std::max(view.loadsWaiting, view.pendingLoads.size());
    return batchWait(request, view) + reloadCost + loadTime * static_cast<Duration::rep>(queuedLoads);
}

auto holderCost(const PlacementRequest& request, const TargetView& view) -> Duration
{
    const auto wait = batchWait(request, view);
    return holds(view, request.model) ? wait : std::max(wait, loadTime);
}

auto reasonFor(const PlacementRequest& request, const TargetView& view) -> Explanation::Reason
{
    using Reason = Explanation::Reason;
    if (view.leaving)
        return Reason::Leaving;
    if (!view.reachable)
        return Reason::Unreachable;
    if (hasOtherSoftware(request, view))
        return Reason::OtherSoftware;
    if (std::find(request.tried.begin(), request.tried.end(), view.id) != request.tried.end())
        return Reason::Tried;
    if (request.model.empty() || holds(view, request.model))
        return Reason::Holds;
    const auto loading = std::any_of(view.pendingLoads.begin(), view.pendingLoads.end(),
        [&](const auto& load) { return load.model == request.model; });
    return loading ? Reason::LoadComing : Reason::MustLoad;
}

} // namespace

auto toString(Explanation::Reason reason) noexcept -> std::string_view
{
    switch (reason) {
    case Explanation::Reason::Holds:
        return "holds the adapter";
    case Explanation::Reason::LoadComing:
        return "a load is under way";
    case Explanation::Reason::MustLoad:
        return "would have to load";
    case Explanation::Reason::Tried:
        return "refused the request";
    case Explanation::Reason::OtherSoftware:
        return "another software version";
    case Explanation::Reason::Leaving:
        return "leaving";
    case Explanation::Reason::Unreachable:
        return "not reachable";
    }
    return "";
}

auto Placer::nextRandom() noexcept -> std::uint64_t
{
    random_ += 0x9e3779b97f4a7c15U;
    return rendezvousScore(random_, 1);
}

auto Placer::choose(const PlacementRequest& request, const Fleet& fleet, Moment now) -> std::optional<Fleet::Index>
{
    if (const auto holder = bestHolder(request, fleet, now))
        return holder->index;
    const auto candidates = loadCandidates(request, fleet);
    if (candidates.count == 0)
        return anyHolder(request, fleet);
    // A plain service holds no adapters, so any target will do, and picking the better of two random targets keeps
    // entries from all choosing the same one. For a load, all entries must make the same choice, or each of them would
    // load the adapter at a different target.
    if (request.model.empty())
        return pickBetterOfTwo(candidates, candidates.count).index;
    return std::min_element(candidates.at.begin(), candidates.at.begin() + candidates.count,
        [](const auto& a, const auto& b) { return a.cost < b.cost; })
        ->index;
}

// Handles a surge for an adapter that every target holds: another holder would be worth its load, but no target is left
// to become a holder. Without this fallback the request would be refused although a holder could take it.
auto Placer::anyHolder(const PlacementRequest& request, const Fleet& fleet) -> std::optional<Fleet::Index>
{
    const auto candidates = holders(request, fleet);
    if (candidates.count == 0)
        return std::nullopt;
    return pickBetterOfTwo(candidates, candidates.count).index;
}

/// Returns no value if the adapter should be loaded at an additional target.
auto Placer::bestHolder(const PlacementRequest& request, const Fleet& fleet, Moment now) -> std::optional<Candidate>
{
    const auto candidates = holders(request, fleet);
    if (candidates.count == 0)
        return std::nullopt;
    const auto cost = loadCost(fleet);
    const auto wanted = updateWantedHolders(request.model, candidates, cost, now);
    const auto chosen = pickBetterOfTwo(candidates, std::min(wanted, candidates.count));
    if (wanted > candidates.count)
        return std::nullopt;
    return chosen;
}

// Adds a holder when the wait at the holders in use exceeds the cost of a load, and removes a holder after
// `holderIdleLimit` during which one holder fewer would have sufficed. The gap between the two thresholds is
// hysteresis: it prevents the adapter from being loaded and evicted repeatedly.
auto Placer::updateWantedHolders(const ModelName& model, const Candidates& candidates, Duration cost, Moment now)
    -> std::size_t
{
    const auto lowestCost = [&](std::size_t among) {
        const auto used = candidates.at.begin() + std::min(among, candidates.count);
        return std::min_element(candidates.at.begin(), used, [](const auto& a, const auto& b) {
            return a.cost < b.cost;
        })->cost;
    };
    const auto found = wantedHolders_.find(model);
    const auto known = found == wantedHolders_.end() ? WantedHolders() : found->second;
    if (lowestCost(known.count) > cost) {
        // At most one more than the existing holders, because the load just requested is not yet complete.
        const auto increased = std::min(known.count, candidates.count) + 1;
        if (increased <= maxCandidates)
            wantedHolders_[model] = { increased, now };
        return increased;
    }
    if (known.count == 1)
        return 1;
    if (lowestCost(known.count - 1) > cost / 2)
        found->second.neededAt = now;
    else if (now - known.neededAt > holderIdleLimit) {
        found->second = { known.count - 1, now };
        if (found->second.count == 1)
            wantedHolders_.erase(found);
        return known.count - 1;
    }
    return std::min(known.count, candidates.count);
}

auto Placer::pickBetterOfTwo(const Candidates& candidates, std::size_t among) -> Candidate
{
    const auto& first = candidates.at[nextRandom() % among];
    const auto& second = candidates.at[nextRandom() % among];
    return second.cost < first.cost ? second : first;
}

/// Returns the holders in rendezvous order, so that all entries use the same holders and the other holders lose their
/// demand.
auto Placer::holders(const PlacementRequest& request, const Fleet& fleet) const -> Candidates
{
    auto found = Candidates();
    const auto key = nameHash(request.model.view());
    for (const auto index : fleet.holders(request.model)) {
        const auto& view = fleet.views()[index];
        if (!eligible(request, view))
            continue;
        const auto candidate = Candidate { index, rendezvousScore(key, fleet.hash(index)), holderCost(request, view) };
        auto place = found.at.begin() + found.count;
        if (found.count == maxCandidates) {
            if (candidate.score < found.at.back().score)
                continue;
            --place;
        } else
            ++found.count;
        for (; place != found.at.begin() && std::prev(place)->score < candidate.score; --place)
            *place = *std::prev(place);
        *place = candidate;
    }
    return found;
}

/// Returns the first `maxLoadCandidates` targets in rendezvous order that do not hold the adapter.
auto Placer::loadCandidates(const PlacementRequest& request, const Fleet& fleet) const -> Candidates
{
    auto found = Candidates();
    const auto key = nameHash(request.model.view());
    const auto& group = fleet.serving(request.serves);
    const auto holding = fleet.holders(request.model);
    for (auto position = std::size_t(0); position < group.targets.size(); ++position) {
        const auto score = rendezvousScore(key, group.hashes[position]);
        if (found.count == maxLoadCandidates && score < found.at[found.count - 1].score)
            continue;
        const auto index = group.targets[position];
        const auto& view = fleet.views()[index];
        if (!eligible(request, view) || std::find(holding.begin(), holding.end(), index) != holding.end())
            continue;
        auto place = found.at.begin() + found.count;
        if (found.count == maxLoadCandidates)
            --place;
        else
            ++found.count;
        for (; place != found.at.begin() && std::prev(place)->score < score; --place)
            *place = *std::prev(place);
        *place = { index, score, loadCandidateCost(request, view) };
    }
    return found;
}

auto Placer::explain(const PlacementRequest& request, const Fleet& fleet) const -> std::vector<Explanation>
{
    auto explanations = std::vector<Explanation>();
    const auto cost = loadCost(fleet);
    for (const auto index : fleet.serving(request.serves).targets) {
        const auto& view = fleet.views()[index];
        auto explanation = Explanation { view.id, reasonFor(request, view), {}, cost, view.slowness };
        if (explanation.reason == Explanation::Reason::MustLoad)
            explanation.expectedStart = loadCandidateCost(request, view);
        else if (explanation.reason < Explanation::Reason::MustLoad)
            explanation.expectedStart = holderCost(request, view);
        explanations.push_back(std::move(explanation));
    }
    std::sort(explanations.begin(), explanations.end(), [](const Explanation& a, const Explanation& b) {
        return std::pair(a.reason, a.expectedStart) < std::pair(b.reason, b.expectedStart);
    });
    return explanations;
}

auto Placer::wantedHolders(const ModelName& model) const -> std::size_t
{
    const auto found = wantedHolders_.find(model);
    return found == wantedHolders_.end() ? 1 : found->second.count;
}

} // namespace eelgrass::decisions
