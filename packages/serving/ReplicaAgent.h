#pragma once

#include "decisions/AdapterSlots.h"
#include "decisions/AdapterTurns.h"
#include "decisions/AdmissionQueue.h"
#include "decisions/CircuitBreaker.h"
#include "decisions/KnownPrefixes.h"
#include "decisions/LoadConcurrency.h"
#include "decisions/RecentAdapters.h"
#include "decisions/ReplicaSilence.h"
#include "decisions/RequestedRest.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/AdapterVersions.h"
#include "serving/RateLimitMessages.h"
#include "serving/Settings.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>

namespace eelgrass::serving {

/// The lowest adapter version that may run a request, as the request's entry knows it.
struct RequiredVersion {
    AdapterVersion version;
    std::string source {};
    std::optional<Moment> namedAfter {};
};

/// Controls the replica on this host: orders it to load and unload adapters, and decides when each request may be sent
/// to it. No other process sends orders to the replica.
///
/// One order is sent at a time. The precondition of an order is the number of orders that the replica had accepted by
/// its last report. The replica may carry out an order seconds after the answer to it was lost; the precondition then
/// ensures that the order either meets the state it was made for or has no effect. Without it, a delayed load could
/// fill a slot a second time, which crashes the replica.
class ReplicaAgent {
public:
    /// The decision on a request: granted with the adapter version that the replica holds, or refused.
    struct Decision {
        bool granted = false;
        AdapterName adapter {};
        AdapterVersion version;
        Duration retryAfter {};
        std::string reason;
        /// Refused only because the request would miss its latency target at this replica.
        bool late = false;
        /// Time that the request spent in the admission queue.
        Duration waited {};
        /// The wait for the adapter that a refusal on arrival assumed.
        Duration assumedLoad {};
        /// The request as it left the queue, with what it waited for.
        decisions::AdmissionRequest request {};
    };
    struct Hooks {
        std::function<void(const AttemptId&, const Decision&)> onDecision;
        std::function<void()> onChange;
        /// Called when a named version is in force at the place, with how long ago it was named at the most.
        std::function<void(const char* place, Duration age)> onVersionInForce;
        /// Called when a request leaves the queue without a decision, as its entry or its client has stopped waiting.
        std::function<void(const decisions::AdmissionRequest&)> onWithdrawn;
        /// Called when the turn of an adapter ends.
        std::function<void(const char* how)> onTurnEnd;
    };

    ReplicaAgent(wire::MainLoop& loop, const AgentSettings& settings, hosting::Store& store, Hooks hooks);

    auto start() -> void;
    /// Applies the configuration of the replica's service.
    auto configure(decisions::ReplicaLimits limits, std::size_t adapterSlots, const BaseModel& base,
        const std::string& healthPath) -> void;

    /// Queues a request or refuses it. The decision is passed to `onDecision`, possibly before this returns.
    auto admit(decisions::AdmissionRequest request, const RequiredVersion& required,
        std::span<const decisions::SharedPrefix> shared) -> void;
    /// Registers a request that already runs at the replica, granted before its entry attached.
    auto adopt(const decisions::AdmissionRequest& request) -> void;
    auto started(const AttemptId& attempt) -> void;
    auto release(const AttemptId& attempt, RunEnd end = RunEnd::Plain) -> void;
    /// Applies what an answer of the replica said about its rate limit. Nothing is applied that belongs to another
    /// start.
    auto noteRateLimit(const ReplicaRateLimit& limit) -> decisions::AnnouncedRateLimit::Change;
    /// What the replica last said about its rate limit; empty if nothing.
    [[nodiscard]] auto rateLimit() const -> std::optional<ReplicaRateLimit>;

    /// Notes that this start of the replica leaves, according to `source`. It is sent nothing more.
    auto noteLeaving(const ReplicaStart& start, std::string_view source) -> void;
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }
    /// Notes for how long this start of the replica wants nothing from this host, as `source` has heard.
    auto noteHostRest(const ReplicaStart& start, Duration length, std::string_view source) -> void;
    /// When the replica's last rest for this host ends or has ended; empty if it never asked for one.
    [[nodiscard]] auto hostRestEnd() const noexcept -> std::optional<Moment> { return rest_.end(); }

