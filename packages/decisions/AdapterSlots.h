#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "decisions/Demand.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace eelgrass::decisions {

/// The adapter may be used now; pin it before the request is sent.
struct UseNow { };
/// A load or an unload of the adapter is under way; ask again when it ends.
struct AwaitTransition { };
/// Load the adapter into a free slot.
struct LoadNow { };
/// Unload `victim`; then ask again.
struct EvictFirst {
    ModelName victim;
};
/// Every slot is pinned or busy; ask again when one is released.
struct NoSlot { };
using SlotDecision = std::variant<UseNow, AwaitTransition, LoadNow, EvictFirst, NoSlot>;

/// Which unpinned adapter gives way.
enum class EvictionRule {
    /// The baseline that the measurements compare with.
    LeastRecentlyUsed,
    /// The one with the least recent demand; every reload costs the same, so demand alone tells the values apart.
    LeastDemand,
};

/// How long the past counts.
struct SlotPolicy {
    EvictionRule rule = EvictionRule::LeastDemand;
    /// Long enough to tell an adapter that is asked for every half minute from one that is asked for once.
    Duration demandHalfLife = 120s;
    /// A load that nobody used yet is kept for its requests, which may be on their way; after this they will not come.
    Duration unusedStay = 5s;
};

/// The adapter slots of one engine, as their sole owner knows them.
///
/// Load made for: skewed demand over far more adapters than slots, and a member whose adapters are all wanted at once.
/// Harm prevented: popular adapters pushed out by a run of rare ones, adapters evicted before they were used, one
/// member holding every slot.
///
/// ```cpp
/// auto answer = slots.request(model, now);
/// if (std::holds_alternative<UseNow>(answer))
///     slots.pin(model, now);
/// ```
class AdapterSlots {
public:
    enum class State { Loading, Ready, Unloading };

    /// Adapters that must stay though nothing runs on them, as when requests wait for a place with them.
    using Keep = std::function<bool(const ModelName&)>;

    explicit AdapterSlots(std::size_t count, EvictionRule rule = EvictionRule::LeastDemand)
        : AdapterSlots(count, SlotPolicy { .rule = rule })
    {
    }
    AdapterSlots(std::size_t count, SlotPolicy policy);

    /// What to do so that a request for `model` can run. Changes nothing.
    [[nodiscard]] auto request(
        const ModelName& model, Moment now, const MemberId& member = {}, const Keep& keep = {}) const -> SlotDecision;
    /// Counts one request for `model` in its demand; once a request, when it is accepted.
    auto asked(const ModelName& model, Moment now) -> void { demand_.add(model, now); }
    /// Demand for the adapter that the next load would push out; 0 for a free slot, infinite if none can give way.
    [[nodiscard]] auto evictionCost(Moment now) const -> double;

    auto pin(const ModelName& model, Moment now) -> void;
    auto unpin(const ModelName& model) -> void;

    /// `member` is the one whose request asked for the load.
    auto loadStarted(const ModelName& model, Moment now, const MemberId& member = {}) -> void;
    auto loadEnded(const ModelName& model, bool loaded, Moment now) -> void;
    auto unloadStarted(const ModelName& model) -> void;
    auto unloadEnded(const ModelName& model, bool unloaded) -> void;
    /// Takes the engine's own list as the truth, as after a lost answer or an engine's restart.
    auto reset(const std::vector<ModelName>& loaded, Moment now) -> void;

    [[nodiscard]] auto resident() const -> std::set<ModelName>;
    /// Whether a request for `model` can run at once.
    [[nodiscard]] auto ready(const ModelName& model) const -> bool;
    [[nodiscard]] auto pinned(const ModelName& model) const -> bool;
    [[nodiscard]] auto count() const noexcept -> std::size_t { return count_; }

private:
    struct Slot {
        State state = State::Loading;
        std::size_t pins = 0;
        Moment usedAt {};
        Moment loadedAt {};
        /// Whether a request was pinned since the load.
        bool used = false;
        MemberId member;
    };
    [[nodiscard]] auto victim(Moment now, const MemberId& member, const Keep& keep) const -> std::optional<ModelName>;
    [[nodiscard]] auto mayGiveWay(const Slot&, Moment now, const MemberId& member, bool onlyOwn) const -> bool;
    [[nodiscard]] auto value(const ModelName&, const Slot&, Moment now) const -> double;
    [[nodiscard]] auto heldBy(const MemberId&) const -> std::size_t;

    std::size_t count_;
    SlotPolicy policy_;
    Demand demand_;
    std::map<ModelName, Slot> slots_;
};

} // namespace eelgrass::decisions
