#include "serving/ReplicaDirectory.h"

#include "base/Log.h"
#include "decisions/FirstByRendezvous.h"
#include "decisions/Rendezvous.h"

#include <algorithm>
#include <set>

namespace eelgrass::serving {

namespace {

// Number of candidates for a request among the replicas without a session. Two are chosen by the hash of the adapter's
// name, the same at every entry; the others hold the adapter.
constexpr auto preferredPerAdapter = std::size_t(2);
constexpr auto holdersPerSharedPart = std::size_t(2);
constexpr auto holdersPerEntry = std::size_t(1);

// Longer lists are logged in one line.
constexpr auto maxLoggedRows = std::size_t(20);

using AdapterVersions = std::map<AdapterName, AdapterVersion>;

/// Whether the records are equal in the fields that peers need. Heartbeats change the other fields once a second.
auto samePublishedState(const ReplicaRecord& left, const ReplicaRecord& right) -> bool
{
    return left.service == right.service && left.endpoint == right.endpoint && left.zone == right.zone
        && left.software == right.software && left.phase == right.phase && left.slots == right.slots
        && left.hasBaseModel == right.hasBaseModel && left.adapters == right.adapters;
}

} // namespace

ReplicaDirectory::ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks)
    : loop_(loop)
    , store_(store)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , entryHash_(decisions::nameHash(options_.entry))
    , readIntervals_(options_.drainBound)
{
}

auto ReplicaDirectory::reportLeaving() -> void
{
    if (hooks_.onLeaving)
        hooks_.onLeaving(appliedListAge_);
}

auto ReplicaDirectory::apply(const std::vector<ListedReplica>& list, std::string_view source) -> void
{
    loaded_ = true;
    if (list.empty())
        return;
    const auto before = replicas_.size();
    logEachReplica_ = list.size() <= maxLoggedRows;
    for (const auto& listed : list)
        applyRow(listed, source);
    if (!logEachReplica_ && replicas_.size() > before)
        log::info(
            "replicas added", { { "count", std::to_string(replicas_.size()) }, { "source", std::string(source) } });
    rebuildIndex();
    findSuperseded();
}

auto ReplicaDirectory::noteListed(const std::vector<ListedReplica>& list, Moment now) -> void
{
    for (const auto& listed : list) {
        if (const auto found = replicas_.find(listed.instance); found != replicas_.end())
            found->second->setListedAt(now);
    }
}

auto ReplicaDirectory::missingFrom(const std::set<InstanceId>& named) const -> std::vector<ReplicaPtr>
{
    auto missing = std::vector<ReplicaPtr>();
    for (const auto& [instance, replica] : replicas_) {
        if (!named.contains(instance))
            missing.push_back(replica);
    }
    return missing;
}

auto ReplicaDirectory::removeAll(const std::vector<ReplicaPtr>& replicas) -> void
{
    for (const auto& replica : replicas)
        remove(replica, "not listed");
    if (!replicas.empty())
        rebuildIndex();
}

auto ReplicaDirectory::createReplica(ReplicaRecord record, std::string_view source) -> ReplicaPtr
{
    if (logEachReplica_) {
        log::info("replica added",
            { { "replica", record.start.instance.str() }, { "birth", std::to_string(record.start.startTime.value()) },
                { "service", record.service.str() }, { "software", record.software.str() },
                { "peer", record.endpoint.str() }, { "source", std::string(source) } });
    }
    const auto announced = departed_.recall(record.start);
    auto replica = std::make_shared<Replica>(loop_.timers(), std::move(record), announced);
    linkAgent(replica);
    return replica;
}

auto ReplicaDirectory::applyRow(const ListedReplica& listed, std::string_view source) -> void
{
    auto failure = std::string();
    auto read = orElse(
        [&]() -> Result<std::optional<ReplicaRecord>> {
            BOOST_LEAF_AUTO(record, hosting::readReplica(listed.instance.str(), listed.text));
            return std::optional(std::move(record));
        },
        [&](const Error& error) -> std::optional<ReplicaRecord> {
            failure = error.message();
            return std::nullopt;
        });
    if (!read)
        return applyUnreadableRow(listed, failure);
    auto& replica = replicas_[listed.instance];
    // A row from a peer may be older than the row that this entry has.
    if (replica && listed.version < replica->listVersion())
        return;
    // The replica was restarted. Requests sent to its previous start see that this start is leaving.
    if (replica && !sameStart(replica->record().start, read->start)) {
        if (!replica->confirmsNewerStart(read->start.startTime, listed.version))
            return;
        remove(ReplicaPtr(replica), "started again");
    }
    auto& current = replicas_[listed.instance];
    const auto fresh = !current;
    if (fresh) {
        current = createReplica(*read, source);
        noteChange(listed.instance);
    }
    if (!samePublishedState(current->record(), *read) || current->unreadable())
        noteChange(listed.instance);
    if (read->phase == ReplicaPhase::Draining && !current->leaving()) {
        reportLeaving();
        noteChange(listed.instance);
        markLeaving(*current, source, appliedListAge_);
    }
    // One start runs one software: a row that has lost the field does not change it.
    if (!fresh && read->software.empty())
        read->software = current->record().software;
    unreadableVersions_.erase(listed.instance);
    rows_[listed.instance] = listed;
    current->setUnreadable(false);
    current->confirmCurrentStart();
    holders_.note(current, fresh ? AdapterVersions() : current->record().adapters, read->adapters);
    current->update(std::move(*read));
    current->setListVersion(listed.version);
}

