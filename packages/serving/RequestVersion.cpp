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

auto RequestRun::setContent(AdapterVersion version) -> void
{
    if (content_ && (metadata_.adapter.empty() || contentVersion_ == version))
        return;
    contentVersion_ = version;
    const auto content = contentOf(request_, metadata_, member_ ? member_->name : MemberId(), version);
    content_ = std::make_shared<const RequestContent>(content);
    gateway_.suspects.learnNames(content);
}

auto RequestRun::mayRunOn(AdapterVersion version) const -> bool
{
    return metadata_.adapter.empty() || version >= knownVersion().version;
}

auto RequestRun::mayWrite() const -> bool
{
    return !replica_->leaving() && !replica_->rest().resting(gateway_.now()) && mayRunOn(runVersion_)
        && mayContinueAt(*replica_) && !gateway_.suspects.isRefused(*content_)
        && (!sendGrantedAt_ || grantUsable(sendGrantedAt_));
}

auto RequestRun::withheldReason() const -> WithheldReason
{
    if (gateway_.suspects.isRefused(*content_))
        return { "crashes", crashingReason };
    if (replica_->leaving())
        return { "leaving", leavingReason };
    if (!mayContinueAt(*replica_))
        return { "software", otherSoftwareReason };
    if (!mayRunOn(runVersion_))
        return { "version", outdatedReason };
    return replica_->rest().resting(gateway_.now()) ? WithheldReason { "rest", restReason }
                                                    : WithheldReason { "retry grant", staleGrantReason };
}

auto RequestRun::countWithheld() -> void
{
    gateway_.metrics.count("eelgrass_sends_withheld_total", { { "reason", withheldReason().label } });
}

/// Whether no replica can get the named version of the adapter before the agents return, which have been away for so
/// long that none is expected in time. While an agent may just be starting again, a request waits for it.
auto RequestRun::noAgentCanLoad() const -> bool
{
    if (!knownVersion().learnedAt)
        return false;
    const auto& replicas = gateway_.directory.replicasOf(service_);
    return std::all_of(replicas.begin(), replicas.end(), [&](const ReplicaPtr& replica) {
        if (replica->leaving() || tried_.contains(replica->id()) || !mayContinueAt(*replica))
            return true;
        const auto* agent = replica->agent();
        return replica->present() && agent && !agent->mayOpen() && agent->awayFor() > agentReturnTime
            && !mayRunOn(replica->heldVersion(metadata_.adapter));
    });
}

} // namespace eelgrass::serving
