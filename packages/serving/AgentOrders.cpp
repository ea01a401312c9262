// The orders that an agent gives its replica, and what becomes of them: the second half of ReplicaAgent.
#include "base/Log.h"
#include "serving/ReplicaAgent.h"
#include "serving/detail/SlotNames.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using detail::modelName;

// An order that is not answered by now is taken for lost; the next report tells what became of it.
constexpr auto orderTimeout = Duration(100ms);
// Base models ordered by this host: all hosts together must stay under what the weight store allows.
constexpr auto baseInterval = Duration(5s);
// An order that waits for runs at the replica is looked at anew after this; runs are over by then.
constexpr auto pendingLimit = Duration(3s);
// After a conflict, so that a replica that is at work on another order is not asked in a circle.
constexpr auto conflictRest = Duration(40ms);

} // namespace

/// Forgets the orders that have been carried out, and those that will not be any more.
auto ReplicaAgent::settlePending() -> void
{
    const auto now = loop_.timers().now();
    std::erase_if(unloading_, [&](const auto& order) {
        return !report_->resident.contains(order.first) || now - order.second > pendingLimit;
    });
    std::erase_if(replacing_, [&](const auto& order) {
        return versionOf(order.first) >= wantedVersions_[order.first] || now - order.second > pendingLimit;
    });
    std::erase_if(loads_, [&](const auto& entry) {
        const auto& [adapter, load] = entry;
        const auto there = report_->resident.contains(adapter);
        if (there && load.fromStore)
            pace_.ended(now - load.since);
        return there || now - load.since > pendingLimit;
    });
    latelyHeld_.note(report_->resident, decisions::RecentAdapters::perSlot * slotCount_);
    for (const auto& [adapter, since] : unloading_)
        slots_->unloadStarted(modelName(adapter));
}

auto ReplicaAgent::baseOrder() -> std::optional<hosting::ReplicaOrder>
{
    const auto now = loop_.timers().now();
    const auto recent = baseOrderedAt_ != Moment() && now - baseOrderedAt_ < baseInterval;
    if (base_.empty() || report_->orderUnderWay || recent)
        return std::nullopt;
    baseOrderedAt_ = now;
    return hosting::ReplicaOrder { .model = base_ };
}

auto ReplicaAgent::nextOrder() -> std::optional<hosting::ReplicaOrder>
{
    if (!slots_)
        return std::nullopt;
    if (!report_->hasModel)
        return baseOrder();
    const auto now = loop_.timers().now();
    const auto spare = spareSlots();
    for (const auto& candidate : wanted_) {
        if (!decisions::mayTakeSlot(candidate, spare))
            break;
        const auto& adapter = candidate.adapter;
        const auto name = modelName(adapter);
        if (replacing_.contains(adapter) || unloading_.contains(adapter))
            continue;
        if (slots_->ready(name)) {
            // It is there in an older version. The replica replaces it when the runs on it have ended.
            return hosting::ReplicaOrder { .model = base_, .adapter = adapter, .version = wantedVersions_[adapter] };
        }
        // No slot is emptied for a load that may not begin.
        if (report_->coming.size() >= pace_.limit(candidate.late))
            continue;
        const auto answer = slots_->request(name, now, {}, [this](const ModelName& model) {
            const auto held = AdapterName(model.str());
            return queue_.waits(held) || replacing_.contains(held);
        });
        if (std::holds_alternative<decisions::LoadNow>(answer)) {
            return hosting::ReplicaOrder { .model = base_, .adapter = adapter, .version = wantedVersions_[adapter] };
        }
        if (const auto* evict = std::get_if<decisions::EvictFirst>(&answer)) {
            const auto victim = AdapterName(evict->victim.str());
            return hosting::ReplicaOrder {
                .kind = hosting::ReplicaOrder::Kind::Unload, .model = base_, .adapter = victim
            };
        }
    }
    return std::nullopt;
}

