#pragma once

#include "base/Subscribers.h"
#include "decisions/AnnouncedRateLimit.h"
#include "decisions/KnownPrefixes.h"
#include "decisions/RecentAdapters.h"
#include "decisions/RequestedRest.h"
#include "serving/AgentLink.h"
#include "serving/ReplicaLeg.h"
#include "serving/Types.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace eelgrass::serving {

/// What one start of a replica has said about the requests that it wants. It holds for as long as that start lasts,
/// whatever the platform's list shows.
struct ReplicaAnnouncements {
    decisions::RequestedRest rest;
    decisions::AnnouncedRateLimit rateLimit;
    /// The replica has said itself that it leaves.
    bool leaving = false;
};

/// One start of a replica as this entry knows it: its record in the platform's list, the session with its agent, the
/// connections to the replica, and this entry's own observations of it.
class Replica {
public:
    /// `announced` is what this start has said before, if it was known under an earlier object.
    Replica(TimerService& timers, ReplicaRecord record, ReplicaAnnouncements announced = {});

    [[nodiscard]] auto id() const noexcept -> const InstanceId& { return record_.start.instance; }
    /// Hash of the instance's name, cached because placement among many replicas ranks all of them by it.
    [[nodiscard]] auto idHash() const noexcept -> std::uint64_t { return idHash_; }
    [[nodiscard]] auto record() const noexcept -> const ReplicaRecord& { return record_; }
    auto update(ReplicaRecord record) -> void { record_ = std::move(record); }
    [[nodiscard]] auto pool() noexcept -> ConnectionPool& { return pool_; }
    [[nodiscard]] auto agent() const noexcept -> AgentLink* { return agent_.get(); }
    auto setAgent(std::unique_ptr<AgentLink> agent) -> void { agent_ = std::move(agent); }

