#pragma once

#include "decisions/ChangeHistory.h"
#include "decisions/ExpiryGrace.h"
#include "decisions/RecentValues.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/AdapterHolders.h"
#include "serving/DepartedReplicas.h"
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
        /// The agent of this replica sent its state.
        std::function<void(Replica&)> onState;
        /// A replica is leaving and gets no new requests. `age` is the time since the list that showed it was read.
        std::function<void(Duration age)> onLeaving {};
        /// A start is the one that the list names last at its address.
        std::function<void(const Replica&)> onListed {};
        /// A start is not listed any more, or another one has its address; it has not left by plan.
        std::function<void(const Replica&, bool over)> onGone {};
        /// An agent has published names, which have changed.
        std::function<void(const Replica&)> onNames {};
        /// An agent published rate limits, of its own replica or of others.
        std::function<void(const std::vector<ReplicaRateLimit>&, const Endpoint& agent)> onRateLimits {};
        /// Returns where a stream began, if this entry knows.
        std::function<std::optional<StreamOrigins::Known>(const StreamId&)> knownOrigin {};
    };

    /// Identity of this entry, what it tells agents, and its time limit for replicas that leave.
    struct Options {
        std::string entry;
        AvailabilityZone zone {};
        std::uint16_t agentPort = 0;
        /// Time within which a replica that leaves must stop receiving new requests.
        Duration drainBound = 2s;
        /// See `EntryNotice`.
        double readerWeight = 0;
    };
    /// Properties of a request that determine its candidate replicas.
    struct CandidateQuery {
        const ServiceName& service;
        const AdapterName& adapter;
        /// Identifies the part of the prompt that is shared with other requests; 0 for none.
        std::uint64_t sharedId = 0;
    };
    using Condition = std::function<bool(const Replica&)>;

    ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks);

    auto start() -> void;
    /// Applies a new configuration, which lists the services whose replicas have an agent. `holder` is the address at
    /// which this entry offers it to others.
    auto configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder) -> void;
    /// Replicas of a service; empty if there are none.
    [[nodiscard]] auto replicasOf(const ServiceName& service) const -> const std::vector<ReplicaPtr>&;
    /// Replicas of the service that meet the condition. The result has all of them if this entry has a session with
    /// every agent. Otherwise it has those without an agent or with a session, and a few others, which are chosen by
    /// the adapter's name and among the replicas that hold the adapter.
    [[nodiscard]] auto candidates(const CandidateQuery& query, const Condition& condition) const
        -> std::vector<ReplicaPtr>;
    [[nodiscard]] auto all() const noexcept -> const std::map<InstanceId, ReplicaPtr>& { return replicas_; }
    /// Whether the list has been read, from the store or from a peer.
    [[nodiscard]] auto loaded() const noexcept -> bool { return loaded_; }
    /// When the store became unreachable; empty while it answers.
    [[nodiscard]] auto storeLostSince() const noexcept -> std::optional<Moment> { return storeLostSince_; }
    /// Limits the idle connections to each replica to this entry's share of the connections that the replica accepts.
    auto shareConnections(std::size_t entries) -> void;
    /// The changes of the list after the store's version `since`, for peers.
    [[nodiscard]] auto changesSince(std::uint64_t since) const -> ListDifference;
    /// Applies the changes sent by another entry that read the list `age` ago.
    auto applyPeerChanges(const ListDifference& difference, Duration age, std::string_view source) -> void;
    /// Time since the list was read from the store, here or by a peer; `Duration::max()` if never.
    [[nodiscard]] auto listAge() const -> Duration;
    /// Reads the list once more. Resolves when a reading that began after this call has been applied; false if the
    /// store does not answer it.
    [[nodiscard]] auto confirmList() -> kj::Promise<bool>;
    /// The software version that all replicas of the service have had for `span`, up to the last reading of the list;
    /// empty if there were several, or if this entry has not followed the list for that long.
    [[nodiscard]] auto onlySoftware(const ServiceName& service, Duration span) const -> SoftwareVersion;
    /// Whether the service's replicas, as listed now, have more than one software version.
    [[nodiscard]] auto servesSeveralVersions(const ServiceName& service) const -> bool;
    /// The store's version up to which every change of the list is known.
    [[nodiscard]] auto knownVersion() const noexcept -> std::uint64_t { return knownVersion_; }
    /// Suspends reading the store until `until`, because the reader of the zone supplies the list.
    auto skipReadsUntil(Moment until) -> void { skipReadsUntil_ = until; }
    [[nodiscard]] auto readsSkipped() const -> bool { return loop_.timers().now() < skipReadsUntil_; }
    /// Sets how this entry takes part in reading the store for its zone.
    auto setReadingRole(decisions::SharedReading::Role role) -> void;
    /// Number of times this entry has read the list from the store.
    [[nodiscard]] auto storeReads() const noexcept -> std::uint64_t { return storeReads_; }
    /// Marks an instance as leaving because another instance answered at its address.
    auto markGone(const InstanceId& instance, std::string_view why) -> void;
    /// Marks a replica as leaving, whatever the list shows from now on. `source` tells who heard it.
    auto markLeaving(Replica& replica, std::string_view source, Duration age) -> void;

