#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "decisions/AdmissionWait.h"
#include "decisions/LimitedArrivals.h"
#include "decisions/OwedShare.h"
#include "decisions/PrefillRate.h"
#include "decisions/ServiceClaims.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::decisions {

using TokenCount = std::uint64_t;

/// A request for admission to one replica.
struct AdmissionRequest {
    AttemptId attempt;
    /// Empty for the base model.
    AdapterId adapter;
    /// The route of the request; empty if the entry did not tell it.
    RequestClass requestClass {};
    /// The last part that its prompt shares with others on the route; 0 for none.
    std::uint64_t sharedPart = 0;
    /// The client's session, together with the adapter; 0 for none.
    std::uint64_t session = 0;
    TokenCount promptTokens = 0;
    /// Prompt tokens that the replica still has to process, as far as its prefix cache is known.
    TokenCount unreadTokens = 0;
    TokenCount outputTokens = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    Moment arrivedAt {};
    /// Latest moment at which the first event of the answer is on time.
    Moment firstEventDeadline = Moment::max();
    /// When the caller stops waiting.
    Moment callerDeadline = Moment::max();
    /// Whether the entry that sent the request can send it to another replica if it would be late at this one.
    bool elsewhere = false;
    /// What the request shares with others, with what its entry knows of their service.
    RequestedKeys keys {};
    /// Both are kept by the queue.
    AdmissionWait wait {};
    Claim claim {};
};

/// The capacity of one replica.
struct ReplicaLimits {
    std::size_t batch = 64;
    /// Memory for prompts and answers, in tokens.
    TokenCount memory = 200000;
    /// Expected prompt tokens processed per millisecond, used until the rate has been measured.
    double readRate = 40;
};

/// Describes a request that was not queued or was removed from the queue. The request was not sent to the replica.
struct AdmissionRefusal {
    AttemptId attempt;
    AdapterId adapter;
    Moment arrivedAt {};
    /// Time until the work ahead of the request is done.
    Duration retryAfter {};
    /// Whether the replica would serve the request, but late; another replica may be on time.
    bool late = false;
    /// Whether the replica's rate limit is what delays the request most.
    bool rateLimited = false;
    /// The request as it was in the queue.
    AdmissionRequest request {};
};

/// An adapter that queued requests wait for.
struct WantedAdapter {
    AdapterId adapter;
    /// Whether none of the requests that wait for the adapter can still be on time.
    bool late = false;
};

/// An adapter that queued requests are for.
struct WaitingAdapter {
    /// The arrival of the oldest of these requests.
    Moment since = Moment::max();
    /// What the most overdue of them is owed.
    Claim claim {};
};

/// Whether the adapter may take a free or unused slot. `spareSlots` counts the slots that are not yet assigned.
///
/// If more adapters are in use than there are slots, a request that is late in any case could occupy, for seconds, the
/// slot with which the next request would have been on time, until all requests are late. One slot is therefore
/// reserved for adapters with requests that can still be on time. Reserving one is enough: an adapter that only late
/// requests wait for gets any further free slot.
[[nodiscard]] constexpr auto mayTakeSlot(const WantedAdapter& wanted, std::size_t spareSlots) noexcept -> bool
{
    constexpr auto keptFree = std::size_t(1);
    return !wanted.late || spareSlots > keptFree;
}

/// Admission control of one replica, run by its agent: decides which requests the replica receives, and in which order.
///
/// Designed for bursts of mixed long and short prompts and for a full batch. Queueing requests outside the engine
/// prevents short prompts from waiting behind a prompt of a thousand pages in the engine's own queue, where requests
/// can be neither reordered nor refused. It also prevents prompts from being processed after their callers have left,
/// running streams from being preempted because more requests were admitted than the memory holds, and callers from
/// learning only at their deadline that they will not be served.
///
/// At most `batch` requests are granted, using at most `memoryShare` of the memory, and with at most
/// `maxOutstandingPrefill` of prompt processing outstanding. Less outstanding processing would leave the engine idle
/// between grants; more would leave the order of the requests to the engine. A prompt counts as outstanding until its
/// first event, or until that is overdue by far.
///
/// Requests that can still be on time come first, by priority and then by the deadline of their first event. Requests
/// that will be late follow, by priority and then in order of arrival. Under overload, earliest deadline first without
/// this distinction would serve every request slightly too late.
///
/// By that order alone, requests that are late by nature would never be served under lasting overload: long prompts,
/// prompts of which no part is cached, the less urgent. Requests to which service is due (`Claim`) therefore go
/// first, the most overdue before the others, for a share of what the replica can do (`OwedShare`).
///
/// A request that cannot start before its caller leaves is refused as soon as this is known. The estimate of its start
/// excludes the share of the engine that more urgent requests have recently used.
///
/// If the replica has announced a rate limit, each granted request takes a permit, in the same order.
///
/// ```cpp
/// if (auto refusal = queue.offer(request, ready, loadTime, now)) answer(*refusal);
/// for (auto& granted : queue.grant(ready, now)) send(granted);
/// ```
class AdmissionQueue {
public:
    /// Whether an adapter can be used now.
    using Ready = std::function<bool(const AdapterId&)>;

