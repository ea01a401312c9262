#pragma once

#include "decisions/RequestQueue.h"
#include "router/Metrics.h"
#include "router/controllers/SlotsController.h"
#include "router/target/Runner.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
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
    /// Refuses new attempts from here on; those accepted go on.
    auto setLeaving() -> void { leaving_ = true; }
    auto onChange(std::function<void()> callback) -> void { onChange_ = std::move(callback); }

    /// Empty when the attempt was accepted; otherwise why it did not and will not run.
    [[nodiscard]] auto start(StartOrder order, wire::schema::ChunkSink::Client sink) -> std::optional<Error>;
    /// Whether the attempt is known here.
    [[nodiscard]] auto resume(const AttemptId& id, wire::schema::ChunkSink::Client sink, ChunkNumber from) -> bool;

    enum class Revoked { Yes, AlreadyStarted };
    /// After `Yes` the attempt has not started and never will, even if its start comes later.
    [[nodiscard]] auto revoke(const AttemptId& id) -> Revoked;
    auto cancel(const AttemptId& id) -> void;

    [[nodiscard]] auto queued() const noexcept -> std::size_t { return queue_.size(); }
    /// How the queue stands, for the entries' views.
    [[nodiscard]] auto requests() const noexcept -> const decisions::RequestQueue& { return requests_; }
    [[nodiscard]] auto running() const noexcept -> std::size_t { return running_; }
    /// Nothing queued, nothing running, and no entry still waits for the rest of an answer.
    [[nodiscard]] auto idle() const noexcept -> bool;
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }

    /// Starts what can be started.
    auto pump() -> void;

private:
    auto offer(const AttemptPtr& attempt) -> std::optional<Error>;
    auto resident() const -> decisions::RequestQueue::IsResident;
    auto dropUnqueued() -> void;
    auto noteStalls() -> void;
    auto run(const AttemptPtr& attempt) -> void;
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
    std::function<void()> onChange_;
    Timer expiry_;
    bool pumping_ = false;
};

} // namespace eelgrass::router
