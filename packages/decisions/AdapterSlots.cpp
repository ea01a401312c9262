#include "decisions/AdapterSlots.h"

#include <algorithm>
#include <limits>

namespace eelgrass::decisions {

namespace {

constexpr auto maxTrackedAdapters = std::size_t(512);

} // namespace

AdapterSlots::AdapterSlots(std::size_t count, SlotPolicy policy)
    : count_(count)
    , policy_(policy)
    , demand_(policy.demandHalfLife, maxTrackedAdapters)
{
}

auto AdapterSlots::request(const ModelName& model, Moment now, const MemberId& member, const MustKeep& mustKeep) const
    -> SlotDecision
{
    const auto found = slots_.find(model);
    if (found != slots_.end()) {
        if (found->second.state == State::Ready)
            return UseNow {};
        // Waits for an unload under way: the unload could overtake a load sent at the same time, and the request would
        // find no weights.
        return AwaitTransition {};
    }
    if (slots_.size() < count_)
        return LoadNow {};
    for (const auto& [name, slot] : slots_) {
        // One slot that is being emptied is enough for one request; another eviction would waste a load.
        if (slot.state == State::Unloading)
            return AwaitTransition {};
    }
    const auto chosen = victim(now, member, mustKeep);
    if (chosen)
        return EvictFirst { *chosen };
    return NoSlot {};
}

auto AdapterSlots::victim(Moment now, const MemberId& member, const MustKeep& mustKeep) const
    -> std::optional<ModelName>
{
    // A member that holds half of the slots may evict only its own adapters, so that a surge of its requests leaves the
    // other half of the slots to the other members.
    const auto onlyOwn
        = policy_.rule == EvictionRule::LeastDemand && !member.empty() && 2 * slotsHeldBy(member) >= count_;
    return lowestValue(now, [&](const ModelName& model, const Slot& slot) {
        return mayEvict(slot, now, member, onlyOwn) && !(mustKeep && mustKeep(model));
    });
}

auto AdapterSlots::leastWanted(Moment now, const MustKeep& mustKeep) const -> std::optional<ModelName>
{
    return lowestValue(
        now, [&](const ModelName& model, const Slot& slot) { return slot.state == State::Ready && !mustKeep(model); });
}

template <typename Allowed>
auto AdapterSlots::lowestValue(Moment now, const Allowed& allowed) const -> std::optional<ModelName>
{
    auto best = slots_.end();
    for (auto slot = slots_.begin(); slot != slots_.end(); ++slot) {
        if (!allowed(slot->first, slot->second))
            continue;
        if (best == slots_.end() || value(slot->first, slot->second, now) < value(best->first, best->second, now))
            best = slot;
    }
    return best == slots_.end() ? std::nullopt : std::optional(best->first);
}

auto AdapterSlots::mayEvict(const Slot& slot, Moment now, const MemberId& member, bool onlyOwn) const -> bool
{
    // An adapter that a running request uses is never evicted, or the answer would be generated with other weights.
    if (slot.state != State::Ready || slot.pins > 0)
        return false;
    if (policy_.rule == EvictionRule::LeastRecentlyUsed)
        return true;
    if (!slot.used && now - slot.loadedAt < policy_.unusedStay)
        return false;
    return !onlyOwn || slot.member == member;
}

auto AdapterSlots::value(const ModelName& model, const Slot& slot, Moment now) const -> double
{
    if (policy_.rule == EvictionRule::LeastRecentlyUsed)
        return static_cast<double>(slot.usedAt.time_since_epoch().count());
    return demand_.of(model, now);
}

auto AdapterSlots::slotsHeldBy(const MemberId& member) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(slots_.begin(), slots_.end(), [&](const auto& slot) { return slot.second.member == member; }));
}

auto AdapterSlots::evictionCost(Moment now) const -> double
{
    if (slots_.size() < count_)
        return 0;
    const auto chosen = victim(now, {}, {});
    return chosen ? demand_.of(*chosen, now) : std::numeric_limits<double>::infinity();
}

auto AdapterSlots::pin(const ModelName& model, Moment now) -> void
{
    auto& slot = slots_.at(model);
    ++slot.pins;
    slot.used = true;
    slot.usedAt = now;
}

auto AdapterSlots::unpin(const ModelName& model) -> void
{
    const auto found = slots_.find(model);
    if (found != slots_.end() && found->second.pins > 0)
        --found->second.pins;
}

auto AdapterSlots::loadStarted(const ModelName& model, Moment now, const MemberId& member) -> void
{
    slots_[model] = { .usedAt = now, .loadedAt = now, .member = member };
}

auto AdapterSlots::loadEnded(const ModelName& model, bool loaded, Moment now) -> void
{
    if (!loaded) {
        slots_.erase(model);
        return;
    }
    auto& slot = slots_[model];
    slot.state = State::Ready;
    slot.usedAt = now;
    slot.loadedAt = now;
}

auto AdapterSlots::unloadStarted(const ModelName& model) -> void { slots_.at(model).state = State::Unloading; }

auto AdapterSlots::unloadEnded(const ModelName& model, bool unloaded) -> void
{
    if (unloaded)
        slots_.erase(model);
    else if (slots_.contains(model))
        slots_.at(model).state = State::Ready;
}

auto AdapterSlots::reset(const std::vector<ModelName>& loaded, Moment now) -> void
{
    auto fresh = std::map<ModelName, Slot>();
    for (const auto& model : loaded) {
        const auto known = slots_.find(model);
        auto slot = known == slots_.end() ? Slot { .usedAt = now, .loadedAt = now, .used = true } : known->second;
        slot.state = State::Ready;
        fresh[model] = std::move(slot);
    }
    slots_ = std::move(fresh);
}

auto AdapterSlots::resident() const -> std::set<ModelName>
{
    auto names = std::set<ModelName>();
    for (const auto& [name, slot] : slots_) {
        if (slot.state == State::Ready)
            names.insert(name);
    }
    return names;
}

auto AdapterSlots::ready(const ModelName& model) const -> bool
{
    const auto found = slots_.find(model);
    return found != slots_.end() && found->second.state == State::Ready;
}

auto AdapterSlots::pinned(const ModelName& model) const -> bool
{
    const auto found = slots_.find(model);
    return found != slots_.end() && found->second.pins > 0;
}

} // namespace eelgrass::decisions