    /// Whether the replica responds and holds its base model.
    [[nodiscard]] auto isUsable() const -> bool;
    /// Whether new requests are accepted: the replica is usable, answers, stays, and is not paused after failures.
    [[nodiscard]] auto acceptsRequests() const -> bool;
    /// Share of the recent requests that failed or broke off, from 0 to 1.
    [[nodiscard]] auto failureShare() const -> double { return breaker_.failureShare(loop_.timers().now()); }
    [[nodiscard]] auto instance() const noexcept -> const InstanceId& { return instance_; }
    /// An earlier start of the replica.
    struct LostStart {
        ReplicaStart start;
        /// Whether another start has been seen since. Otherwise it could not be reached any more, and may go on.
        bool over = false;
    };
    /// The start that was there last before this one; empty if this agent has seen none, or if it left by plan.
    [[nodiscard]] auto lostStart() const noexcept -> const std::optional<LostStart>& { return lostStart_; }
    /// When the replica started, according to its last report.
    [[nodiscard]] auto startTime() const noexcept -> StartTime { return report_ ? report_->startTime : StartTime(); }
    [[nodiscard]] auto queue() const noexcept -> const decisions::AdmissionQueue& { return queue_; }
    [[nodiscard]] auto resident() const -> std::map<AdapterName, AdapterVersion>;
    /// The newest version of an adapter that entries have told this agent of.
    [[nodiscard]] auto knownVersion(const AdapterName& adapter) const -> const KnownVersion&
    {
        return versions_.of(base_, adapter);
    }
    /// Adapters that queued requests need and that are not loaded, sorted by name.
    [[nodiscard]] auto loading() const -> std::vector<AdapterName>;
    [[nodiscard]] auto spareSlots() const -> std::size_t;
    /// The use of the replica's adapter slots.
    struct SlotUse {
        std::size_t slots = 0;
        /// Slots with adapters that requests run on.
        std::size_t pinned = 0;
        std::size_t loading = 0;
        /// Loads that may be in progress at a time.
        std::size_t loadLimit = 0;
    };
    [[nodiscard]] auto slotUse() const -> SlotUse;
    [[nodiscard]] auto holds(const AdapterName& adapter) const -> bool { return isReady(adapter); }
    [[nodiscard]] auto loadsWaiting() const noexcept -> std::size_t { return wantedAdapters_.size(); }
    /// Prompt tokens that the replica has to read before those of a request that arrives now.
    [[nodiscard]] auto tokensAhead() const -> Tokens;
    /// Prompt tokens of requests that wait for their adapters.
    [[nodiscard]] auto tokensWaiting() const -> Tokens;
    /// Expected time until an adapter requested now is loaded, including the wait for a slot, estimated from recent
    /// loads.
    [[nodiscard]] auto loadTime() const -> Duration;

private:
    /// Time of a load while a slot is to spare.
    static constexpr auto defaultLoadTime = Duration(300ms);

    /// State of the fencing token.
    enum class FencingState { Needed, Requested, Held };

    // The fencing token, incremented once at each start of this process.
    auto acquireFencingToken() -> void;
    auto writeFencingToken(const hosting::Row& row) -> void;
    auto fencingTokenWritten(std::uint64_t token, const hosting::StoreAnswer& answer) -> void;