    auto setLimits(ReplicaLimits limits) -> void;
    [[nodiscard]] auto limits() const noexcept -> const ReplicaLimits& { return limits_; }
    /// The rate limit that the replica has announced, and the permits under it.
    [[nodiscard]] auto arrivals() noexcept -> LimitedArrivals& { return arrivals_; }
    [[nodiscard]] auto arrivals() const noexcept -> const LimitedArrivals& { return arrivals_; }
    /// Time until a request that arrives now, behind all queued ones, gets a permit; 0 if there is no rate limit.
    [[nodiscard]] auto permitWait(Moment now) const -> Duration
    {
        return arrivals_.timeUntilPermit(waiting_.size(), now);
    }
    /// Time until the next queued request gets a permit; 0 if none waits for one.
    [[nodiscard]] auto nextPermit(Moment now) const -> Duration
    {
        return waiting_.empty() ? Duration(0) : arrivals_.timeUntilPermit(0, now);
    }

    /// Queues the request, unless the work ahead of it takes longer than its caller waits. `loadTime` is the remaining
    /// load time of the request's adapter.
    ///
    /// A request that would be late but can be sent to another replica is refused with `late`. The entry that sent the
    /// request chose this replica on the basis of reports that are a few hundred milliseconds old, and other entries
    /// may have chosen the same replica since; the queue knows the current load.
    [[nodiscard]] auto offer(AdmissionRequest request, const Ready& ready, Duration loadTime, Moment now)
        -> std::optional<AdmissionRefusal>;
    /// Removes and returns the requests that may be sent now, at most `limit`.
    [[nodiscard]] auto grant(const Ready& ready, Moment now, std::size_t limit = SIZE_MAX)
        -> std::vector<AdmissionRequest>;
    /// Removes and refuses the requests that cannot start before their callers leave.
    [[nodiscard]] auto expire(const Ready& ready, Moment now) -> std::vector<AdmissionRefusal>;
    /// Removes and refuses, with `late`, the requests that another replica may still serve in time; the others lose
    /// nothing by waiting.
    [[nodiscard]] auto divert(Duration retryAfter, Moment now) -> std::vector<AdmissionRefusal>;
    /// Removes and refuses all requests, for example when the replica is gone.
    [[nodiscard]] auto drain(Duration retryAfter) -> std::vector<AdmissionRefusal>;

    /// Records a running request whose prompt has been processed, as its entry tells: one that was granted before this
    /// process started, or whose start was told on a connection that is lost.
    auto adopt(const AdmissionRequest& request) -> void;
    /// Records the first event of the answer, which shows that the prompt has been processed.
    auto started(const AttemptId& attempt, Moment now) -> void;
    /// Records that the request ended, or that its caller left while it waited.
    auto release(const AttemptId& attempt) -> void;
    /// Records that the request is not sent after all: if it was granted, its permit is free again.
    auto withdraw(const AttemptId& attempt, Moment now) -> void;

