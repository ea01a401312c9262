#pragma once

#include "base/Clock.h"
#include "decisions/AdapterSlots.h"
#include "decisions/RequestQueue.h"
#include "router/target/LoadTurns.h"
#include "targets/EngineClient.h"
#include "wire/MainLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace eelgrass::router {

/// Carries out the decisions of `AdapterSlots`: sends load and unload orders to the engine and records their outcomes.
class SlotsController {
public:
    SlotsController(wire::MainLoop& loop, targets::EngineClient& engine, std::size_t slots);

    /// Called whenever a slot has changed, so that queued requests are reconsidered.
    auto onChange(std::function<void()> callback) -> void { onChange_ = std::move(callback); }
    auto setEpoch(Epoch epoch) -> void { epoch_ = epoch; }

    /// Whether a request for the adapter can run now.
    [[nodiscard]] auto ready(const ModelName& model) const -> bool { return slots_.ready(model); }
    /// Pins an adapter that is ready.
    auto pin(const ModelName& model) -> void { slots_.pin(model, now()); }
    /// Sets the adapters that requests wait for, highest priority first. Requests a load turn, and starts a load when
    /// the turn is granted.
    auto requestLoads(std::vector<decisions::LoadCandidate> candidates) -> void;
    /// Makes loads wait for turns. Without turns, as in a test, each load starts when it is requested.
    auto setTurns(std::unique_ptr<LoadTurns> turns) -> void;
    [[nodiscard]] auto evictionCost() const -> double { return slots_.evictionCost(now()); }
    /// Called when a load ends, with the time since the load was first requested.
    auto onLoadTime(std::function<void(Duration)> callback) -> void { onLoadTime_ = std::move(callback); }
    /// Counts an accepted request towards the demand for its adapter.
    auto recordDemand(const ModelName& model) -> void { slots_.asked(model, now()); }
    auto unpin(const ModelName& model) -> void;
    /// Pins the adapter of a stream that an earlier process started; returns `false` if the adapter is not resident.
    [[nodiscard]] auto pinResident(const ModelName& model) -> bool;
    /// Sets the check that runs before each order to the engine. It resolves to `false` when another process owns the
    /// target.
    auto setOwnershipCheck(std::function<kj::Promise<bool>()> check) -> void { confirmOwner_ = std::move(check); }
    /// Replaces the slot table with the adapters that the engine reports as loaded.
    auto applyEngineState(const targets::EngineState& state) -> void;
    /// Reads the engine's state and applies it.
    [[nodiscard]] auto refresh() -> kj::Promise<void>;

    [[nodiscard]] auto resident() const -> std::set<ModelName> { return slots_.resident(); }
    [[nodiscard]] auto count() const noexcept -> std::size_t { return slots_.count(); }
    /// Number of failed loads of this adapter since its last successful load.
    [[nodiscard]] auto loadFailures(const ModelName& model) const -> int;
    auto resetLoadFailures(const ModelName& model) -> void { loadFailures_.erase(model); }

private:
    auto loadNext() -> void;
    auto endTurn() -> void;
    auto load(const ModelName& model, const MemberId& member) -> void;
    auto unload(const ModelName& model) -> void;
    auto loadEnded(const ModelName& model, bool loaded) -> void;
    auto refreshWithRetry() -> kj::Promise<void>;
    auto notifyChange() -> void;

    wire::MainLoop& loop_;
    targets::EngineClient& engine_;
    decisions::AdapterSlots slots_;
    Epoch epoch_;
    std::map<ModelName, int> loadFailures_;
    std::unique_ptr<LoadTurns> turns_;
    std::vector<decisions::LoadCandidate> candidates_;
    std::map<ModelName, Moment> requestedAt_;
    std::optional<ModelName> loading_;
    std::function<void(Duration)> onLoadTime_;
    std::function<void()> onChange_;
    std::function<kj::Promise<bool>()> confirmOwner_ = [] { return kj::Promise<bool>(true); };
};

} // namespace eelgrass::router