    // The replica's report and identity.
    auto requestReport() -> void;
    auto handleReport(const wire::HttpAnswer& answer) -> void;
    /// Whether the report is from a later start of the replica than the last one.
    [[nodiscard]] auto isFromLaterStart(const hosting::ReplicaReport& read) const -> bool;
    /// Notes what an answer to one of this agent's calls says about the replica's availability.
    auto noteAvailability(const wire::HttpAnswer& answer) -> void;
    auto applyRest(Duration length, std::string_view source) -> void;
    [[nodiscard]] auto resting() const -> bool { return rest_.resting(loop_.timers().now()); }
    [[nodiscard]] auto firstFencingDelay() const -> Duration;
    auto handleReportFailure(decisions::ReplicaSilence::Failure failure, const std::string& reason) -> void;
    auto noteSilence(const std::string& reason) -> void;
    auto noteSilenceEnd() -> void;
    /// Asks the replica for its instance name. Each order carries this name, so that an instance with another name that
    /// follows a restart does not accept it.
    auto identify() -> void;
    auto identified(const std::string& failure) -> void;
    auto applyName(const InstanceId& name) -> void;
    auto resetReplicaState(std::string_view reason) -> void;
    /// Notes that the lost start is over if this is another one, and that it is not lost if it is the same.
    auto compareWithLostStart() -> void;
    auto synchronizeSlots() -> void;

    // Admission and orders.
    /// Grants requests and sends the next order, as far as the current state allows.
    auto runPendingWork() -> void;
    auto grantRequests() -> void;
    auto reportDecision(const AttemptId& attempt, Decision decision) -> void;
    auto recordRunEnd(const AttemptId& attempt, RunEnd end) -> void;
    auto refuseQueued(const std::string& reason) -> void;
    /// Sends queued requests elsewhere while the replica is silent, first those that another replica may serve in time.
    auto divertQueued() -> void;
    /// Whether the replica's current start may be this one, as far as it is known.
    [[nodiscard]] auto mayBeCurrentStart(const ReplicaStart& start) const -> bool;
    /// Drops the rate limit if another start has announced it.
    auto dropForeignRateLimit() -> void;
    /// Grants the next request when it gets its permit.
    auto scheduleNextPermit() -> void;
    auto nextOrder() -> std::optional<hosting::ReplicaOrder>;
    /// The next step of the turn of an adapter that requests waited for in vain, if one has the turn.
    auto turnOrder() -> std::optional<hosting::ReplicaOrder>;
    /// What to do next so that a request for the adapter can run.
    [[nodiscard]] auto slotDecision(const AdapterName& adapter) const -> decisions::SlotDecision;
    /// The order that carries out the decision, if it takes one.
    [[nodiscard]] auto orderFor(const AdapterName& adapter, const decisions::SlotDecision& decision) const
        -> std::optional<hosting::ReplicaOrder>;
    /// Whether a loaded adapter may not be unloaded for another one, although no request runs on it.
    [[nodiscard]] auto mustKeep(const AdapterName& adapter) const -> bool;
    /// Closes the loaded adapter with the lowest demand, so that its slot comes free for the holder of the turn.
    auto closeForTurn() -> void;
    auto updateTurns() -> void;
    auto noteTurnBegin() -> void;
    auto noteTurnEnd(const AdapterName& adapter, decisions::AdapterTurns::End end) -> void;
    [[nodiscard]] auto loadOrder(const AdapterName& adapter) const -> hosting::ReplicaOrder;
    auto baseModelOrder() -> std::optional<hosting::ReplicaOrder>;
    auto sendOrder(hosting::ReplicaOrder order) -> void;
    [[nodiscard]] auto orderFencingToken() const -> Epoch;
    auto handleOrderAnswer(const hosting::ReplicaOrder& order, const wire::HttpAnswer& answer) -> void;
    auto recordAcceptedOrder(const hosting::ReplicaOrder& order) -> void;
    auto handleOrderFailure(const hosting::ReplicaOrder& order, const std::string& reason) -> void;
    auto prunePendingOrders() -> void;
    auto updateLoadTime() -> void;
    /// Expected time until a request that arrives now finds the adapter ready.
    [[nodiscard]] auto timeUntilReady(const AdapterName& adapter) const -> Duration;
    /// Recomputes which adapters are to be loaded, and in which order.
    auto updateWantedAdapters() -> void;
    /// Time until the replica's report is read again.
    [[nodiscard]] auto reportInterval() const -> Duration;
    [[nodiscard]] auto readinessPredicate() const -> decisions::AdmissionQueue::Ready;
    [[nodiscard]] auto isReady(const AdapterName& adapter) const -> bool;
    /// Whether the adapter is loaded, in the version that requests need.
    [[nodiscard]] auto isLoaded(const AdapterName& adapter) const -> bool;
    [[nodiscard]] auto residentVersion(const AdapterName& adapter) const -> AdapterVersion;
    auto noteRequiredVersion(const AdapterName& adapter, const RequiredVersion& required) -> void;
    /// Records which named versions the replica holds now.
    auto observeVersionsInForce() -> void;

