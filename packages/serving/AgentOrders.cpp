// The part of ReplicaAgent that sends orders to the replica and tracks their outcome.
#include "base/Log.h"
#include "serving/ReplicaAgent.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;

// An order without an answer after this time counts as lost; the next report shows whether it was carried out.
constexpr auto orderTimeout = Duration(100ms);
// Minimum time between two base model orders of this host. All hosts together must stay below the rate of base model
// loads that the weight store allows.
constexpr auto baseModelInterval = Duration(5s);
// An order that waits at the replica for running requests is no longer considered pending after this time, so that it
// can be sent again; the requests have ended by then.
constexpr auto maxPendingTime = Duration(3s);
// No order is sent for this long after a conflict, so that a replica which is carrying out another order is not sent
// orders in a tight loop.
constexpr auto conflictPause = Duration(40ms);

} // namespace

/// Removes pending orders that have been carried out, and those that have been pending for too long.
auto ReplicaAgent::prunePendingOrders() -> void
{
    const auto now = loop_.timers().now();
    std::erase_if(pendingUnloads_, [&](const auto& order) {
        return !report_->resident.contains(order.first) || now - order.second > maxPendingTime;
    });
    std::erase_if(pendingReplacements_, [&](const auto& entry) {
        const auto& [adapter, replacement] = entry;
        return residentVersion(adapter) >= replacement.version || now - replacement.since > maxPendingTime;
    });
    std::erase_if(pendingLoads_, [&](const auto& entry) {
        const auto& [adapter, load] = entry;
        const auto loaded = report_->resident.contains(adapter);
        if (loaded && load.fromStore)
            loadConcurrency_.ended(now - load.since);
        return loaded || now - load.since > maxPendingTime;
    });
    recentAdapters_.note(report_->resident, decisions::RecentAdapters::perSlot * slotCount_);
    for (const auto& [adapter, since] : pendingUnloads_)
        slots_->unloadStarted(modelName(adapter));
}

auto ReplicaAgent::baseModelOrder() -> std::optional<hosting::ReplicaOrder>
{
    const auto now = loop_.timers().now();
    const auto recent = baseModelOrderedAt_ != Moment() && now - baseModelOrderedAt_ < baseModelInterval;
    if (base_.empty() || report_->orderInProgress || recent)
        return std::nullopt;
    baseModelOrderedAt_ = now;
    return hosting::ReplicaOrder { .model = base_ };
}

/// Names a version only if the operator has. Otherwise the replica fetches the newest: an agent that has started again
/// knows of no version, and the entry that asks may be the one that has missed the news.
auto ReplicaAgent::loadOrder(const AdapterName& adapter) const -> hosting::ReplicaOrder
{
    const auto& known = knownVersion(adapter);
    return {
        .model = base_, .adapter = adapter, .version = known.learnedAt ? std::optional(known.version) : std::nullopt
    };
}

auto ReplicaAgent::nextOrder() -> std::optional<hosting::ReplicaOrder>
{
    if (!slots_)
        return std::nullopt;
    if (!report_->hasModel)
        return baseModelOrder();
    if (auto order = turnOrder())
        return order;
    const auto spare = spareSlots();
    for (const auto& candidate : wantedAdapters_) {
        if (!decisions::mayTakeSlot(candidate, spare))
            break;
        const auto& adapter = candidate.adapter;
        const auto name = modelName(adapter);
        if (pendingReplacements_.contains(adapter) || pendingUnloads_.contains(adapter))
            continue;
        if (slots_->ready(name)) {
            // An older version is loaded. The replica replaces it once the requests running on it have ended.
            return loadOrder(adapter);
        }
        // A slot is not emptied for a load that may not start yet.
        if (report_->loading.size() >= loadConcurrency_.limit(candidate.late))
            continue;
        if (auto order = orderFor(adapter, slotDecision(adapter)))
            return order;
    }
    return std::nullopt;
}

auto ReplicaAgent::slotDecision(const AdapterName& adapter) const -> decisions::SlotDecision
{
    return slots_->request(modelName(adapter), loop_.timers().now(), {},
        [this](const ModelName& model) { return mustKeep(AdapterName(model.str())); });
}

auto ReplicaAgent::orderFor(const AdapterName& adapter, const decisions::SlotDecision& decision) const
    -> std::optional<hosting::ReplicaOrder>
{
    if (std::holds_alternative<decisions::LoadNow>(decision))
        return loadOrder(adapter);
    const auto* evict = std::get_if<decisions::EvictFirst>(&decision);
    if (!evict)
        return std::nullopt;
    return hosting::ReplicaOrder {
        .kind = hosting::ReplicaOrder::Kind::Unload, .model = base_, .adapter = AdapterName(evict->victim.str())
    };
}

auto ReplicaAgent::mustKeep(const AdapterName& adapter) const -> bool
{
    if (turns_.isClosed(adapter))
        return false;
    return queue_.waits(adapter) || pendingReplacements_.contains(adapter) || turns_.holds(adapter);
}