/// Sends no new requests to the replica until its row is readable. If another writer has overwritten the row, the
/// replica's next heartbeat restores it. Requests already running on the replica continue.
auto ReplicaDirectory::applyUnreadableRow(const ListedReplica& listed, const std::string& reason) -> void
{
    const auto known = replicas_.find(listed.instance);
    if (known != replicas_.end() && listed.version < known->second->listVersion())
        return;
    if (known != replicas_.end() && !known->second->unreadable()) {
        known->second->setUnreadable(true);
        noteChange(listed.instance);
    }
    rows_[listed.instance] = listed;
    if (const auto logged = unreadableVersions_.find(listed.instance);
        logged != unreadableVersions_.end() && logged->second == listed.version)
        return;
    constexpr auto maxLoggedVersions = std::size_t(1000);
    if (unreadableVersions_.size() >= maxLoggedVersions)
        unreadableVersions_.clear();
    unreadableVersions_[listed.instance] = listed.version;
    log::error("replica list entry unreadable",
        { { "peer", listed.instance.str() }, { "version", std::to_string(listed.version) }, { "reason", reason } });
}

auto ReplicaDirectory::remove(const ReplicaPtr& replica, std::string_view why) -> void
{
    log::info("replica removed", { { "replica", replica->id().str() }, { "reason", std::string(why) } });
    if (!replica->leaving())
        reportLeaving();
    history_.removed(replica->id(), newestVersion_);
    holders_.note(replica, replica->record().adapters, {});
    agentsChanged_ = true;
    departed_.remember(*replica, loop_.timers().now());
    reportGone(*replica, false);
    replica->setLeaving();
    replica->pool().clear();
    rows_.erase(replica->id());
    replicas_.erase(replica->id());
}

auto ReplicaDirectory::markGone(const InstanceId& instance, std::string_view why) -> void
{
    const auto found = replicas_.find(instance);
    if (found == replicas_.end())
        return;
    const auto replica = found->second;
    reportGone(*replica, true);
    replica->setLeaving();
    log::info("replica removed", { { "replica", instance.str() }, { "reason", std::string(why) } });
}

auto ReplicaDirectory::markLeaving(Replica& replica, std::string_view source, Duration age) -> void
{
    if (replica.leaving())
        return;
    replica.setLeavesByPlan();
    agentsChanged_ = true;
    const auto ageMs = std::chrono::duration_cast<milliseconds>(age).count();
    log::info("replica leaving",
        { { "replica", replica.id().str() }, { "source", std::string(source) }, { "age_ms", std::to_string(ageMs) } });
}

auto ReplicaDirectory::rebuildIndex() -> void
{
    byService_.clear();
    for (const auto& [instance, replica] : replicas_)
        byService_[replica->record().service].push_back(replica);
    if (agentsChanged_)
        planSessions();
}

/// Marks replicas whose address has a newer list entry. A restarted replica is listed beside its previous start until
/// that entry expires. Requests sent to the previous start come back without having run and use up the retry budget,
/// which is needed for other requests after a power failure.
auto ReplicaDirectory::findSuperseded() -> void
{
    auto newest = std::map<std::string, std::uint64_t>();
    for (const auto& [instance, replica] : replicas_) {
        auto& version = newest[replica->record().endpoint.str()];
        version = std::max(version, replica->listVersion());
    }
    for (const auto& [instance, replica] : replicas_) {
        replica->setSuperseded(replica->listVersion() < newest[replica->record().endpoint.str()]);
        if (!replica->superseded() && hooks_.onListed)
            hooks_.onListed(*replica);
    }
}

auto ReplicaDirectory::reportGone(const Replica& replica, bool over) -> void
{
    if (!replica.leavesByPlan() && hooks_.onGone)
        hooks_.onGone(replica, over);
}

auto ReplicaDirectory::replicasOf(const ServiceName& service) const -> const std::vector<ReplicaPtr>&
{
    static const auto none = std::vector<ReplicaPtr>();
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

auto ReplicaDirectory::candidates(const CandidateQuery& query, const Condition& condition) const
    -> std::vector<ReplicaPtr>
{
    auto found = std::vector<ReplicaPtr>();
    const auto sharedKey = query.sharedId ^ decisions::nameHash(query.adapter.view());
    auto preferred = decisions::FirstByRendezvous<ReplicaPtr>(
        query.adapter.empty() ? sharedKey : decisions::nameHash(query.adapter.view()), preferredPerAdapter);
    for (const auto& replica : replicasOf(query.service)) {
        if (!condition(*replica))
            continue;
        if (fullMesh_ || !replica->agent() || replica->agent()->alive())
            found.push_back(replica);
        else
            preferred.offer(replica, replica->idHash());
    }
    if (fullMesh_)
        return found;
    // Requests with the same shared part of the prompt go to the same few holders, to reuse the prefill of that part.
    // One further holder per entry spreads the load.
    auto byPart = decisions::FirstByRendezvous<ReplicaPtr>(sharedKey, holdersPerSharedPart);
    auto byEntry = decisions::FirstByRendezvous<ReplicaPtr>(sharedKey ^ entryHash_, holdersPerEntry);
    for (const auto& replica : holders_.of(query.adapter)) {
        if (replica->record().service != query.service || !condition(*replica) || !replica->agent()
            || replica->agent()->alive())
            continue;
        byPart.offer(replica, replica->idHash());
        byEntry.offer(replica, replica->idHash());
    }
    const auto known = static_cast<std::ptrdiff_t>(found.size());
    for (const auto& nodes : { preferred.nodes(), byPart.nodes(), byEntry.nodes() }) {
        for (const auto& replica : nodes) {
            if (std::find(found.begin() + known, found.end(), replica) == found.end())
                found.push_back(replica);
        }
    }
    return found;
}

auto ReplicaDirectory::listAge() const -> Duration
{
    return listReadAt_ ? loop_.timers().now() - *listReadAt_ : Duration::max();
}

} // namespace eelgrass::serving
