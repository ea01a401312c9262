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

/// Carries out what `AdapterSlots` decides: sends loads and unloads to the engine and tells it how they ended.
class SlotsController {
public:
    SlotsController(wire::MainLoop& loop, targets::EngineClient& engine, std::size_t slots);

    /// Told whenever a slot changed, so that waiting requests are looked at again.
    auto onChange(std::function<void()> callback) -> void { onChange_ = std::move(callback); }
    auto setEpoch(Epoch epoch) -> void { epoch_ = epoch; }

    /// Whether a request for the adapter can run at once.
    [[nodiscard]] auto ready(const ModelName& model) const -> bool { return slots_.ready(model); }
    /// Pins an adapter that is ready.
    auto pin(const ModelName& model) -> void { slots_.pin(model, now()); }
    /// The adapters that requests wait for, most worthy first: asks for a turn to load, and loads when it comes.
    auto want(std::vector<decisions::LoadCandidate> candidates) -> void;
    /// Without turns, as in a test, loads start as they are wanted.
    auto setTurns(std::unique_ptr<LoadTurns> turns) -> void;
    [[nodiscard]] auto evictionCost() const -> double { return slots_.evictionCost(now()); }
    /// Told how long after it was first wanted a load ended.
    auto onLoadTook(std::function<void(Duration)> callback) -> void { onLoadTook_ = std::move(callback); }
    /// Counts an accepted request in its adapter's demand.
    auto asked(const ModelName& model) -> void { slots_.asked(model, now()); }
    auto unpin(const ModelName& model) -> void;
    /// Pins an adapter that a stream of an earlier process uses; false if it is not there.
    [[nodiscard]] auto pinResident(const ModelName& model) -> bool;
    /// Asked before each order to the engine.
    auto setOwnershipCheck(std::function<kj::Promise<bool>()> gate) -> void { confirmOwner_ = std::move(gate); }
    /// Takes what the engine says that it holds as the truth.
    auto take(const targets::EngineState& state) -> void;
    /// Reads the engine's own list and takes it as the truth.
    [[nodiscard]] auto refresh() -> kj::Promise<void>;

    [[nodiscard]] auto resident() const -> std::set<ModelName> { return slots_.resident(); }
    [[nodiscard]] auto count() const noexcept -> std::size_t { return slots_.count(); }
    /// The last error of a load of this adapter since it was last loaded well; empty for none.
    [[nodiscard]] auto failures(const ModelName& model) const -> int;
    auto forgetFailures(const ModelName& model) -> void { failures_.erase(model); }

private:
    auto useTurn() -> void;
    auto endTurn() -> void;
    auto load(const ModelName& model, const MemberId& member) -> void;
    auto unload(const ModelName& model) -> void;
    auto loadEnded(const ModelName& model, bool loaded) -> void;
    auto refreshUntilRead() -> kj::Promise<void>;
    auto changed() -> void;

    wire::MainLoop& loop_;
    targets::EngineClient& engine_;
    decisions::AdapterSlots slots_;
    Epoch epoch_;
    std::map<ModelName, int> failures_;
    std::unique_ptr<LoadTurns> turns_;
    std::vector<decisions::LoadCandidate> wanted_;
    std::map<ModelName, Moment> wantedAt_;
    std::optional<ModelName> loading_;
    std::function<void(Duration)> onLoadTook_;
    std::function<void()> onChange_;
    std::function<kj::Promise<bool>()> confirmOwner_ = [] { return kj::Promise<bool>(true); };
};

} // namespace eelgrass::router
