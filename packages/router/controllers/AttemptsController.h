#pragma once

#include "decisions/Quarantine.h"
#include "decisions/RequestQueue.h"
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

/// The attempts of one target: accepts, queues, starts, resumes, revokes and cancels them.
class AttemptsController {
public:
    struct Limits {
        std::size_t queue = 256;
        std::size_t batch = 8;
    };
    using AnyRunner = std::variant<EngineRunner, ServiceRunner>;

    /// `slots` is null for a plain service.
    AttemptsController(wire::MainLoop& loop, AnyRunner runner, SlotsController* slots, Metrics& metrics, Limits limits);

    auto setEpoch(Epoch epoch) -> void { epoch_ = epoch; }
    /// Asked before anything is sent to the engine or service; `false` means that another process owns the target.
    auto setGate(std::function<kj::Promise<bool>()> gate) -> void { gate_ = std::move(gate); }
    /// While its engine is away a target takes nothing new.
    auto setEngineAlive(bool alive) -> void;
    [[nodiscard]] auto engineAlive() const noexcept -> bool { return engineAlive_; }
    /// Refuses new attempts from here on; those accepted go on.
    auto setLeaving() -> void { leaving_ = true; }
    auto onChange(std::function<void()> callback) -> void { onChange_ = std::move(callback); }

    /// Empty when the attempt was accepted; otherwise why it did not and will not run.
    [[nodiscard]] auto start(AttemptRequest request, wire::schema::ChunkSink::Client sink) -> std::optional<Error>;
    struct ResumeOrder {
        AttemptId attempt;
        ModelName model;
        ChunkNumber chunk;
        std::uint32_t token = 0;
    };
    /// Whether the attempt is known here, or at the engine from an earlier process of this target.
    [[nodiscard]] auto resume(ResumeOrder order, wire::schema::ChunkSink::Client sink) -> kj::Promise<bool>;
    /// Takes over a stream that the engine runs for an earlier process: its adapter is pinned, and an entry that
    /// resumes it by its attempt is served.
    auto adopt(const AttemptId& id, const ModelName& model) -> void;
    /// What the engine runs now; ends the adopted attempts that it no longer runs and nobody reads.
    auto engineRuns(const std::vector<targets::EngineStream>& streams) -> void;

    /// Held: its start has arrived, and its output can be had from the beginning.
    enum class Revoked { Yes, AlreadyStarted, Held };
    /// After `Yes` the attempt has not started and never will, even if its start comes later.
    [[nodiscard]] auto revoke(const AttemptId& id) -> Revoked;
    auto cancel(const AttemptId& id) -> void;
    /// The ledger has the answer of this attempt.
    auto release(const AttemptId& id) -> void;

    /// Requests that ran here when the engine died.
    [[nodiscard]] auto suspects() const noexcept -> const decisions::Quarantine& { return suspects_; }

    [[nodiscard]] auto queued() const noexcept -> std::size_t { return queue_.size(); }
    /// How the queue stands, for the entries' views.
    [[nodiscard]] auto requests() const noexcept -> const decisions::RequestQueue& { return requests_; }
    [[nodiscard]] auto running() const noexcept -> std::size_t { return running_; }
    /// Nothing queued, nothing running, and no entry still waits for the rest of an answer.
    [[nodiscard]] auto idle() const noexcept -> bool;
    /// Whether an entry still waits for the rest of this answer.
    [[nodiscard]] auto awaited(const AttemptId& id) const -> bool;
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }

    /// Starts what can be started.
    auto pump() -> void;

private:
    auto offer(const AttemptPtr& attempt) -> std::optional<Error>;
    [[nodiscard]] auto resident() const -> decisions::RequestQueue::IsResident;
    auto dropUnqueued() -> void;
    auto noteStalls() -> void;
    auto run(const AttemptPtr& attempt) -> void;
    auto work(const AttemptPtr& attempt, kj::Promise<void> task) -> void;
    auto readAdopted(const AttemptPtr& attempt, const ResumeOrder& order, wire::schema::ChunkSink::Client sink) -> void;
    auto remember(const AttemptId& id) -> void;
    auto cancelAbandoned() -> void;
    [[nodiscard]] auto settled(const Attempt& attempt) const -> bool;
    auto finished(const AttemptPtr& attempt) -> void;
    auto giveUp(const AttemptPtr& attempt, Error error) -> void;
    auto forgetLater(const AttemptPtr& attempt) -> void;
    auto expire() -> void;

    wire::MainLoop& loop_;
    AnyRunner runner_;
    SlotsController* slots_;
    Metrics& metrics_;
    Limits limits_;
    Epoch epoch_;
    bool leaving_ = false;
    std::size_t running_ = 0;
    /// Those that wait, by arrival; `requests_` says in which order they start.
    std::deque<AttemptPtr> queue_;
    decisions::RequestQueue requests_;
    std::map<AttemptId, AttemptPtr> attempts_;
    std::map<AttemptId, Timer> forgetting_;
    std::map<AttemptId, Timer> revoked_;
    /// Attempts that may run only once and were started in this epoch: `revoke` must never say of one that it was not.
    std::set<AttemptId> startedOnce_;
    std::deque<AttemptId> startedOnceOrder_;
    bool forgotStarted_ = false;
    std::function<kj::Promise<bool>()> gate_ = [] { return kj::Promise<bool>(true); };
    bool engineAlive_ = true;
    bool suspectRunning_ = false;
    decisions::Quarantine suspects_;
    std::function<void()> onChange_;
    Timer expiry_;
    bool pumping_ = false;
};

} // namespace eelgrass::router
