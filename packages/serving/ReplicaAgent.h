#pragma once

#include "decisions/AdapterSlots.h"
#include "decisions/AdmissionQueue.h"
#include "decisions/CircuitBreaker.h"
#include "decisions/KnownPrefixes.h"
#include "decisions/LoadConcurrency.h"
#include "decisions/RecentAdapters.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/Settings.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace eelgrass::serving {

/// The only holder of orders for the replica beside it: keeps its adapters, and says which request may be sent when.
///
/// Orders go one at a time, each on the condition that the replica has accepted just as many as its last report says.
/// An order whose answer was lost may be carried out seconds later; by that condition it then either meets the very
/// state that it was made for, or nothing happens. Without it, a late load could fill a slot twice, which crashes the
/// replica.
class ReplicaAgent {
public:
    /// Told of each decision: granted with the version that the replica holds, or refused.
    struct Decision {
        bool granted = false;
        AdapterVersion version;
        Duration retryAfter {};
        std::string reason;
        /// Not granted only because it would be late here.
        bool late = false;
        /// How long it waited here.
        Duration waited {};
        /// How much of that was for its adapter.
        Duration waitedForAdapter {};
    };
    using OnDecision = std::function<void(const AttemptId&, const Decision&)>;
    using OnChange = std::function<void()>;

    ReplicaAgent(wire::MainLoop& loop, const AgentSettings& settings, hosting::Store& store, OnDecision onDecision,
        OnChange onChange);

    auto start() -> void;
    /// What the configuration says of the replica's service.
    auto configure(decisions::ReplicaLimits limits, std::size_t adapterSlots, const BaseModel& base,
        const std::string& healthPath) -> void;

    /// Takes a request in; the decision comes by `onDecision`, maybe at once. `version` is the lowest that may run.
    auto admit(decisions::AdmissionRequest request, AdapterVersion version,
        std::span<const decisions::SharedPrefix> shared) -> void;
    auto adopt(const decisions::AdmissionRequest& request) -> void;
    auto started(const AttemptId& attempt) -> void;
    auto release(const AttemptId& attempt, RunEnd end = RunEnd::Plain) -> void;

    /// Whether the replica answers and holds its base model.
    [[nodiscard]] auto usable() const -> bool;
    /// Whether a request may come now: usable, and not resting after failures.
    [[nodiscard]] auto admits() const -> bool;
    /// Share of the last requests that failed or broke off.
    [[nodiscard]] auto failureShare() const -> double { return breaker_.failureShare(loop_.timers().now()); }
    [[nodiscard]] auto instance() const noexcept -> const InstanceId& { return instance_; }
    /// When the replica started, as its last report says.
    [[nodiscard]] auto startTime() const noexcept -> StartTime { return report_ ? report_->startTime : StartTime(); }
    [[nodiscard]] auto queue() const noexcept -> const decisions::AdmissionQueue& { return queue_; }
    [[nodiscard]] auto resident() const -> std::map<AdapterName, AdapterVersion>;
    /// Adapters that are wanted and not there, by name.
    [[nodiscard]] auto loading() const -> std::vector<AdapterName>;
    [[nodiscard]] auto spareSlots() const -> std::size_t;
    [[nodiscard]] auto loadsWaiting() const noexcept -> std::size_t { return wanted_.size(); }
    /// Prompt tokens to be read before a request that comes now.
    [[nodiscard]] auto tokensAhead() const -> Tokens;
    [[nodiscard]] auto tokensWaiting() const -> Tokens;
    /// How long an adapter that is wanted now will take, the wait for a slot included, by what the last ones took.
    [[nodiscard]] auto loadTime() const -> Duration;

private:
    enum class Fence { Wanted, Asked, Held };

    // The fencing token, raised once a start.
    auto raiseFence() -> void;
    auto writeFence(const hosting::Row& row) -> void;
    auto fenceWritten(std::uint64_t token, const hosting::StoreAnswer& answer) -> void;

