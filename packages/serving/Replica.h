#pragma once

#include "decisions/KnownPrefixes.h"
#include "decisions/RecentAdapters.h"
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

/// One replica as this entry knows it: its entry in the list, the session with its agent, the connections to it, and
/// what this entry has seen of it.
class Replica {
public:
    Replica(TimerService& timers, ReplicaRecord record);

    [[nodiscard]] auto id() const noexcept -> const InstanceId& { return record_.start.instance; }
    /// Hash of the instance's name, cached because placement among many replicas ranks all of them by it.
    [[nodiscard]] auto idHash() const noexcept -> std::uint64_t { return idHash_; }
    [[nodiscard]] auto record() const noexcept -> const ReplicaRecord& { return record_; }
    auto update(ReplicaRecord record) -> void { record_ = std::move(record); }
    [[nodiscard]] auto pool() noexcept -> ConnectionPool& { return pool_; }
    [[nodiscard]] auto agent() const noexcept -> AgentLink* { return agent_.get(); }
    auto setAgent(std::unique_ptr<AgentLink> agent) -> void { agent_ = std::move(agent); }

    /// Not in the list any more, or leaving: runs end there, nothing new is sent. A start that leaves never comes back;
    /// the next one of the same name is a `Replica` of its own.
    [[nodiscard]] auto leaving() const noexcept -> bool { return leaving_; }
    auto setLeaving() -> void { leaving_ = true; }
    /// Its entry in the list cannot be read, as when something else has written there: it gets nothing new until it
    /// can.
    [[nodiscard]] auto unreadable() const noexcept -> bool { return unreadable_; }
    auto setUnreadable(bool unreadable) -> void { unreadable_ = unreadable; }
    auto confirmCurrentStart() -> void { earlierBirths_ = 0; }
    /// When the store's list last named it; empty when only a peer's did.
    [[nodiscard]] auto listedAt() const noexcept -> std::optional<Moment> { return listedAt_; }
    auto setListedAt(Moment at) -> void { listedAt_ = std::max(listedAt_.value_or(at), at); }
    /// The list told of a start under its name with that birth. A late heartbeat of an earlier start may stand there
    /// until the next one; a birth that stays is of a newer start, on a host whose time of day has jumped back.
    [[nodiscard]] auto confirmsNewerStart(const StartTime& startTime, std::uint64_t listVersion) -> bool;
    /// The store has a newer entry at its address: this start of the replica is over, or its list entry is old.
    [[nodiscard]] auto superseded() const noexcept -> bool { return superseded_; }
    auto setSuperseded(bool superseded) -> void { superseded_ = superseded; }
    /// The store's version of its list entry.
    [[nodiscard]] auto listVersion() const noexcept -> std::uint64_t { return listVersion_; }
    auto setListVersion(std::uint64_t version) -> void { listVersion_ = std::max(listVersion_, version); }

    /// A request was sent.
    auto requestSent(Tokens tokens) -> void;
    auto requestEnded() -> void;
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t { return inFlight_; }
    /// The agent spoke: what was sent before is in its figures.
    auto agentReported() -> void
    {
        tokensSent_ = 0;
        loadsRequested_.clear();
    }
    [[nodiscard]] auto tokensSent() const noexcept -> Tokens { return tokensSent_; }
    /// A request was sent for admission whose adapter is not there.
    auto noteLoadRequested(const AdapterName& adapter) -> void { loadsRequested_.insert(adapter); }
    [[nodiscard]] auto hasRequestedLoad(const AdapterName& adapter) const -> bool
    {
        return loadsRequested_.contains(adapter);
    }
    [[nodiscard]] auto loadsRequested() const noexcept -> std::size_t { return loadsRequested_.size(); }

    /// The replica answered well after `took`, or failed; see `usable`.
    auto succeeded(Duration took) -> void;
    auto failed(Moment now) -> void;
    /// It said that it is full.
    auto reportedFull(Moment now) -> void;
    /// False while it rests after failures; then one request at a time tries it.
    [[nodiscard]] auto usable(Moment now) const noexcept -> bool;
    [[nodiscard]] auto meanTime() const noexcept -> Duration { return meanTime_; }

    /// What of prompts it has read, as far as this entry sent them.
    auto prompts() noexcept -> decisions::KnownPrefixes& { return prompts_; }
    [[nodiscard]] auto prompts() const noexcept -> const decisions::KnownPrefixes& { return prompts_; }
    /// Whether the replica held the adapter not long ago, so that its weights are still at hand there.
    [[nodiscard]] auto warm(const AdapterName& adapter) const -> bool { return latelyHeld_.contains(adapter); }
    /// Notes what the replica holds now; remembers the last `most`.
    auto noteResidentAdapters(const std::map<AdapterName, AdapterVersion>& adapters, std::size_t most) -> void
    {
        latelyHeld_.note(adapters, most);
    }

private:
    // Prefixes of prompts remembered for each replica.
    static constexpr auto mostPrompts = std::size_t(256);

    ReplicaRecord record_;
    std::uint64_t idHash_;
    ConnectionPool pool_;
    std::unique_ptr<AgentLink> agent_;
    bool leaving_ = false;
    bool unreadable_ = false;
    bool superseded_ = false;
    std::uint64_t listVersion_ = 0;
    std::optional<Moment> listedAt_;
    /// Rows that told of an earlier birth, one after another.
    std::uint32_t earlierBirths_ = 0;
    std::uint64_t earlierVersion_ = 0;
    std::size_t inFlight_ = 0;
    Tokens tokensSent_ = 0;
    /// Adapters that this entry asked for there since the agent spoke.
    std::set<AdapterName> loadsRequested_;
    std::uint32_t failures_ = 0;
    Moment restsUntil_ {};
    Duration meanTime_ {};
    decisions::KnownPrefixes prompts_ { mostPrompts };
    decisions::RecentAdapters latelyHeld_;
};

using ReplicaPtr = std::shared_ptr<Replica>;

} // namespace eelgrass::serving