/// An order without an answer may be carried out seconds later, by the replica's next start under the same name, whose
/// count of orders may just meet its condition: a load too many crashes it. So orders of each start that we see bear a
/// higher token than those before, below all tokens of the next process here. No call to the store is needed for it.
auto ReplicaAgent::orderFence() const -> Epoch
{
    constexpr auto startBits = 16U;
    constexpr auto mostStarts = (std::uint64_t(1) << startBits) - 1;
    return Epoch((token_.value() << startBits) + std::min(startsSeen_, mostStarts));
}

auto ReplicaAgent::order(hosting::ReplicaOrder order) -> void
{
    ordering_ = true;
    order.precondition = report_->sequence;
    order.startTime = report_->startTime;
    order.holder = settings_.host.name;
    order.fence = orderFence();
    const auto name = modelName(order.adapter);
    if (order.kind == hosting::ReplicaOrder::Kind::Unload)
        slots_->unloadStarted(name);
    else if (!order.adapter.empty())
        slots_->loadStarted(name, loop_.timers().now());
    orderWork_ = replica_.call(hosting::orderCall(order, instance_, orderTimeout))
                     .then([this, order](wire::HttpAnswer&& answer) { ordered(order, answer); },
                         [this, order](kj::Exception&& error) { orderFailed(order, error.getDescription().cStr()); })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("order failed", { { "reason", error.getDescription().cStr() } });
                     });
}

auto ReplicaAgent::ordered(const hosting::ReplicaOrder& order, const wire::HttpAnswer& answer) -> void
{
    ordering_ = false;
    const auto outcome = hosting::orderOutcome(answer);
    const auto unload = order.kind == hosting::ReplicaOrder::Kind::Unload;
    log::info("order",
        { { "operation", unload ? "unload" : "load" }, { "adapter", order.adapter.str() },
            { "sequence", std::to_string(order.precondition) }, { "status", std::to_string(answer.status) },
            { "reason", answer.status >= 300 ? answer.body.substr(0, 200) : std::string() } });
    const auto now = loop_.timers().now();
    const auto counted = outcome == hosting::OrderOutcome::Accepted || outcome == hosting::OrderOutcome::Holds;
    // What an earlier start accepted says nothing of this one, which counts anew.
    const auto current = report_ && order.startTime == report_->startTime;
    if (counted && current) {
        report_->sequence = std::max(report_->sequence, order.precondition + 1);
        orderedAt_ = now;
    }
    if (outcome == hosting::OrderOutcome::Accepted && current)
        noteAccepted(order);
    if (outcome == hosting::OrderOutcome::Conflict) {
        ordersRestUntil_ = now + conflictRest;
        orderRest_ = loop_.timers().after(conflictRest, [this] { act(); });
    }
    if (outcome == hosting::OrderOutcome::OtherInstance) {
        forgetReplica("another instance");
    }
    if (outcome == hosting::OrderOutcome::Fenced) {
        fence_ = Fence::Wanted;
        fenceTimer_ = loop_.timers().after(Duration(0), [this] { raiseFence(); });
    }
    report();
}

auto ReplicaAgent::noteAccepted(const hosting::ReplicaOrder& order) -> void
{
    const auto now = loop_.timers().now();
    if (order.kind == hosting::ReplicaOrder::Kind::Unload)
        unloading_[order.adapter] = now;
    else if (report_->resident.contains(order.adapter))
        replacing_[order.adapter] = now;
    else if (!order.adapter.empty())
        loads_[order.adapter] = { .since = now, .fromStore = !latelyHeld_.contains(order.adapter) };
}

auto ReplicaAgent::orderFailed(const hosting::ReplicaOrder& order, const std::string& reason) -> void
{
    ordering_ = false;
    log::warn("order without answer",
        { { "adapter", order.adapter.str() }, { "sequence", std::to_string(order.precondition) },
            { "reason", reason } });
    report();
}

} // namespace eelgrass::serving
