#include "decisions/Fleet.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::decisions {

namespace {

// A load that was not reported within this time failed or was abandoned; its absence is no longer due to a delayed
// report.
constexpr auto pendingLoadTimeout = Duration(20s);

auto waitingLoadsOf(const TargetView& view) -> std::size_t
{
    return std::max(view.loadsWaiting, view.pendingLoads.size());
}

} // namespace

auto holds(const TargetView& view, const ModelName& model) -> bool
{
    return std::find(view.resident.begin(), view.resident.end(), model) != view.resident.end();
}

auto Fleet::indexOf(const TargetId& target) const -> const Index*
{
    const auto found = indexById_.find(target);
    return found == indexById_.end() ? nullptr : &found->second;
}

auto Fleet::find(const TargetId& target) const -> const TargetView*
{
    const auto* index = indexOf(target);
    return index ? &views_[*index] : nullptr;
}

auto Fleet::put(TargetView view) -> void
{
    const auto* known = indexOf(view.id);
    if (known) {
        const auto index = *known;
        removeFromIndexes(index);
        views_[index] = std::move(view);
        return addToIndexes(index);
    }
    const auto index = static_cast<Index>(views_.size());
    indexById_[view.id] = index;
    hashes_.push_back(nameHash(view.id.view()));
    views_.push_back(std::move(view));
    addToIndexes(index);
}

auto Fleet::remove(const TargetId& target) -> void
{
    const auto* known = indexOf(target);
    if (!known)
        return;
    const auto index = *known;
    const auto last = static_cast<Index>(views_.size() - 1);
    removeFromIndexes(index);
    indexById_.erase(target);
    if (index != last) {
        removeFromIndexes(last);
        views_[index] = std::move(views_[last]);
        hashes_[index] = hashes_[last];
        indexById_[views_[index].id] = index;
        addToIndexes(index);
    }
    views_.pop_back();
    hashes_.pop_back();
}

auto Fleet::report(const TargetId& target, TargetReport report, Moment now) -> void
{
    const auto* known = indexOf(target);
    if (!known)
        return;
    const auto index = *known;
    auto& view = views_[index];
    loadsWaiting_ -= waitingLoadsOf(view);
    for (const auto& model : view.resident)
        removeHolder(model, index);
    for (const auto& load : view.pendingLoads)
        removeHolder(load.model, index);
    view.leaving = view.leaving || report.leaving;
    view.queued = report.queued;
    view.running = report.running;
    view.batchLimit = std::max(report.batchLimit, std::size_t(1));
    view.slots = report.slots;
    view.awaitingLoad = report.awaitingLoad;
    view.loadsWaiting = report.loadsWaiting;
    view.evictionCost = report.evictionCost;
    view.placeTime = report.placeTime;
    view.resident = std::move(report.resident);
    view.software = std::move(report.software);
    view.sentSinceReport = 0;
    view.reportedAt = now;
    std::erase_if(view.pendingLoads,
        [&](const auto& load) { return now - load.since >= pendingLoadTimeout || holds(view, load.model); });
    for (const auto& model : view.resident)
        addHolder(model, index);
    for (const auto& load : view.pendingLoads)
        addHolder(load.model, index);
    loadsWaiting_ += waitingLoadsOf(view);
}

auto Fleet::sent(Index index, const ModelName& model, Moment now) -> void
{
    auto& view = views_[index];
    ++view.sentSinceReport;
    const auto holding = holders(model);
    if (model.empty() || std::find(holding.begin(), holding.end(), index) != holding.end())
        return;
    loadsWaiting_ -= waitingLoadsOf(view);
    view.pendingLoads.push_back({ model, now });
    loadsWaiting_ += waitingLoadsOf(view);
    addHolder(model, index);
}

auto Fleet::forgetLoad(const TargetId& target) -> void
{
    const auto* index = indexOf(target);
    if (!index)
        return;
    auto& view = views_[*index];
    loadsWaiting_ -= waitingLoadsOf(view);
    for (const auto& load : view.pendingLoads)
        removeHolder(load.model, *index);
    view.pendingLoads.clear();
    view.queued = 0;
    view.running = 0;
    view.awaitingLoad = 0;
    view.loadsWaiting = 0;
    view.sentSinceReport = 0;
}

auto Fleet::setLeaving(const TargetId& target, bool leaving) -> void
{
    if (const auto* index = indexOf(target))
        views_[*index].leaving = leaving;
}

auto Fleet::setReachable(const TargetId& target, bool reachable) -> void
{
    if (const auto* index = indexOf(target))
        views_[*index].reachable = reachable;
}

auto Fleet::setSlowness(const TargetId& target, double slowness) -> void
{
    if (const auto* index = indexOf(target))
        views_[*index].slowness = slowness;
}

auto Fleet::serving(const std::string& serves) const -> const Group&
{
    static const auto none = Group();
    const auto found = groupsByService_.find(serves);
    return found == groupsByService_.end() ? none : found->second;
}

auto Fleet::holders(const ModelName& model) const -> std::span<const Index>
{
    const auto found = holdersByModel_.find(model);
    return found == holdersByModel_.end() ? std::span<const Index>() : std::span<const Index>(found->second);
}

auto Fleet::addToIndexes(Index index) -> void
{
    const auto& view = views_[index];
    auto& group = groupsByService_[view.serves];
    group.targets.push_back(index);
    group.hashes.push_back(hashes_[index]);
    for (const auto& model : view.resident)
        addHolder(model, index);
    for (const auto& load : view.pendingLoads)
        addHolder(load.model, index);
    loadsWaiting_ += waitingLoadsOf(view);
}

auto Fleet::removeFromIndexes(Index index) -> void
{
    const auto& view = views_[index];
    auto& group = groupsByService_[view.serves];
    const auto place = std::find(group.targets.begin(), group.targets.end(), index) - group.targets.begin();
    group.targets.erase(group.targets.begin() + place);
    group.hashes.erase(group.hashes.begin() + place);
    for (const auto& model : view.resident)
        removeHolder(model, index);
    for (const auto& load : view.pendingLoads)
        removeHolder(load.model, index);
    loadsWaiting_ -= waitingLoadsOf(view);
}

auto Fleet::addHolder(const ModelName& model, Index index) -> void { holdersByModel_[model].push_back(index); }

auto Fleet::removeHolder(const ModelName& model, Index index) -> void
{
    const auto found = holdersByModel_.find(model);
    if (found == holdersByModel_.end())
        return;
    std::erase(found->second, index);
    // Most adapters are held by no target, so empty entries are removed to save memory.
    if (found->second.empty())
        holdersByModel_.erase(found);
}

} // namespace eelgrass::decisions