/// Returns the fencing token for orders: the agent's token from the store in the upper bits, and in the lower bits the
/// number of replica starts that this process has seen end. An order whose answer was lost may be carried out seconds
/// later, when the replica has restarted under the same name and has by chance accepted as many orders as the
/// precondition requires; one load too many crashes the replica. Therefore orders to each later start carry a higher
/// token, which is still below all tokens of this agent's next process. Raising the lower bits takes no call to the
/// store.
auto ReplicaAgent::orderFencingToken() const -> Epoch
{
    constexpr auto lossBits = 16U;
    constexpr auto maxLosses = (std::uint64_t(1) << lossBits) - 1;
    return Epoch((fencingToken_.value() << lossBits) + std::min(replicaLosses_, maxLosses));
}

auto ReplicaAgent::sendOrder(hosting::ReplicaOrder order) -> void
{
    order.precondition = report_->sequence;
    order.startTime = report_->startTime;
    order.holder = settings_.host.name;
    order.fence = orderFencingToken();
    auto call = hosting::orderCall(order, instance_, orderTimeout);
    orderInFlight_ = true;
    const auto name = modelName(order.adapter);
    if (order.kind == hosting::ReplicaOrder::Kind::Unload)
        slots_->unloadStarted(name);
    else if (!order.adapter.empty())
        slots_->loadStarted(name, loop_.timers().now());
    orderWork_
        = replica_.call(std::move(call))
              .then([this, order](wire::HttpAnswer&& answer) { handleOrderAnswer(order, answer); },
                  [this, order](kj::Exception&& error) { handleOrderFailure(order, error.getDescription().cStr()); })
              .eagerlyEvaluate([](kj::Exception&& error) {
                  log::error("order failed", { { "reason", error.getDescription().cStr() } });
              });
}

auto ReplicaAgent::handleOrderAnswer(const hosting::ReplicaOrder& order, const wire::HttpAnswer& answer) -> void
{
    orderInFlight_ = false;
    const auto outcome = hosting::orderOutcome(answer);
    if (outcome != hosting::OrderOutcome::OtherInstance)
        noteAvailability(answer);
    const auto unload = order.kind == hosting::ReplicaOrder::Kind::Unload;
    log::info("order response",
        { { "operation", unload ? "unload" : "load" }, { "adapter", order.adapter.str() },
            { "version", order.version ? std::to_string(order.version->value()) : "" },
            { "sequence", std::to_string(order.precondition) }, { "status", std::to_string(answer.status) },
            { "reason", answer.status >= 300 ? answer.body.substr(0, 200) : std::string() } });
    const auto now = loop_.timers().now();
    const auto sequenceAdvanced
        = outcome == hosting::OrderOutcome::Accepted || outcome == hosting::OrderOutcome::Completed;
    // An order accepted by an earlier start of the replica is not counted, because the current start counts its orders
    // from 0.
    const auto fromCurrentStart = report_ && order.startTime == report_->startTime;
    if (sequenceAdvanced && fromCurrentStart) {
        report_->sequence = std::max(report_->sequence, order.precondition + 1);
        orderCountedAt_ = now;
    }
    if (outcome == hosting::OrderOutcome::Accepted && fromCurrentStart)
        recordAcceptedOrder(order);
    if (outcome == hosting::OrderOutcome::Conflict) {
        ordersPausedUntil_ = now + conflictPause;
        orderPauseTimer_ = loop_.timers().after(conflictPause, [this] { runPendingWork(); });
    }
    if (outcome == hosting::OrderOutcome::OtherInstance) {
        resetReplicaState("another instance");
    }
    if (outcome == hosting::OrderOutcome::Fenced) {
        fencingState_ = FencingState::Needed;
        fencingTimer_ = loop_.timers().after(Duration(0), [this] { acquireFencingToken(); });
    }
    requestReport();
}

auto ReplicaAgent::recordAcceptedOrder(const hosting::ReplicaOrder& order) -> void
{
    const auto now = loop_.timers().now();
    if (order.kind == hosting::ReplicaOrder::Kind::Unload)
        pendingUnloads_[order.adapter] = now;
    else if (report_->resident.contains(order.adapter))
        pendingReplacements_[order.adapter] = { .version = order.version.value_or(AdapterVersion()), .since = now };
    else if (!order.adapter.empty())
        pendingLoads_[order.adapter] = { .since = now, .fromStore = !recentAdapters_.contains(order.adapter) };
}

auto ReplicaAgent::handleOrderFailure(const hosting::ReplicaOrder& order, const std::string& reason) -> void
{
    orderInFlight_ = false;
    log::warn("order without answer",
        { { "adapter", order.adapter.str() }, { "sequence", std::to_string(order.precondition) },
            { "reason", reason } });
    requestReport();
}

} // namespace eelgrass::serving
