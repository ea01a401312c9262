#include "decisions/Placer.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// One load at full speed; the store gives two a second.
constexpr auto loadTime = Duration(500ms);
// A further holder must be worth half as much again as its load, or entries with late views load for nothing.
constexpr auto growthMargin = 1.5;
// Loads counted as waiting before a further holder's own. A popular adapter's load overtakes most of them, so counting
// all would keep it on one full target while others idle.
constexpr auto mostLoadsBefore = std::size_t(4);
// A holder that was not needed for this long is left to fade: longer than the gaps of an ordinary burst.
constexpr auto holderHalfLife = Duration(30s);
// Candidates for a first load: enough to step around a full target, few enough that entries agree on them.
constexpr auto mostNewcomers = std::size_t(4);
// Reload cost of what gives way counts up to this demand; beyond it the target is as good as closed.
constexpr auto evictionCap = 8.0;
constexpr auto otherZone = Duration(1ms);
// Time that a target twice as slow as its peers costs a request beyond its queue.
constexpr auto slownessCost = Duration(1s);

auto eligible(const PlacementRequest& request, const TargetView& view) -> bool
{
    const auto tried = std::find(request.tried.begin(), request.tried.end(), view.id) != request.tried.end();
    return !tried && view.reachable && !view.leaving && view.serves == request.serves;
}

auto scaled(Duration duration, double factor) -> Duration
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// Wait for a place in the batch, by the last report and what was sent since.
auto placeWait(const PlacementRequest& request, const TargetView& view) -> Duration
{
    // Those that wait for a load do not stand before a request whose adapter is there.
    const auto waiting = view.queued > view.awaitingLoad ? view.queued - view.awaitingLoad : 0;
    const auto busy = view.running + waiting + view.sentSinceReport;
    const auto ahead = busy >= view.batchLimit ? busy - view.batchLimit + 1 : 0;
    auto wait = view.placeTime * static_cast<Duration::rep>(ahead);
    if (view.slowness > 1)
        wait = scaled(wait, view.slowness) + scaled(slownessCost, view.slowness - 1);
    return view.zone == request.zone ? wait : wait + otherZone;
}

auto loadCost(const Fleet& fleet) -> Duration
{
    const auto turns = std::min(fleet.loadsWaiting(), mostLoadsBefore) + 1;
    return scaled(loadTime * static_cast<Duration::rep>(turns), growthMargin);
}

/// Cost of a first load there: the wait, what it pushes out, and the loads that wait there already.
auto newcomerCost(const PlacementRequest& request, const TargetView& view) -> Duration
{
    const auto pushedOut = scaled(loadTime, std::min(view.evictionCost, evictionCap));
    const auto loads = std::max(view.loadsWaiting, view.coming.size());
    return placeWait(request, view) + pushedOut + loadTime * static_cast<Duration::rep>(loads);
}

auto holderCost(const PlacementRequest& request, const TargetView& view) -> Duration
{
    const auto wait = placeWait(request, view);
    return holds(view, request.model) ? wait : std::max(wait, loadTime);
}

auto reasonFor(const PlacementRequest& request, const TargetView& view) -> Explanation::Reason
{
    using Reason = Explanation::Reason;
    if (view.leaving)
        return Reason::Leaving;
    if (!view.reachable)
        return Reason::Unreachable;
    if (std::find(request.tried.begin(), request.tried.end(), view.id) != request.tried.end())
        return Reason::Tried;
    if (request.model.empty() || holds(view, request.model))
        return Reason::Holds;
    const auto coming = std::any_of(
        view.coming.begin(), view.coming.end(), [&](const auto& one) { return one.model == request.model; });
    return coming ? Reason::LoadComing : Reason::MustLoad;
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
    case Explanation::Reason::Leaving:
        return "leaving";
    case Explanation::Reason::Unreachable:
        return "not reachable";
    }
    return "";
}

auto Placer::next() noexcept -> std::uint64_t
{
    random_ += 0x9e3779b97f4a7c15U;
    return rendezvousScore(random_, 1);
}

auto Placer::choose(const PlacementRequest& request, const Fleet& fleet, Moment now) -> std::optional<Fleet::Index>
{
    if (const auto holder = bestHolder(request, fleet, now))
        return holder->index;
    const auto candidates = newcomers(request, fleet);
    if (candidates.count == 0)
        return busyHolder(request, fleet);
    // A plain service holds no adapters, so any will do and two random ones keep entries from herding. For a load all
    // entries must come to the same choice, or each of them loads the adapter somewhere else.
    if (request.model.empty())
        return pickOfTwo(candidates, candidates.count).index;
    return std::min_element(candidates.at.begin(), candidates.at.begin() + candidates.count,
        [](const auto& a, const auto& b) { return a.cost < b.cost; })
        ->index;
}

