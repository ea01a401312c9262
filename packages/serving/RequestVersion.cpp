// The part of RequestRun that decides which version of its adapter a request may run on.
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

} // namespace

auto RequestRun::knownVersion() const -> const KnownVersion&
{
    return gateway_.configuration.versions().of(metadata_.model, metadata_.adapter);
}

auto RequestRun::mayRunOn(AdapterVersion version) const -> bool
{
    return metadata_.adapter.empty() || version >= knownVersion().version;
}

auto RequestRun::mayWrite() const -> bool
{
    return !replica_->leaving() && !replica_->rest().resting(gateway_.now()) && mayRunOn(runVersion_)
        && mayGoOnAt(*replica_);
}

auto RequestRun::withheldReason() const -> std::string_view
{
    if (replica_->leaving())
        return leavingReason;
    if (!mayGoOnAt(*replica_))
        return otherSoftwareReason;
    return mayRunOn(runVersion_) ? restReason : outdatedReason;
}

auto RequestRun::countWithheld() -> void
{
    const auto why = withheldReason();
    const auto* reason = why == leavingReason ? "leaving"
        : why == otherSoftwareReason          ? "software"
        : why == outdatedReason               ? "version"
                                              : "rest";
    gateway_.metrics.count("eelgrass_sends_withheld_total", { { "reason", reason } });
}

/// Whether no replica can get the named version of the adapter before the agents return, which have been away for so
/// long that none is expected in time. While an agent may just be starting again, a request waits for it.
auto RequestRun::noAgentCanLoad() const -> bool
{
    if (!knownVersion().learnedAt)
        return false;
    const auto& replicas = gateway_.directory.replicasOf(service_);
    return std::all_of(replicas.begin(), replicas.end(), [&](const ReplicaPtr& replica) {
        if (replica->leaving() || tried_.contains(replica->id()) || !mayGoOnAt(*replica))
            return true;
        const auto* agent = replica->agent();
        return replica->present() && agent && !agent->mayOpen() && agent->awayFor() > agentReturnTime
            && !mayRunOn(replica->heldVersion(metadata_.adapter));
    });
}

} // namespace eelgrass::serving
