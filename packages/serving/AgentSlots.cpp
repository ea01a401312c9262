// The part of ReplicaAgent that knows what the replica's adapter slots hold, and how long an adapter takes to be
// loaded.
#include "serving/ReplicaAgent.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;

// The moving average of load times gives the newest one a weight of 1/4.
constexpr auto loadSmoothing = 4;

} // namespace

/// Sets the state of the slots from the replica's report.
auto ReplicaAgent::synchronizeSlots() -> void
{
    if (!report_ || !slots_ || orderInFlight_)
        return;
    const auto now = loop_.timers().now();
    auto held = std::vector<ModelName>();
    for (const auto& [adapter, version] : report_->resident)
        held.push_back(modelName(adapter));
    slots_->reset(held, now);
    for (const auto& adapter : report_->loading)
        slots_->loadStarted(modelName(adapter), now);
    prunePendingOrders();
}

auto ReplicaAgent::residentVersion(const AdapterName& adapter) const -> AdapterVersion
{
    if (!report_)
        return {};
    const auto found = report_->resident.find(adapter);
    return found == report_->resident.end() ? AdapterVersion() : found->second;
}

auto ReplicaAgent::isReady(const AdapterName& adapter) const -> bool
{
    if (!isUsable())
        return false;
    return adapter.empty() || (!turns_.isClosed(adapter) && isLoaded(adapter));
}

auto ReplicaAgent::isLoaded(const AdapterName& adapter) const -> bool
{
    return slots_->ready(modelName(adapter)) && residentVersion(adapter) >= knownVersion(adapter).version;
}

auto ReplicaAgent::readinessPredicate() const -> decisions::AdmissionQueue::Ready
{
    return [this](const AdapterName& adapter) { return isReady(adapter); };
}

auto ReplicaAgent::updateWantedAdapters() -> void
{
    wantedAdapters_ = queue_.wanted(readinessPredicate(), defaultLoadTime, loop_.timers().now());
    // A closed adapter is still loaded; its slot is to come free.
    std::erase_if(wantedAdapters_, [this](const auto& wanted) { return turns_.isClosed(wanted.adapter); });
}

auto ReplicaAgent::loadTime() const -> Duration { return spareSlots() > loadsWaiting() ? defaultLoadTime : loadTime_; }

auto ReplicaAgent::timeUntilReady(const AdapterName& adapter) const -> Duration
{
    if (isReady(adapter))
        return Duration(0);
    // A slot is being emptied for the holder of the turn.
    return turns_.holds(adapter) ? defaultLoadTime : loadTime();
}

/// Measures how long adapters take to load, from the first request that needs them.
auto ReplicaAgent::updateLoadTime() -> void
{
    const auto now = loop_.timers().now();
    for (const auto& wanted : wantedAdapters_)
        wantedSince_.try_emplace(wanted.adapter, now);
    std::erase_if(wantedSince_, [&](const auto& entry) {
        if (std::any_of(wantedAdapters_.begin(), wantedAdapters_.end(),
                [&](const auto& wanted) { return wanted.adapter == entry.first; }))
            return false;
        if (isReady(entry.first))
            loadTime_ += (now - entry.second - loadTime_) / loadSmoothing;
        return true;
    });
}

auto ReplicaAgent::resident() const -> std::map<AdapterName, AdapterVersion>
{
    auto resident = report_ ? report_->resident : std::map<AdapterName, AdapterVersion>();
    // Entries send no more requests for an adapter whose slot is to come free.
    resident.erase(turns_.closed());
    return resident;
}

auto ReplicaAgent::loading() const -> std::vector<AdapterName>
{
    auto adapters = std::vector<AdapterName>();
    for (const auto& wanted : wantedAdapters_)
        adapters.push_back(wanted.adapter);
    // Entries send the next request for the holder of the turn here.
    const auto& holder = turns_.holder();
    if (!holder.empty() && !isReady(holder) && std::find(adapters.begin(), adapters.end(), holder) == adapters.end())
        adapters.push_back(holder);
    std::sort(adapters.begin(), adapters.end());
    return adapters;
}

auto ReplicaAgent::spareSlots() const -> std::size_t
{
    if (!slots_ || !report_)
        return 0;
    const auto taken = report_->resident.size() + report_->loading.size();
    auto spare = slotCount_ > taken ? slotCount_ - taken : 0;
    for (const auto& [adapter, version] : report_->resident) {
        if (!slots_->pinned(modelName(adapter)) && !mustKeep(adapter))
            ++spare;
    }
    return spare;
}

auto ReplicaAgent::slotUse() const -> SlotUse
{
    if (!slots_ || !report_)
        return {};
    const auto pinned = std::count_if(report_->resident.begin(), report_->resident.end(),
        [this](const auto& held) { return slots_->pinned(modelName(held.first)); });
    return { .slots = slotCount_,
        .pinned = static_cast<std::size_t>(pinned),
        .loading = report_->loading.size(),
        .loadLimit = loadConcurrency_.limit() };
}

} // namespace eelgrass::serving