    /// The replica is draining, has said that it leaves, or has been removed from the list: running requests finish
    /// there and no new ones are sent. This is final; the next start under the same name is a separate `Replica`.
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }
    auto setLeaving() -> void;
    /// The replica is draining, or has said that it leaves: what its end cuts off is cut by plan.
    [[nodiscard]] auto leavesByPlan() const noexcept -> bool { return leavesByPlan_; }
    auto setLeavesByPlan() -> void
    {
        leavesByPlan_ = true;
        setLeaving();
    }
    /// Applies that the replica has said itself that it leaves.
    auto noteLeaving() -> void
    {
        announced_.leaving = true;
        setLeavesByPlan();
    }
    /// The replica's record in the list cannot be parsed, for example because another writer has overwritten it. No new
    /// requests are sent until it can be parsed again.
    [[nodiscard]] auto unreadable() const noexcept -> bool { return unreadable_; }
    auto setUnreadable(bool unreadable) -> void { unreadable_ = unreadable; }
    auto confirmCurrentStart() -> void { earlierStartRecords_ = 0; }
    /// When the store's list last contained the replica; empty if only a peer's list did.
    [[nodiscard]] auto listedAt() const noexcept -> std::optional<Moment> { return listedAt_; }
    auto setListedAt(Moment at) -> void { listedAt_ = std::max(listedAt_.value_or(at), at); }
    /// Whether a list record with this start time shows that a newer start has replaced this one. An earlier start time
    /// may come from a late heartbeat of an earlier start, which the next heartbeat overwrites; an earlier start time
    /// that persists is from a newer start on a host whose clock has been set back.
    [[nodiscard]] auto confirmsNewerStart(const StartTime& startTime, std::uint64_t listVersion) -> bool;
    /// The store has a newer record with the same address: this start is over, or its record is out of date.
    [[nodiscard]] auto superseded() const noexcept -> bool { return superseded_; }
    auto setSuperseded(bool superseded) -> void { superseded_ = superseded; }
    /// The store's version of the replica's list record.
    [[nodiscard]] auto listVersion() const noexcept -> std::uint64_t { return listVersion_; }
    auto setListVersion(std::uint64_t version) -> void { listVersion_ = std::max(listVersion_, version); }

    auto requestSent(Tokens tokens, Moment now) -> void;
    auto requestEnded() -> void;
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t { return inFlight_; }
    /// Notes that the replica has sent part of the answer to a request that was sent at `sentAt`.
    auto heard(Moment now, Moment sentAt) -> void
    {
        heardAt_ = now;
        provenAliveAt_ = std::max(provenAliveAt_, sentAt);
    }
    /// A moment after which the replica has answered a request that was sent then.
    [[nodiscard]] auto provenAliveAt() const noexcept -> Moment { return provenAliveAt_; }
    /// For how long the replica has sent nothing to this entry although a request of this entry is there.
    [[nodiscard]] auto silence(Moment now) const noexcept -> Duration
    {
        return inFlight_ == 0 ? Duration(0) : now - heardAt_;
    }
    /// Called when the agent has reported its load figures, which include all requests sent before.
    auto agentReported() -> void
    {
        tokensSent_ = 0;
        loadsRequested_.clear();
        // The agent admits requests again, so no permit of its stand-in is needed.
        nextPermitAt_ = {};
    }
    [[nodiscard]] auto tokensSent() const noexcept -> Tokens { return tokensSent_; }
    /// Notes that a request whose adapter is not loaded at the replica was sent to the agent for admission.
    auto noteLoadRequested(const AdapterName& adapter) -> void { loadsRequested_.insert(adapter); }
    [[nodiscard]] auto hasRequestedLoad(const AdapterName& adapter) const -> bool
    {
        return loadsRequested_.contains(adapter);
    }
    [[nodiscard]] auto loadsRequested() const noexcept -> std::size_t { return loadsRequested_.size(); }

    /// Record an answer that arrived after `took`, or a failure; see `usable`.
    auto succeeded(Duration took) -> void;
    auto failed(Moment now) -> void;
    /// Records that a run goes on that was silent, which had counted as a failure.
    auto wentOn() -> void;
    /// Records that the replica refused a request because it is full.
    auto reportedFull(Moment now) -> void;
    /// Whether the replica may be chosen for a request: false if it is listed without being there, before its next
    /// permit, during a rest, and during a pause after failures or a refusal. After a pause for failures, one request
    /// at a time is allowed until one succeeds.
    [[nodiscard]] auto usable(Moment now) const noexcept -> bool;
    /// Whether the replica still wants requests from this host, as far as it has said. To be asked again right before a
    /// request is sent, since requests wait for admission and for connections after the replica was chosen.
    [[nodiscard]] auto accepts(Moment now) const noexcept -> bool { return !leaving() && rest().allows(now); }
    /// Whether the replica's record can be relied on and is not that of an earlier start.
    [[nodiscard]] auto present() const noexcept -> bool { return !leaving() && !unreadable_ && !superseded_; }
    /// Told when the replica wants no more requests, for requests that wait for it.
    auto onClosed() noexcept -> Subscribers& { return onClosed_; }
    /// Applies the replica's request for rest; see `RequestedRest::ask`.
    auto noteRest(Duration length, Duration startDelay, Moment now) -> bool;
    [[nodiscard]] auto meanTime() const noexcept -> Duration { return meanTime_; }

    [[nodiscard]] auto announced() const noexcept -> const ReplicaAnnouncements& { return announced_; }
    /// The rest that this start of the replica has asked this host for.
    [[nodiscard]] auto rest() const noexcept -> const decisions::RequestedRest& { return announced_.rest; }
    /// The rate limit that this start of the replica has announced.
    auto rateLimit() noexcept -> decisions::AnnouncedRateLimit& { return announced_.rateLimit; }
    [[nodiscard]] auto rateLimit() const noexcept -> const decisions::AnnouncedRateLimit&
    {
        return announced_.rateLimit;
    }
    /// When to ask again for a permit to send a request, after a refusal.
    [[nodiscard]] auto nextPermitAt() const noexcept -> Moment { return nextPermitAt_; }
    /// Notes a refused permit. Of several refusals, the one that allows to ask soonest counts.
    auto permitRefused(Moment now, Duration askAgainAfter) -> void
    {
        const auto at = now + askAgainAfter;
        nextPermitAt_ = nextPermitAt_ > now ? std::min(nextPermitAt_, at) : at;
    }
    auto rateLimitEnded() -> void { nextPermitAt_ = {}; }

    /// The version of an adapter that the replica was last known to hold, from its agent or, while the agent is away,
    /// from the list; 0 if it does not hold the adapter.
    [[nodiscard]] auto heldVersion(const AdapterName& adapter) const -> AdapterVersion;

    /// The prompt prefixes that this entry has sent to the replica.
    auto prompts() noexcept -> decisions::KnownPrefixes& { return prompts_; }
    [[nodiscard]] auto prompts() const noexcept -> const decisions::KnownPrefixes& { return prompts_; }
    /// Whether the replica held the adapter recently and therefore still has its weights in memory.
    [[nodiscard]] auto warm(const AdapterName& adapter) const -> bool { return recentAdapters_.contains(adapter); }
    /// Notes the adapters that the replica holds now; the `maxRemembered` most recently held ones are remembered.
    auto noteResidentAdapters(const std::map<AdapterName, AdapterVersion>& adapters, std::size_t maxRemembered) -> void
    {
        recentAdapters_.note(adapters, maxRemembered);
    }

private:
    // Number of prompt prefixes remembered for each replica.
    static constexpr auto maxPrompts = std::size_t(256);

    ReplicaRecord record_;
    std::uint64_t idHash_;
    ConnectionPool pool_;
    std::unique_ptr<AgentLink> agent_;
    bool leaving_ = false;
    bool leavesByPlan_ = false;
    bool unreadable_ = false;
    bool superseded_ = false;
    std::uint64_t listVersion_ = 0;
    std::optional<Moment> listedAt_;
    /// Number of consecutive list records with an earlier start time, and the store's version of the last such record.
    std::uint32_t earlierStartRecords_ = 0;
    std::uint64_t earlierStartVersion_ = 0;
    std::size_t inFlight_ = 0;
    /// When the replica was last heard of, or sent a request while it had none.
    Moment heardAt_ {};
    Moment provenAliveAt_ {};
    Tokens tokensSent_ = 0;
    /// Adapters that were not loaded when this entry requested them, since the agent's last report.
    std::set<AdapterName> loadsRequested_;
    std::uint32_t failures_ = 0;
    Moment pausedUntil_ {};
    Duration meanTime_ {};
    ReplicaAnnouncements announced_;
    Subscribers onClosed_;
    Moment nextPermitAt_ {};
    decisions::KnownPrefixes prompts_ { maxPrompts };
    decisions::RecentAdapters recentAdapters_;
};

using ReplicaPtr = std::shared_ptr<Replica>;

} // namespace eelgrass::serving