// Load made for: a surge for an adapter that every target holds. One more holder would be worth its load, but there is
// nobody to become one; a request refused for that would be lost while a holder could take it.
auto Placer::busyHolder(const PlacementRequest& request, const Fleet& fleet) -> std::optional<Fleet::Index>
{
    const auto candidates = holders(request, fleet);
    if (candidates.count == 0)
        return std::nullopt;
    return pickOfTwo(candidates, candidates.count).index;
}

/// Empty when the adapter should be loaded at one more target.
auto Placer::bestHolder(const PlacementRequest& request, const Fleet& fleet, Moment now) -> std::optional<Candidate>
{
    const auto candidates = holders(request, fleet);
    if (candidates.count == 0)
        return std::nullopt;
    const auto cost = loadCost(fleet);
    const auto wanted = updateWanted(request.model, candidates, cost, now);
    const auto chosen = pickOfTwo(candidates, std::min(wanted, candidates.count));
    if (wanted > candidates.count)
        return std::nullopt;
    return chosen;
}

// One more holder when the wait at those in use exceeds the cost of a load; one less after a half-life in which all but
// the last would have done. Between the two lies the hysteresis that keeps an adapter from coming and going.
auto Placer::updateWanted(const ModelName& model, const Candidates& candidates, Duration cost, Moment now)
    -> std::size_t
{
    const auto least = [&](std::size_t among) {
        const auto used = candidates.at.begin() + std::min(among, candidates.count);
        return std::min_element(candidates.at.begin(), used, [](const auto& a, const auto& b) {
            return a.cost < b.cost;
        })->cost;
    };
    const auto found = wanted_.find(model);
    const auto known = found == wanted_.end() ? Wanted() : found->second;
    if (least(known.count) > cost) {
        // No more than one ahead of the holders that are there: the load just asked for is not there yet.
        const auto grown = std::min(known.count, candidates.count) + 1;
        if (grown <= mostCandidates)
            wanted_[model] = { grown, now };
        return grown;
    }
    if (known.count == 1)
        return 1;
    if (least(known.count - 1) > cost / 2)
        found->second.neededAt = now;
    else if (now - known.neededAt > holderHalfLife) {
        found->second = { known.count - 1, now };
        if (found->second.count == 1)
            wanted_.erase(found);
        return known.count - 1;
    }
    return std::min(known.count, candidates.count);
}

auto Placer::pickOfTwo(const Candidates& candidates, std::size_t among) -> Candidate
{
    const auto& first = candidates.at[next() % among];
    const auto& second = candidates.at[next() % among];
    return second.cost < first.cost ? second : first;
}

/// Holders in rendezvous order, so that all entries use the same ones and the rest fade.
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
        if (found.count == mostCandidates) {
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

/// The first few in rendezvous order that do not hold the adapter.
auto Placer::newcomers(const PlacementRequest& request, const Fleet& fleet) const -> Candidates
{
    auto found = Candidates();
    const auto key = nameHash(request.model.view());
    const auto& group = fleet.serving(request.serves);
    const auto holding = fleet.holders(request.model);
    for (auto member = std::size_t(0); member < group.targets.size(); ++member) {
        const auto score = rendezvousScore(key, group.hashes[member]);
        if (found.count == mostNewcomers && score < found.at[found.count - 1].score)
            continue;
        const auto index = group.targets[member];
        const auto& view = fleet.views()[index];
        if (!eligible(request, view) || std::find(holding.begin(), holding.end(), index) != holding.end())
            continue;
        auto place = found.at.begin() + found.count;
        if (found.count == mostNewcomers)
            --place;
        else
            ++found.count;
        for (; place != found.at.begin() && std::prev(place)->score < score; --place)
            *place = *std::prev(place);
        *place = { index, score, newcomerCost(request, view) };
    }
    return found;
}

auto Placer::explain(const PlacementRequest& request, const Fleet& fleet) const -> std::vector<Explanation>
{
    auto explanations = std::vector<Explanation>();
    const auto cost = loadCost(fleet);
    for (const auto index : fleet.serving(request.serves).targets) {
        const auto& view = fleet.views()[index];
        auto one = Explanation { view.id, reasonFor(request, view), {}, cost, view.slowness };
        if (one.reason == Explanation::Reason::MustLoad)
            one.expectedStart = newcomerCost(request, view);
        else if (one.reason < Explanation::Reason::MustLoad)
            one.expectedStart = holderCost(request, view);
        explanations.push_back(std::move(one));
    }
    std::sort(explanations.begin(), explanations.end(), [](const Explanation& a, const Explanation& b) {
        return std::pair(a.reason, a.expectedStart) < std::pair(b.reason, b.expectedStart);
    });
    return explanations;
}

auto Placer::wantedHolders(const ModelName& model) const -> std::size_t
{
    const auto found = wanted_.find(model);
    return found == wanted_.end() ? 1 : found->second.count;
}

} // namespace eelgrass::decisions
