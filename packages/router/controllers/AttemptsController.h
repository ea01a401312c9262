#pragma once

#include "decisions/RequestQueue.h"
#include "router/EngineCrashes.h"
#include "router/Metrics.h"
#include "router/controllers/SlotsController.h"
#include "router/target/Runner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <variant>

namespace eelgrass::router {

/// Accepts, queues, starts, resumes, revokes and cancels the attempts of one target.
class AttemptsController {
public:
    struct Limits {
        std::size_t queue = 256;
        std::size_t batch = 8;
    };
    using AnyRunner = std::variant<EngineRunner, ServiceRunner>;

    /// `slots` is null for a plain service, which has no adapters to load.
    AttemptsController(wire::MainLoop& loop, AnyRunner runner, SlotsController* slots, Metrics& metrics, Limits limits);

    auto setEpoch(Epoch epoch) -> void { epoch_ = epoch; }
    /// Sets the check that runs before each attempt is sent to the engine or service. It resolves to `false` when
    /// another process owns the target.
    auto setOwnershipCheck(std::function<kj::Promise<bool>()> check) -> void { confirmOwner_ = std::move(check); }
    /// While the engine is down, new attempts are refused. Setting `false` also rejects the queued attempts.
    auto setEngineAlive(bool alive) -> void;
    /// Sets the version of the engine's software; empty if the engine names none.
    auto setEngineSoftware(SoftwareVersion software) -> void { engineSoftware_ = std::move(software); }
    [[nodiscard]] auto engineSoftware() const noexcept -> const SoftwareVersion& { return engineSoftware_; }
    [[nodiscard]] auto engineAlive() const noexcept -> bool { return engineAlive_; }
    /// Sets which start of the engine runs the attempts from now on. One that is sent to an engine that has died counts
    /// as run by the start that is known.
    auto setEngineStart(std::uint64_t start) -> void { engineStart_ = start; }
    /// Refuses new attempts from now on; accepted attempts continue.
    auto setLeaving() -> void { leaving_ = true; }
    auto onChange(std::function<void()> callback) -> void { onChange_ = std::move(callback); }

    /// Accepts or refuses an attempt. The result is empty if the attempt was accepted; otherwise it is the reason why
    /// the attempt did not run and never will.
    [[nodiscard]] auto start(AttemptRequest request, wire::schema::ChunkSink::Client sink) -> std::optional<Error>;
    struct ResumeRequest {
        AttemptId attempt;
        ModelName model;
        ChunkNumber chunk;
        std::uint32_t token = 0;
    };
    /// Sends the rest of an attempt's output to `sink`. Resolves to `false` if the attempt is unknown both here and at
    /// the engine, which may still run it for an earlier process of this target.
    [[nodiscard]] auto resume(ResumeRequest request, wire::schema::ChunkSink::Client sink) -> kj::Promise<bool>;
    /// Takes over a stream that the engine runs for an earlier process of this target. Its adapter is pinned, and an
    /// entry can resume the stream by its attempt ID.
    auto adopt(const AttemptId& id, const ModelName& model) -> void;
    /// Ends each adopted attempt that has no reader and that is missing from `streams`, the streams at the engine.
    auto reconcileEngineStreams(const std::vector<targets::EngineStream>& streams) -> void;

    /// `Replayable` means that the attempt was accepted and that its output is still available from the first chunk.
    enum class Revoked { Yes, AlreadyStarted, Replayable };
    /// If the result is `Yes`, the attempt has not started and never will, even if its start request arrives later.
    [[nodiscard]] auto revoke(const AttemptId& id) -> Revoked;
    auto cancel(const AttemptId& id) -> void;
    /// Called when the ledger has stored the answer, so that the attempt's output need not be retained any longer.
    auto release(const AttemptId& id) -> void;

    /// Requests that were running here when the engine died. Starts are the engine's numbers.
    [[nodiscard]] auto engineCrashes() const noexcept -> const EngineCrashes& { return engineCrashes_; }

    [[nodiscard]] auto queued() const noexcept -> std::size_t { return queue_.size(); }
    /// The request queue, from which the state reports to entries are built.
    [[nodiscard]] auto requests() const noexcept -> const decisions::RequestQueue& { return requests_; }
    [[nodiscard]] auto running() const noexcept -> std::size_t { return running_; }
    /// Whether nothing is queued or running and no entry still waits for the rest of an answer.
    [[nodiscard]] auto idle() const noexcept -> bool;
    /// Whether an entry may still wait for the rest of this attempt's answer.
    [[nodiscard]] auto awaited(const AttemptId& id) const -> bool;
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }

    /// Starts every queued attempt that can run now, and requests loads for the adapters that the remaining attempts
    /// wait for.
    auto dispatch() -> void;

private:
    auto enqueue(const AttemptPtr& attempt) -> std::optional<Error>;
    [[nodiscard]] auto resident() const -> decisions::RequestQueue::IsResident;
    auto removeUnqueued() -> void;
    auto recordLoadStalls() -> void;
    /// Records whether the engine died under the attempt, or ran it to its end.
    auto recordCrash(const Attempt& attempt) -> void;
    auto run(const AttemptPtr& attempt) -> void;
    auto runTask(const AttemptPtr& attempt, kj::Promise<void> task) -> void;
    auto streamAdopted(const AttemptPtr& attempt, const ResumeRequest& request, wire::schema::ChunkSink::Client sink)
        -> void;
    auto rememberStarted(const AttemptId& id) -> void;
    auto cancelAbandoned() -> void;
    [[nodiscard]] auto isComplete(const Attempt& attempt) const -> bool;
    auto finish(const AttemptPtr& attempt) -> void;
    auto reject(const AttemptPtr& attempt, Error error) -> void;
    auto scheduleRemoval(const AttemptPtr& attempt) -> void;
    auto expire() -> void;

    wire::MainLoop& loop_;
    AnyRunner runner_;
    SlotsController* slots_;
    Metrics& metrics_;
    Limits limits_;
    Epoch epoch_;
    bool leaving_ = false;
    std::size_t running_ = 0;
    /// Queued attempts by arrival; `requests_` decides the order in which they start.
    std::deque<AttemptPtr> queue_;
    decisions::RequestQueue requests_;
    std::map<AttemptId, AttemptPtr> attempts_;
    std::map<AttemptId, Timer> removalTimers_;
    std::map<AttemptId, Timer> revoked_;
    /// Non-repeatable and adopted attempts that were started in this epoch; `revoke` must never answer `Yes` for one.
    std::set<AttemptId> startedOnce_;
    std::deque<AttemptId> startedOnceOrder_;
    /// Whether old IDs were dropped from `startedOnce_`, so that an unknown attempt may have been started.
    bool startedOnceTrimmed_ = false;
    std::function<kj::Promise<bool>()> confirmOwner_ = [] { return kj::Promise<bool>(true); };
    bool engineAlive_ = true;
    SoftwareVersion engineSoftware_;
    bool suspectRunning_ = false;
    EngineCrashes engineCrashes_;
    std::uint64_t engineStart_ = 0;
    std::function<void()> onChange_;
    Timer expiry_;
    bool dispatching_ = false;
};

} // namespace eelgrass::router
