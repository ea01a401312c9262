#pragma once

#include "decisions/KnownPrompts.h"
#include "decisions/LapseGrace.h"
#include "decisions/LatelyHeld.h"
#include "decisions/ReplicaChoice.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/AgentLink.h"
#include "serving/ReplicaLeg.h"
#include "serving/Types.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// One replica as this entry knows it: its entry in the list, the session with its agent, the connections to it, and
/// what this entry has seen of it.
class Replica {
public:
    Replica(TimerService& timers, ReplicaRecord record);

    [[nodiscard]] auto id() const noexcept -> const InstanceId& { return record_.start.instance; }
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
    auto heardOf() -> void { earlierBirths_ = 0; }
    /// When the store's list last named it; empty when only a peer's did.
    [[nodiscard]] auto listedAt() const noexcept -> std::optional<Moment> { return listedAt_; }
    auto setListedAt(Moment at) -> void { listedAt_ = std::max(listedAt_.value_or(at), at); }
    /// The list told of a start under its name with that birth. A late heartbeat of an earlier start may stand there
    /// until the next one; a birth that stays is of a newer start, on a host whose time of day has jumped back.
    [[nodiscard]] auto outlived(const Birth& birth, std::uint64_t listVersion) -> bool;
    /// The store has a newer entry at its address: this start of the replica is over, or its list entry is old.
    [[nodiscard]] auto superseded() const noexcept -> bool { return superseded_; }
    auto setSuperseded(bool superseded) -> void { superseded_ = superseded; }
    /// The store's version of its list entry.
    [[nodiscard]] auto listVersion() const noexcept -> std::uint64_t { return listVersion_; }
    auto setListVersion(std::uint64_t version) -> void { listVersion_ = std::max(listVersion_, version); }

    /// A request was sent.
    auto sent(Tokens tokens) -> void;
    auto ended() -> void;
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t { return inFlight_; }
    /// The agent spoke: what was sent before is in its figures.
    auto reported() -> void
    {
        tokensSent_ = 0;
        loadsAsked_.clear();
    }
    [[nodiscard]] auto tokensSent() const noexcept -> Tokens { return tokensSent_; }
    /// A request was sent for admission whose adapter is not there.
    auto askedLoad(const AdapterName& adapter) -> void { loadsAsked_.insert(adapter); }
    [[nodiscard]] auto hasAskedLoad(const AdapterName& adapter) const -> bool { return loadsAsked_.contains(adapter); }
    [[nodiscard]] auto loadsAsked() const noexcept -> std::size_t { return loadsAsked_.size(); }

    /// The replica answered well after `took`, or failed; see `usable`.
    auto succeeded(Duration took) -> void;
    auto failed(Moment now) -> void;
    /// It said that it is full.
    auto refused(Moment now) -> void;
    /// False while it rests after failures; then one request at a time tries it.
    [[nodiscard]] auto usable(Moment now) const noexcept -> bool;
    [[nodiscard]] auto meanTime() const noexcept -> Duration { return meanTime_; }

    /// Whether this entry sent a request with that shared part there before.
    /// What of prompts it has read, as far as this entry sent them.
    auto prompts() noexcept -> decisions::KnownPrompts& { return prompts_; }
    [[nodiscard]] auto prompts() const noexcept -> const decisions::KnownPrompts& { return prompts_; }
    /// Whether the replica held the adapter not long ago, so that its weights are still at hand there.
    [[nodiscard]] auto warm(const AdapterName& adapter) const -> bool { return latelyHeld_.contains(adapter); }
    /// Notes what the replica holds now; remembers the last `most`.
    auto holding(const std::map<AdapterName, AdapterVersion>& adapters, std::size_t most) -> void
    {
        latelyHeld_.note(adapters, most);
    }

private:
    // Prefixes of prompts remembered for each replica.
    static constexpr auto mostPrompts = std::size_t(256);

    ReplicaRecord record_;
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
    std::set<AdapterName> loadsAsked_;
    std::uint32_t failures_ = 0;
    Moment restsUntil_ {};
    Duration meanTime_ {};
    decisions::KnownPrompts prompts_ { mostPrompts };
    decisions::LatelyHeld latelyHeld_;
};

using ReplicaPtr = std::shared_ptr<Replica>;

/// All replicas of all services, from the platform's list.
class ReplicaDirectory {
public:
    struct Hooks {
        /// An agent told how its replica stands.
        std::function<void(const ReplicaSnapshot&)> onState;
    };

