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

/// The adapter is ready; pin it before sending the request.
struct UseNow { };
/// A load or an unload that the request depends on is under way; call `request` again when it ends.
struct AwaitTransition { };
/// Load the adapter into a free slot.
struct LoadNow { };
/// Unload `victim`, then call `request` again.
struct EvictFirst {
    ModelName victim;
};
/// No adapter may be evicted now; call `request` again when one is released.
struct NoSlot { };
using SlotDecision = std::variant<UseNow, AwaitTransition, LoadNow, EvictFirst, NoSlot>;

/// Selects which unpinned adapter is evicted.
enum class EvictionRule {
    /// Evicts the adapter that was used least recently; the baseline for measurements.
    LeastRecentlyUsed,
    /// Evicts the adapter with the lowest recent demand. Every reload costs the same, so demand alone determines the
    /// value of keeping an adapter.
    LeastDemand,
};

/// Parameters of the eviction.
struct SlotPolicy {
    EvictionRule rule = EvictionRule::LeastDemand;
    /// Half-life of the demand count, long enough to distinguish an adapter requested every half minute from one
    /// requested once.
    Duration demandHalfLife = 120s;
    /// A loaded adapter that was not used yet is not evicted for this long, since the requests for it may still be on
    /// their way. Requests that have not arrived by then are no longer expected.
    Duration unusedStay = 5s;
};

/// The adapter slots of one engine. The slots of an engine have a single owner, which keeps their state in an object of
/// this class.
///
/// Designed for skewed demand over far more adapters than slots, and for a member whose adapters are all requested at
/// once. The eviction rule prevents a series of rarely used adapters from evicting popular ones, adapters from being
/// evicted before their first use, and one member from holding all slots.
///
/// ```cpp
/// auto answer = slots.request(model, now);
/// if (std::holds_alternative<UseNow>(answer))
///     slots.pin(model, now);
/// ```
class AdapterSlots {
public:
    enum class State { Loading, Ready, Unloading };

    /// Whether an unpinned adapter must not be evicted, for example because queued requests wait for a place in the
    /// batch with it.
    using MustKeep = std::function<bool(const ModelName&)>;

    explicit AdapterSlots(std::size_t count, EvictionRule rule = EvictionRule::LeastDemand)
        : AdapterSlots(count, SlotPolicy { .rule = rule })
    {
    }
    AdapterSlots(std::size_t count, SlotPolicy policy);

    /// Returns what to do next so that a request for `model` can run, without changing any state.
    [[nodiscard]] auto request(const ModelName& model, Moment now, const MemberId& member = {},
        const MustKeep& mustKeep = {}) const -> SlotDecision;
    /// The loaded adapter that would be evicted first if those in use could be; empty if all must be kept.
    [[nodiscard]] auto leastWanted(Moment now, const MustKeep& mustKeep) const -> std::optional<ModelName>;
    /// Adds one request to the demand for `model`; to be called once for each accepted request.
    auto asked(const ModelName& model, Moment now) -> void { demand_.add(model, now); }
    /// Demand for the adapter that the next load would evict; 0 if a slot is free, infinite if none may be evicted.
    [[nodiscard]] auto evictionCost(Moment now) const -> double;

    auto pin(const ModelName& model, Moment now) -> void;
    auto unpin(const ModelName& model) -> void;

    /// `member` is the member whose request caused the load.
    auto loadStarted(const ModelName& model, Moment now, const MemberId& member = {}) -> void;
    auto loadEnded(const ModelName& model, bool loaded, Moment now) -> void;
    auto unloadStarted(const ModelName& model) -> void;
    auto unloadEnded(const ModelName& model, bool unloaded) -> void;
    /// Replaces the state by the engine's own list of loaded adapters, for example after a lost answer or a restart of
    /// the engine.
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
        /// Whether a request has pinned the adapter since the load.
        bool used = false;
        MemberId member;
    };
    [[nodiscard]] auto victim(Moment now, const MemberId& member, const MustKeep& mustKeep) const
        -> std::optional<ModelName>;
    template <typename Allowed>
    [[nodiscard]] auto lowestValue(Moment now, const Allowed& allowed) const -> std::optional<ModelName>;
    [[nodiscard]] auto mayEvict(const Slot&, Moment now, const MemberId& member, bool onlyOwn) const -> bool;
    [[nodiscard]] auto value(const ModelName&, const Slot&, Moment now) const -> double;
    [[nodiscard]] auto slotsHeldBy(const MemberId&) const -> std::size_t;

    std::size_t count_;
    SlotPolicy policy_;
    Demand demand_;
    std::map<ModelName, Slot> slots_;
};

} // namespace eelgrass::decisions