    /// Adapters that queued requests wait for and that are not ready, in the order in which to load them: first the
    /// adapters with a request that would still be on time after a load of duration `loadTime`, by the moment at which
    /// the processing of that request's prompt must start; then the others, by the arrival of their oldest request.
    /// Loading the adapter that was waited for longest first makes every request late if there are more adapters than
    /// slots.
    [[nodiscard]] auto wanted(const Ready& ready, Duration loadTime, Moment now) const -> std::vector<WantedAdapter>;
    /// The queued request of this attempt; null if it is not queued.
    [[nodiscard]] auto findQueued(const AttemptId& attempt) const -> const AdmissionRequest*;
    /// The adapters that queued requests are for, with what is owed to the adapter, or to a session with it. Routes and
    /// shared parts are served with whichever adapter is loaded.
    [[nodiscard]] auto waitingAdapters(Moment now) const -> std::map<AdapterId, WaitingAdapter>;
    /// Whether a queued request uses the adapter.
    [[nodiscard]] auto waits(const AdapterId& adapter) const -> bool;
    [[nodiscard]] auto running() const noexcept -> std::size_t { return running_.size(); }
    [[nodiscard]] auto queued() const noexcept -> std::size_t { return waiting_.size(); }
    /// The adapter of a granted request; no value if the request is not granted.
    [[nodiscard]] auto adapterOf(const AttemptId& attempt) const -> std::optional<AdapterId>;
    /// When the request was granted; no value if it is not granted or was granted by an earlier process.
    [[nodiscard]] auto grantedAt(const AttemptId& attempt) const -> std::optional<Moment>;
    /// Prompt tokens to be processed before a request that arrives now. Excludes the tokens of requests that wait for
    /// their adapters, since such requests do not delay others. When these tokens were counted, idle replicas appeared
    /// busy, adapters were copied to further replicas, and the copies took the slots that the waiting requests needed.
    [[nodiscard]] auto tokensAhead(const Ready& ready) const -> TokenCount;
    /// Prompt tokens of requests that wait for their adapters; these requests go before a request whose adapter is
    /// requested later.
    [[nodiscard]] auto tokensWaiting(const Ready& ready) const -> TokenCount;
    /// Measured number of prompt tokens that the replica processes per millisecond.
    [[nodiscard]] auto readRate() const noexcept -> double { return rate_.perMillisecond(); }
    [[nodiscard]] auto memoryUsed() const noexcept -> TokenCount { return memoryUsed_; }
    /// Requests granted so far, by class.
    [[nodiscard]] auto granted() const noexcept -> const GrantCounts& { return granted_; }

private:
    struct Running {
        AdmissionRequest request;
        bool started = false;
        /// Whether its prompt counts as being read.
        bool unread = true;
        std::optional<Moment> grantedAt {};
        /// When its first event is overdue.
        Moment readBy = Moment::max();
    };
    /// Decaying rate at which prompt tokens of one priority arrive, in tokens per millisecond, as of `at`.
    struct Inflow {
        double rate = 0;
        Moment at {};
    };
    /// Time to process this many prompt tokens.
    [[nodiscard]] auto prefillTime(TokenCount tokens) const -> Duration;
    /// Time to process this many prompt tokens without the share of the engine that requests of higher priority use.
    [[nodiscard]] auto prefillTime(TokenCount tokens, std::uint32_t priority, Moment now) const -> Duration;
    [[nodiscard]] auto onTime(const AdmissionRequest& request, Moment now) const -> bool;
    /// When processing of the prompt must start for the first event to be on time.
    [[nodiscard]] auto latestStart(const AdmissionRequest& request) const -> Moment;
    [[nodiscard]] auto goesBefore(const AdmissionRequest& left, const AdmissionRequest& right, Moment now) const
        -> bool;
    auto sortWaiting(Moment now) -> void;
    auto updateClaims(Moment now) -> void;
    /// What the request is owed now, after the grants since it arrived.
    [[nodiscard]] auto claim(const AdmissionRequest& request, Moment now) const -> Claim;
    using Position = std::vector<AdmissionRequest>::iterator;
    /// The request that is granted next, if the replica has room for it. The requests are in order.
    [[nodiscard]] auto nextGrant(const Ready& ready) -> Position;
    /// Accounts for a grant in the share of requests to which service is due.
    auto chargeShare(Position granted, Position next) -> void;
    /// Whether service is due to the request, and more overdue than to the other one.
    [[nodiscard]] static auto isMoreOverdue(const AdmissionRequest& request, const AdmissionRequest& other) -> bool;
    /// What goes before a request by the order of the queue.
    struct Ahead {
        TokenCount tokens = 0;
        std::size_t requests = 0;
    };
    /// How long a request waits for the work ahead of it, and for its permit.
    struct Waits {
        Duration work {};
        Duration permit {};

        [[nodiscard]] auto longest() const noexcept -> Duration { return std::max(work, permit); }
    };
    /// By the order of the queue, or as service is due to the request, whichever is sooner.
    [[nodiscard]] auto waitsOf(const AdmissionRequest& request, Ahead ahead, const Ready& ready, Moment now) const
        -> Waits;
    auto recordInflow(const AdmissionRequest& request, Moment now) -> void;
    /// Refuses a request that would wait for so long.
    [[nodiscard]] auto refuse(const AdmissionRequest& request, const Waits& waits, Moment now) -> AdmissionRefusal;
    /// What keeps a request whose adapter is ready from being granted; empty if nothing does.
    [[nodiscard]] auto obstacle(const AdmissionRequest& request) const -> std::optional<WaitReason>;
    /// Adds the time since the last call to what queued requests have waited for.
    auto recordWaits(const Ready& ready, Moment now) -> void;
    auto recordGrant(const AdmissionRequest& request) -> void;
    auto run(const AdmissionRequest& request) -> bool;
    auto markStarted(Running& running, Moment now) -> void;
    /// Its prompt no longer counts as being read; returns whether it did.
    auto endReading(Running& running, Moment now) -> bool;
    /// Ends the reading of prompts whose first events are overdue: a run whose connection or entry is lost, or whose
    /// replica forgot it, would hold up all that waits for as long as its caller does.
    auto endOverdueReading(Moment now) -> void;
    ReplicaLimits limits_;
    LimitedArrivals arrivals_;
    PrefillRate rate_ { ReplicaLimits().readRate };
    std::vector<AdmissionRequest> waiting_;
    std::map<AttemptId, Running> running_;
    std::map<std::uint32_t, Inflow> inflow_;
    TokenCount memoryUsed_ = 0;
    TokenCount unstartedTokens_ = 0;
    OwedShare owedShare_;
    GrantedKeys grantedKeys_;
    GrantCounts granted_;
    /// What kept the last request from being granted.
    WaitReason obstacle_ = WaitReason::Reading;
    /// The moment of the last call that granted or refused, up to which the waits are recorded.
    Moment waitsRecordedAt_ {};
};

} // namespace eelgrass::decisions