    /// Who asks, and what agents and leaving replicas are to expect of it.
    struct Options {
        std::string entry;
        AvailabilityZone zone {};
        std::uint16_t agentPort = 0;
        /// Within this a replica that leaves gets nothing new.
        Duration drainBound = 2s;
    };

    ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks);

    auto start() -> void;
    /// Services whose replicas have an agent beside them.
    auto configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder) -> void;
    [[nodiscard]] auto of(const ServiceName& service) const -> const std::vector<ReplicaPtr>&;
    [[nodiscard]] auto all() const noexcept -> const std::map<InstanceId, ReplicaPtr>& { return replicas_; }
    /// Whether the list has been read, from the store or from a peer.
    [[nodiscard]] auto known() const noexcept -> bool { return known_; }
    /// Since when the store has not told it; empty while it does.
    [[nodiscard]] auto lostSince() const noexcept -> std::optional<Moment> { return lostSince_; }
    /// Divides the connections that each replica takes among the entries.
    auto shareConnections(std::size_t entries) -> void;
    /// The list as peers are told it.
    [[nodiscard]] auto text() const -> std::string;
    /// A peer's list, for an entry that has none of its own, and how long ago the peer read it.
    auto offer(std::string_view text, Duration age, std::string_view source) -> void;
    /// How long ago the store told the list; the longest time when it never did.
    [[nodiscard]] auto listAge() const -> Duration;
    /// Names the list as peers are told it: another number, another list. Never 0.
    [[nodiscard]] auto listNumber() const noexcept -> std::uint64_t { return listNumber_; }
    /// The list as the reader of this zone read it `age` ago; without a text it is as that reader last told it.
    auto follow(std::string_view text, Duration age, std::string_view source) -> void;
    /// Told by the reader of the zone: the store is not read before `until`.
    auto spare(Moment until) -> void { sparedUntil_ = until; }
    [[nodiscard]] auto spared() const -> bool { return loop_.timers().now() < sparedUntil_; }
    /// Whether others of the zone ask this entry for what it reads.
    auto readForOthers(bool shared) -> void;
    /// Counts the readings of its own.
    [[nodiscard]] auto readings() const noexcept -> std::uint64_t { return readings_; }
    /// Another replica answers at this address: the instance is gone.
    auto gone(const InstanceId& instance, std::string_view why) -> void;

private:
    struct Listed {
        InstanceId instance;
        std::string text;
        /// Of its row in the store.
        std::uint64_t version = 0;
    };
    [[nodiscard]] auto parsePeerList(std::string_view text, std::string_view source) const
        -> std::optional<std::vector<Listed>>;
    auto noteChange() -> void { ++listNumber_; }
    auto poll() -> void;
    auto take(hosting::StoreAnswer answer) -> void;
    auto apply(const std::vector<Listed>& list, std::string_view source) -> void;
    auto put(const Listed& listed, std::string_view source) -> void;
    auto putUnreadable(const Listed& listed, const std::string& reason) -> void;
    auto noteListed(const std::vector<Listed>& list, Moment now) -> void;
    auto removeMissing(const std::vector<Listed>& list, const std::function<bool(const Replica&)>& gone) -> void;
    [[nodiscard]] auto made(ReplicaRecord record, std::string_view source) -> ReplicaPtr;
    auto remove(const ReplicaPtr& replica, std::string_view why) -> void;
    auto index() -> void;
    auto findSuperseded() -> void;
    auto linkAgent(const ReplicaPtr& replica) -> void;

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Options options_;
    Hooks hooks_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    std::string holder_;
    std::map<InstanceId, ReplicaPtr> replicas_;
    /// The list's readable entries as they were read, for peers.
    std::map<InstanceId, Listed> texts_;
    /// Versions of the rows that could not be read, so that each is told once.
    std::map<InstanceId, std::uint64_t> unreadable_;
    std::map<ServiceName, std::vector<ReplicaPtr>> byService_;
    bool known_ = false;
    bool reachable_ = false;
    decisions::LapseGrace grace_;
    std::optional<Moment> lostSince_;
    std::optional<Moment> readAt_;
    kj::Maybe<kj::Promise<void>> work_;
    decisions::SharedReading sharing_;
    /// Begins at random, so that no two starts of an entry name two lists alike.
    std::uint64_t listNumber_;
    std::uint64_t readings_ = 0;
    bool shared_ = false;
    Moment sparedUntil_ {};
    Timer timer_;
};

} // namespace eelgrass::serving
