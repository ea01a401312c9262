// The part of ReplicaDirectory that knows which software versions a service has had, and confirms it with the store.
#include "serving/ReplicaDirectory.h"

#include <algorithm>
#include <utility>

namespace eelgrass::serving {

namespace {

// Gap between two readings of the list in which no replica can have been listed and removed: an entry of a replica that
// falls silent stays for three of its heartbeats.
constexpr auto maxReadingGap = Duration(2s);
// Requests that need a fresh list share its readings, so that a burst of them does not burden the store.
constexpr auto minConfirmationInterval = Duration(100ms);

} // namespace

auto ReplicaDirectory::confirmList() -> kj::Promise<bool>
{
    auto pair = kj::newPromiseAndFulfiller<bool>();
    waitingConfirmations_.push_back(kj::mv(pair.fulfiller));
    if (confirming_.empty() && !confirmationTimer_.active())
        startConfirmation();
    return kj::mv(pair.promise);
}

auto ReplicaDirectory::startConfirmation() -> void
{
    const auto now = loop_.timers().now();
    // From the loop: the reading under way must not be dropped in its own callback.
    const auto at = std::max(now, confirmationStartedAt_ + minConfirmationInterval);
    confirmationTimer_ = loop_.timers().after(at - now, [this] {
        confirmationStartedAt_ = loop_.timers().now();
        confirming_ = std::exchange(waitingConfirmations_, {});
        readTimer_.cancel();
        readList();
    });
}

auto ReplicaDirectory::finishConfirmation(bool read) -> void
{
    for (auto& caller : std::exchange(confirming_, {}))
        caller->fulfill(kj::cp(read));
    if (!waitingConfirmations_.empty())
        startConfirmation();
}

auto ReplicaDirectory::observeSoftware(Moment readAt) -> void
{
    if (!softwareSeenAt_ || readAt - *softwareSeenAt_ > maxReadingGap)
        followedSince_ = readAt;
    softwareSeenAt_ = std::max(softwareSeenAt_.value_or(readAt), readAt);
    for (const auto& [instance, replica] : replicas_)
        softwareSeen_.note(replica->record().service, replica->record().software, readAt);
    softwareSeen_.forgetOld(loop_.timers().now());
}

auto ReplicaDirectory::onlySoftware(const ServiceName& service, Duration span) const -> SoftwareVersion
{
    const auto since = loop_.timers().now() - span;
    const auto& replicas = replicasOf(service);
    if (replicas.empty() || !followedSince_ || *followedSince_ > since)
        return {};
    const auto& software = replicas.front()->record().software;
    return softwareSeen_.hadOther(service, software, since) ? SoftwareVersion() : software;
}

auto ReplicaDirectory::servesSeveralVersions(const ServiceName& service) const -> bool
{
    const auto& replicas = replicasOf(service);
    return std::any_of(replicas.begin(), replicas.end(),
        [&](const ReplicaPtr& replica) { return replica->record().software != replicas.front()->record().software; });
}

} // namespace eelgrass::serving