    wire::MainLoop& loop_;
    const AgentSettings& settings_;
    hosting::Store& store_;
    Hooks hooks_;
    wire::HttpCaller replica_;
    BaseModel base_;
    std::string healthPath_;
    decisions::AdmissionQueue queue_;
    std::optional<decisions::AdapterSlots> slots_;
    std::size_t slotCount_ = 0;
    /// The named versions, as entries have reported them with their requests.
    AdapterVersions versions_;
    /// Adapters of which the replica does not hold the newest known version yet.
    std::set<AdapterName> outdated_;
    decisions::KnownPrefixes prompts_;
    /// Accepted orders that the replica carries out once the adapter's running requests have ended, and when they were
    /// accepted: unloads, and loads of a newer version.
    std::map<AdapterName, Moment> pendingUnloads_;
    struct Replacement {
        AdapterVersion version;
        Moment since {};
    };
    std::map<AdapterName, Replacement> pendingReplacements_;
    struct Load {
        Moment since {};
        /// Whether the weights are read from the weight store.
        bool fromStore = true;
    };
    std::map<AdapterName, Load> pendingLoads_;
    decisions::RecentAdapters recentAdapters_;
    decisions::LoadConcurrency loadConcurrency_;
    decisions::AdapterTurns turns_;
    decisions::CircuitBreaker breaker_;
    Timer pauseTimer_;
    Timer permitTimer_;
    /// Adapters to be loaded, in that order. Cached, because it is read often and computing it takes a pass over the
    /// whole queue; updated at each change of the queue.
    std::vector<decisions::WantedAdapter> wantedAdapters_;
    /// When each adapter in `wantedAdapters_` was first wanted.
    std::map<AdapterName, Moment> wantedSince_;
    /// Moving average of the time from the first request for an adapter until it is loaded.
    Duration loadTime_ = defaultLoadTime;
    Moment ordersPausedUntil_ {};
    Moment orderCountedAt_ {};
    Timer orderPauseTimer_;

    FencingState fencingState_ = FencingState::Needed;
    Epoch fencingToken_;
    /// Number of times that this process has seen a start of the replica end.
    std::uint64_t replicaLosses_ = 0;
    InstanceId instance_;
    std::optional<LostStart> lostStart_;
    /// The replica may have ended in a silence, and another instance may answer.
    bool nameUncertain_ = false;
    /// The start whose rate limit is in the queue.
    ReplicaStart rateLimitOf_;
    bool leaving_ = false;
    /// The rest that the replica has asked this host for. No call is made meanwhile.
    decisions::RequestedRest rest_;
    Timer restTimer_;
    std::optional<hosting::ReplicaReport> report_;
    Moment reportedAt_ {};
    decisions::ReplicaSilence silence_;
    Moment reportAskedAt_ {};
    bool reportInFlight_ = false;
    bool orderInFlight_ = false;
    bool runningPendingWork_ = false;
    Moment baseModelOrderedAt_ {};
    kj::Maybe<kj::Promise<void>> reportWork_;
    kj::Maybe<kj::Promise<void>> orderWork_;
    kj::Maybe<kj::Promise<void>> fencingWork_;
    kj::Maybe<kj::Promise<void>> identityWork_;
    bool identifying_ = false;
    Timer identityTimer_;
    Timer reportTimer_;
    Timer fencingTimer_;
    Timer expiryTimer_;
};

} // namespace eelgrass::serving
