// The part of ReplicaAgent that gives adapters their turns on a slot.
#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/ReplicaAgent.h"
#include "serving/detail/SlotNames.h"

namespace eelgrass::serving {

namespace {

using detail::modelName;

} // namespace

auto ReplicaAgent::turnOrder() -> std::optional<hosting::ReplicaOrder>
{
    const auto& adapter = turns_.holder();
    // A request of the base model waits for no adapter.
    if (adapter.empty() || !queue_.waits(adapter) || isLoaded(adapter) || pendingUnloads_.contains(adapter)
        || pendingReplacements_.contains(adapter) || slots_->ready(modelName(adapter)))
        return std::nullopt;
    const auto decision = slotDecision(adapter);
    if (std::holds_alternative<decisions::NoSlot>(decision) && turns_.closed().empty())
        closeForTurn();
    return orderFor(adapter, decision);
}

auto ReplicaAgent::closeForTurn() -> void
{
    const auto now = loop_.timers().now();
    const auto chosen = slots_->leastWanted(
        now, [this](const ModelName& model) { return pendingReplacements_.contains(AdapterName(model.str())); });
    if (!chosen)
        return;
    turns_.close(AdapterName(chosen->str()));
    log::info("adapter closed", { { "adapter", chosen->str() }, { "turn_of", turns_.holder().str() } });
    hooks_.onChange();
}

auto ReplicaAgent::updateTurns() -> void
{
    if (!isUsable())
        return;
    const auto hadTurn = turns_.holder();
    const auto ended = turns_.update(
        queue_.waitingAdapters(), [this](const AdapterName& adapter) { return isLoaded(adapter); },
        loop_.timers().now());
    if (ended)
        noteTurnEnd(ended->adapter, ended->end);
    if (turns_.holder().empty() || turns_.holder() == hadTurn)
        return;
    noteTurnBegin();
}

auto ReplicaAgent::noteTurnBegin() -> void
{
    const auto& holder = turns_.holder();
    const auto* refused = turns_.unserved().find(holder);
    log::info("turn begun",
        { { "adapter", holder.str() }, { "refused", std::to_string(refused ? refused->count : 0) },
            { "unserved_ms", millisecondsText(loop_.timers().now() - turns_.holderSince()) } });
    hooks_.onChange();
}

auto ReplicaAgent::noteUnserved(const decisions::AdmissionRefusal& refusal) -> void
{
    // A slot does not help a request that the rate limit holds back.
    if (!refusal.rateLimited)
        noteUnserved(refusal.adapter, refusal.arrivedAt);
}

auto ReplicaAgent::noteUnserved(const AdapterName& adapter, Moment arrivedAt) -> void
{
    if (!adapter.empty() && isUsable())
        turns_.refused(adapter, arrivedAt);
}

auto ReplicaAgent::noteTurnEnd(const AdapterName& adapter, decisions::AdapterTurns::End end) -> void
{
    log::info("turn ended", { { "adapter", adapter.str() }, { "how", decisions::toString(end) } });
    hooks_.onTurnEnd(decisions::toString(end));
}

} // namespace eelgrass::serving
