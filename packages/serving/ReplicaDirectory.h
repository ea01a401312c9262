#pragma once

#include "decisions/ChangeHistory.h"
#include "decisions/ExpiryGrace.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/AdapterHolders.h"
#include "serving/ListDifference.h"
#include "serving/Replica.h"
#include "serving/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// All replicas of all services, from the platform's list.
class ReplicaDirectory {
public:
    struct Hooks {
        /// An agent told how its replica stands.
        std::function<void(const ReplicaSnapshot&)> onState;
        /// A replica is leaving and gets no new requests; the list that showed it was read `age` ago.
        std::function<void(Duration age)> onLeaving {};
    };

    /// Who asks, and what agents and leaving replicas are to expect of it.
    struct Options {
        std::string entry;
        AvailabilityZone zone {};
        std::uint16_t agentPort = 0;
        /// Within this a replica that leaves gets nothing new.
        Duration drainBound = 2s;
        /// See `EntryNotice`.
        double readerWeight = 0;
    };
    /// What determines the candidate replicas for a request.
    struct CandidateQuery {
        const ServiceName& service;
        const AdapterName& adapter;
        /// Identifies the part of the prompt that is shared with other requests; 0 for none.
        std::uint64_t sharedId = 0;
    };
    using Condition = std::function<bool(const Replica&)>;

    ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks);

    auto start() -> void;
    /// Services whose replicas have an agent beside them.
    auto configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder) -> void;
    [[nodiscard]] auto replicasOf(const ServiceName& service) const -> const std::vector<ReplicaPtr>&;
    /// Replicas of the service that meet the condition. If there is a session with every agent, all of them; otherwise
    /// those whose state is known and a few others, chosen by the adapter's name and among its holders.
    [[nodiscard]] auto candidates(const CandidateQuery& query, const Condition& condition) const
        -> std::vector<ReplicaPtr>;
    [[nodiscard]] auto all() const noexcept -> const std::map<InstanceId, ReplicaPtr>& { return replicas_; }
    /// Whether the list has been read, from the store or from a peer.
    [[nodiscard]] auto known() const noexcept -> bool { return known_; }
    /// Since when the store has not told it; empty while it does.
    [[nodiscard]] auto lostSince() const noexcept -> std::optional<Moment> { return lostSince_; }
    /// Divides the connections that each replica takes among the entries.
    auto shareConnections(std::size_t entries) -> void;
    /// The changes of the list after the store's version `since`, for peers.
    [[nodiscard]] auto changesSince(std::uint64_t since) const -> ListDifference;
    /// Applies the changes sent by another entry that read the list `age` ago.
    auto learn(const ListDifference& difference, Duration age, std::string_view source) -> void;
    /// How long ago the store told the list; the longest time when it never did.
    [[nodiscard]] auto listAge() const -> Duration;
    /// The store's version up to which every change of the list is known.
    [[nodiscard]] auto knownVersion() const noexcept -> std::uint64_t { return knownVersion_; }
    /// Told by the reader of the zone: the store is not read before `until`.
    auto spare(Moment until) -> void { sparedUntil_ = until; }
    [[nodiscard]] auto spared() const -> bool { return loop_.timers().now() < sparedUntil_; }
    /// Sets how this entry takes part in reading the store for its zone.
    auto setReadingRole(decisions::SharedReading::Role role) -> void;
    /// Counts the readings of its own.
    [[nodiscard]] auto readings() const noexcept -> std::uint64_t { return readings_; }
    /// Another replica answers at this address: the instance is gone.
    auto gone(const InstanceId& instance, std::string_view why) -> void;

private:
    auto noteChange(const InstanceId& instance) -> void { history_.changed(instance, newestVersion_); }
    auto advanceNewestVersion(std::uint64_t newestVersion) -> void;
    auto reportLeaving() -> void;
    auto poll() -> void;
    auto take(hosting::StoreAnswer answer) -> void;
    auto apply(const std::vector<ListedReplica>& list, std::string_view source) -> void;
    auto put(const ListedReplica& listed, std::string_view source) -> void;
    auto putUnreadable(const ListedReplica& listed, const std::string& reason) -> void;
    auto noteListed(const std::vector<ListedReplica>& list, Moment now) -> void;
    /// Known replicas that are not in `named`.
    [[nodiscard]] auto missingFrom(const std::set<InstanceId>& named) const -> std::vector<ReplicaPtr>;
    auto removeAll(const std::vector<ReplicaPtr>& replicas) -> void;
    [[nodiscard]] auto made(ReplicaRecord record, std::string_view source) -> ReplicaPtr;
    auto remove(const ReplicaPtr& replica, std::string_view why) -> void;
    auto index() -> void;
    auto findSuperseded() -> void;
    auto linkAgent(const ReplicaPtr& replica) -> void;
    /// Reassigns the session policy of every agent.
    auto planSessions() -> void;
    /// Sends the current notice to every agent.
    auto notifyAgents() -> void;

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Options options_;
    Hooks hooks_;
    EntryNotice notice_;
    std::map<InstanceId, ReplicaPtr> replicas_;
    /// The list's rows, unparsed, for peers.
    std::map<InstanceId, ListedReplica> texts_;
    /// Versions of the rows that could not be read, so that each is told once.
    std::map<InstanceId, std::uint64_t> unreadable_;
    std::map<ServiceName, std::vector<ReplicaPtr>> byService_;
    AdapterHolders holders_;
    std::uint64_t entryHash_;
    /// Whether agents were added or removed since sessions were planned.
    bool agentsChanged_ = false;
    /// Whether this entry holds a session with every agent.
    bool fullMesh_ = true;
    bool known_ = false;
    bool logEachReplica_ = true;
    bool reachable_ = false;
    decisions::ExpiryGrace grace_;
    std::optional<Moment> lostSince_;
    std::optional<Moment> readAt_;
    /// Age of the list that is being applied.
    Duration appliedListAge_ {};
    kj::Maybe<kj::Promise<void>> work_;
    decisions::SharedReading sharing_;
    decisions::ChangeHistory<InstanceId> history_;
    /// Upper bound on the versions of all changes read so far, here or by peers.
    std::uint64_t newestVersion_ = 0;
    std::uint64_t knownVersion_ = 0;
    std::uint64_t readings_ = 0;
    decisions::SharedReading::Role role_ = decisions::SharedReading::Role::Alone;
    Moment sparedUntil_ {};
    Moment askedAt_ {};
    Timer timer_;
};

} // namespace eelgrass::serving
