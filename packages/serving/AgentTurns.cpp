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
    const auto chosen = slots_->leastWanted(loop_.timers().now(),
        [this](const ModelName& model) { return pendingReplacements_.contains(AdapterName(model.str())); });
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
        queue_.waitingAdapters(loop_.timers().now()), [this](const AdapterName& adapter) { return isLoaded(adapter); },
        loop_.timers().now());
    if (ended)
        noteTurnEnd(ended->adapter, ended->end);
    if (turns_.holder().empty() || turns_.holder() == hadTurn)
        return;
    noteTurnBegin();
}

auto ReplicaAgent::noteTurnBegin() -> void
{
    const auto& claim = turns_.holderClaim();
    log::info("turn begun",
        { { "adapter", turns_.holder().str() }, { "refused", std::to_string(claim.missed) },
            { "owed_to", decisions::toString(claim.key.kind) }, { "name", claim.key.name },
            { "unserved_ms", millisecondsText(loop_.timers().now() - claim.since) } });
    hooks_.onChange();
}

auto ReplicaAgent::noteTurnEnd(const AdapterName& adapter, decisions::AdapterTurns::End end) -> void
{
    log::info("turn ended", { { "adapter", adapter.str() }, { "how", decisions::toString(end) } });
    hooks_.onTurnEnd(decisions::toString(end));
}

} // namespace eelgrass::serving
