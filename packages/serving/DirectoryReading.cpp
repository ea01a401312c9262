// The part of ReplicaDirectory that reads the list, from the store or from a peer, and tells peers what it has read.
#include "serving/ReplicaDirectory.h"

#include "base/Log.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace eelgrass::serving {

namespace {

constexpr auto table = "servers";

auto instancesOf(const std::vector<ListedReplica>& list) -> std::set<InstanceId>
{
    auto names = std::set<InstanceId>();
    for (const auto& listed : list)
        names.insert(listed.instance);
    return names;
}

} // namespace

auto ReplicaDirectory::start() -> void { poll(); }

/// Reads the table at an interval instead of by long polls, since every heartbeat of every replica changes it.
auto ReplicaDirectory::poll() -> void
{
    const auto now = loop_.timers().now();
    const auto until = storeLostSince_
        ? std::min(skipReadsUntil_, lastReadStartedAt_ + decisions::SharedReading::probeInterval)
        : skipReadsUntil_;
    if (now < until) {
        readTimer_ = loop_.timers().after(until - now, [this] { poll(); });
        return;
    }
    readList();
}

/// A reading that is under way is abandoned: its answer could come after that of the new one, and be older.
auto ReplicaDirectory::readList() -> void
{
    lastReadStartedAt_ = loop_.timers().now();
    pendingRead_ = store_.read(table)
                       .then([this](hosting::StoreAnswer&& answer) { onStoreAnswer(std::move(answer)); })
                       .eagerlyEvaluate([](kj::Exception&& error) {
                           log::error("replica list failed", { { "reason", error.getDescription().cStr() } });
                       });
}

auto ReplicaDirectory::setReadingRole(decisions::SharedReading::Role role) -> void
{
    using Role = decisions::SharedReading::Role;
    // An entry that reads only for itself reads at longer intervals, so its list may be too old for followers. A
    // reading that is under way may hang, and is given up for a new one.
    const auto hasRead = storeReads_ > 0 || storeLostSince_;
    if (role == Role::Reader && role_ != Role::Reader && (hasRead || readTimer_.active()))
        readTimer_ = loop_.timers().after(Duration(0), [this] { poll(); });
    role_ = role;
}

auto ReplicaDirectory::onStoreAnswer(hosting::StoreAnswer answer) -> void
{
    const auto now = loop_.timers().now();
    if (answer.outcome != hosting::StoreOutcome::Done) {
        if (std::exchange(storeReachable_, false)) {
            log::warn("store lost", { { "step", "platform" }, { "reason", answer.reason } });
            notifyAgents();
        }
        expiryGrace_.lost(now);
        if (!storeLostSince_)
            storeLostSince_ = now;
        readTimer_ = loop_.timers().after(decisions::SharedReading::retryInterval(role_), [this] { poll(); });
        finishConfirmation(false);
        return;
    }
    storeLostSince_.reset();
    if (!std::exchange(storeReachable_, true)) {
        expiryGrace_.regained(now);
        log::info("store regained", { { "step", "platform" } });
        notifyAgents();
    }
    auto list = std::vector<ListedReplica>();
    for (auto& row : answer.rows)
        list.push_back({ InstanceId(row.key), std::move(row.value), row.version });
    advanceNewestVersion(answer.newestVersion);
    appliedListAge_ = now - answer.asOf;
    apply(list, "store");
    listReadAt_ = answer.asOf;
    noteListed(list, now);
    const auto named = instancesOf(list);
    const auto missing = missingFrom(named);
    auto gone = std::vector<ReplicaPtr>();
    std::copy_if(missing.begin(), missing.end(), std::back_inserter(gone),
        [&](const ReplicaPtr& replica) { return expiryGrace_.gone(replica->listedAt(), now); });
    removeAll(gone);
    // Unreadable rows that never became a replica are dropped too.
    std::erase_if(
        rows_, [&](const auto& entry) { return !named.contains(entry.first) && !replicas_.contains(entry.first); });
    // While a missing replica is retained, peers may still report its removal at or before this version.
    if (gone.size() == missing.size())
        knownVersion_ = std::max(knownVersion_, answer.version);
    ++storeReads_;
    const auto interval = role_ == decisions::SharedReading::Role::Reader ? readIntervals_.sharedInterval()
                                                                          : readIntervals_.ownInterval();
    readTimer_ = loop_.timers().after(interval, [this] { poll(); });
    observeSoftware(lastReadStartedAt_);
    finishConfirmation(true);
}

/// Raises the upper bound on the versions of all changes read so far. Changes recorded after this call belong to the
/// reading that reported `newestVersion`.
auto ReplicaDirectory::advanceNewestVersion(std::uint64_t newestVersion) -> void
{
    newestVersion_ = std::max(newestVersion_, newestVersion);
    if (!history_.started())
        history_.begin(newestVersion_);
}

auto ReplicaDirectory::changesSince(std::uint64_t since) const -> ListDifference
{
    auto difference = ListDifference { .version = knownVersion_, .newestVersion = newestVersion_ };
    if (knownVersion_ == 0)
        return difference;
    difference.whole = !history_.covers(since);
    if (difference.whole) {
        for (const auto& [instance, listed] : rows_)
            difference.listed.push_back(listed);
        return difference;
    }
    auto changes = history_.since(since);
    for (const auto& instance : changes.changed) {
        if (const auto found = rows_.find(instance); found != rows_.end())
            difference.listed.push_back(found->second);
    }
    difference.removed = std::move(changes.removed);
    return difference;
}

auto ReplicaDirectory::applyPeerChanges(const ListDifference& difference, Duration age, std::string_view source) -> void
{
    if (difference.version == 0)
        return;
    const auto readAt = loop_.timers().now() - age;
    expiryGrace_.servedElsewhere(readAt);
    advanceNewestVersion(difference.newestVersion);
    appliedListAge_ = age;
    apply(difference.listed, source);
    auto missing = difference.whole ? missingFrom(instancesOf(difference.listed)) : std::vector<ReplicaPtr>();
    for (const auto& instance : difference.removed) {
        if (const auto found = replicas_.find(instance); found != replicas_.end())
            missing.push_back(found->second);
    }
    // Replicas that this entry has read from the store since the peer read the list are kept.
    std::erase_if(
        missing, [&](const ReplicaPtr& replica) { return replica->listVersion() > difference.newestVersion; });
    removeAll(missing);
    for (const auto& [instance, listed] : rows_) {
        if (const auto found = replicas_.find(instance); found != replicas_.end())
            found->second->setListedAt(readAt);
    }
    listReadAt_ = std::max(listReadAt_.value_or(readAt), readAt);
    knownVersion_ = std::max(knownVersion_, difference.version);
    observeSoftware(readAt);
}

} // namespace eelgrass::serving