private:
    auto noteChange(const InstanceId& instance) -> void { history_.changed(instance, newestVersion_); }
    auto advanceNewestVersion(std::uint64_t newestVersion) -> void;
    auto reportLeaving() -> void;
    auto poll() -> void;
    auto readList() -> void;
    auto startConfirmation() -> void;
    auto finishConfirmation(bool read) -> void;
    auto onStoreAnswer(hosting::StoreAnswer answer) -> void;
    /// Notes which software versions the list showed at `readAt`.
    auto observeSoftware(Moment readAt) -> void;
    auto apply(const std::vector<ListedReplica>& list, std::string_view source) -> void;
    auto applyRow(const ListedReplica& listed, std::string_view source) -> void;
    auto applyUnreadableRow(const ListedReplica& listed, const std::string& reason) -> void;
    auto noteListed(const std::vector<ListedReplica>& list, Moment now) -> void;
    /// Known replicas that are not in `named`.
    [[nodiscard]] auto missingFrom(const std::set<InstanceId>& named) const -> std::vector<ReplicaPtr>;
    auto removeAll(const std::vector<ReplicaPtr>& replicas) -> void;
    [[nodiscard]] auto createReplica(ReplicaRecord record, std::string_view source) -> ReplicaPtr;
    auto remove(const ReplicaPtr& replica, std::string_view why) -> void;
    auto rebuildIndex() -> void;
    auto findSuperseded() -> void;
    auto reportGone(const Replica& replica, bool over) -> void;
    auto linkAgent(const ReplicaPtr& replica) -> void;
    /// Reassigns the session policy of every agent.
    auto planSessions() -> void;
    /// Divides the shares of the retry reserves among the agents.
    auto assignRetryShares() -> void;
    /// Sends the current notice to every agent.
    auto notifyAgents() -> void;

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Options options_;
    Hooks hooks_;
    EntryNotice notice_;
    std::map<InstanceId, ReplicaPtr> replicas_;
    DepartedReplicas departed_;
    /// The list's rows, unparsed, for peers.
    std::map<InstanceId, ListedReplica> rows_;
    /// Versions of the unreadable rows, so that each is logged once.
    std::map<InstanceId, std::uint64_t> unreadableVersions_;
    std::map<ServiceName, std::vector<ReplicaPtr>> byService_;
    AdapterHolders holders_;
    std::uint64_t entryHash_;
    /// Whether agents were added or removed since sessions were planned.
    bool agentsChanged_ = false;
    /// Whether this entry holds a session with every agent.
    bool fullMesh_ = true;
    bool loaded_ = false;
    bool logEachReplica_ = true;
    bool storeReachable_ = false;
    decisions::ExpiryGrace expiryGrace_;
    std::optional<Moment> storeLostSince_;
    std::optional<Moment> listReadAt_;
    decisions::RecentValues<ServiceName, SoftwareVersion> softwareSeen_;
    std::optional<Moment> softwareSeenAt_;
    /// Since when the list has been read without a gap in which a replica could have come and gone.
    std::optional<Moment> followedSince_;
    using Confirmations = std::vector<kj::Own<kj::PromiseFulfiller<bool>>>;
    /// Callers of `confirmList` that the reading under way answers, and those that wait for the next one.
    Confirmations confirming_;
    Confirmations waitingConfirmations_;
    Moment confirmationStartedAt_ {};
    Timer confirmationTimer_;
    /// Age of the list that is being applied.
    Duration appliedListAge_ {};
    kj::Maybe<kj::Promise<void>> pendingRead_;
    decisions::SharedReading readIntervals_;
    decisions::ChangeHistory<InstanceId> history_;
    /// Upper bound on the versions of all changes read so far, here or by peers.
    std::uint64_t newestVersion_ = 0;
    std::uint64_t knownVersion_ = 0;
    std::uint64_t storeReads_ = 0;
    decisions::SharedReading::Role role_ = decisions::SharedReading::Role::Alone;
    Moment skipReadsUntil_ {};
    Moment lastReadStartedAt_ {};
    Timer readTimer_;
};

} // namespace eelgrass::serving