    // The replica's own word.
    auto report() -> void;
    auto reported(const wire::HttpAnswer& answer) -> void;
    /// Whether the report is of a later start than the last one.
    [[nodiscard]] auto startedAgain(const hosting::ReplicaReport& read) const -> bool;
    [[nodiscard]] auto firstFenceDelay() const -> Duration;
    auto reportFailed(const std::string& reason) -> void;
    /// Asks the replica which instance it is; orders name it, so that none reaches the one after a restart.
    auto identify() -> void;
    auto identified(const std::string& failure) -> void;
    auto forgetReplica(std::string_view why) -> void;
    auto synchronize() -> void;

    // What to do about it.
    auto act() -> void;
    auto grant() -> void;
    auto decide(const AttemptId& attempt, Decision decision) -> void;
    auto noteEnd(const AttemptId& attempt, RunEnd end) -> void;
    auto refuseWaiting(const std::string& reason) -> void;
    auto nextOrder() -> std::optional<hosting::ReplicaOrder>;
    auto baseOrder() -> std::optional<hosting::ReplicaOrder>;
    auto order(hosting::ReplicaOrder order) -> void;
    [[nodiscard]] auto orderFence() const -> Epoch;
    auto ordered(const hosting::ReplicaOrder& order, const wire::HttpAnswer& answer) -> void;
    auto noteAccepted(const hosting::ReplicaOrder& order) -> void;
    auto orderFailed(const hosting::ReplicaOrder& order, const std::string& reason) -> void;
    auto settlePending() -> void;
    auto noteLoads() -> void;
    /// Looks anew which adapters are to be loaded, and in which order.
    auto findWanted() -> void;
    /// Until the replica's report is read again.
    [[nodiscard]] auto reportInterval() const -> Duration;
    [[nodiscard]] auto isReady() const -> decisions::AdmissionQueue::Ready;
    [[nodiscard]] auto ready(const AdapterName& adapter) const -> bool;
    [[nodiscard]] auto versionOf(const AdapterName& adapter) const -> AdapterVersion;

    wire::MainLoop& loop_;
    const AgentSettings& settings_;
    hosting::Store& store_;
    OnDecision onDecision_;
    OnChange onChange_;
    wire::HttpCaller replica_;
    BaseModel base_;
    std::string healthPath_;
    decisions::AdmissionQueue queue_;
    std::optional<decisions::AdapterSlots> slots_;
    std::size_t slotCount_ = 0;
    /// The lowest version of each adapter that any request asked for.
    std::map<AdapterName, AdapterVersion> wantedVersions_;
    decisions::KnownPrefixes prompts_;
    /// Orders that wait at the replica for runs to end, and since when: unloads, and loads of a newer version.
    std::map<AdapterName, Moment> unloading_;
    std::map<AdapterName, Moment> replacing_;
    struct Load {
        Moment since {};
        /// Whether it takes from the weight store.
        bool fromStore = true;
    };
    std::map<AdapterName, Load> loads_;
    decisions::RecentAdapters latelyHeld_;
    decisions::LoadConcurrency pace_;
    decisions::CircuitBreaker breaker_;
    Timer rest_;
    /// Adapters to be loaded, in that order, as of the last look. Worked out once for each change of the queue: many
    /// ask for it, and it costs a pass over all that waits.
    std::vector<decisions::WantedAdapter> wanted_;
    /// Since when each adapter that is not there is wanted, and how long the last ones took.
    std::map<AdapterName, Moment> wantedSince_;
    Duration loadTime_;
    Moment ordersRestUntil_ {};
    Moment orderedAt_ {};
    Timer orderRest_;

    Fence fence_ = Fence::Wanted;
    Epoch token_;
    /// Starts of the replica that this process has seen end.
    std::uint64_t startsSeen_ = 0;
    InstanceId instance_;
    std::optional<hosting::ReplicaReport> report_;
    Moment reportedAt_ {};
    std::uint32_t reportFailures_ = 0;
    bool reporting_ = false;
    bool ordering_ = false;
    bool acting_ = false;
    Moment baseOrderedAt_ {};
    kj::Maybe<kj::Promise<void>> reportWork_;
    kj::Maybe<kj::Promise<void>> orderWork_;
    kj::Maybe<kj::Promise<void>> fenceWork_;
    kj::Maybe<kj::Promise<void>> identityWork_;
    bool identifying_ = false;
    Timer identityTimer_;
    Timer reportTimer_;
    Timer fenceTimer_;
    Timer expiry_;
};

} // namespace eelgrass::serving
