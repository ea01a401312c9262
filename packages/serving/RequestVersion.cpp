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

auto RequestRun::isCrashing() const -> bool { return gateway_.suspects.isRefused(*content_, metadata_.attempt); }

auto RequestRun::withheldReason(bool rests) const -> std::optional<WithheldReason>
{
    if (isCrashing())
        return WithheldReason { "crashes", crashingReason };
    if (replica_->leaving())
        return WithheldReason { "leaving", leavingReason };
    if (!mayContinueAt(*replica_))
        return WithheldReason { "software", otherSoftwareReason };
    if (!mayRunOn(runVersion_))
        return WithheldReason { "version", outdatedReason };
    if (rests)
        return WithheldReason { "rest", restReason };
    if (sendGrantedAt_ && !grantUsable(sendGrantedAt_))
        return WithheldReason { "retry grant", staleGrantReason };
    return std::nullopt;
}

auto RequestRun::withheldFromWrite() const -> std::optional<WithheldReason>
{
    // Its own send counts among those after which the next ones wait.
    return withheldReason(replica_->rest().resting(gateway_.now()));
}

auto RequestRun::countWithheld(const WithheldReason& reason) -> void
{
    gateway_.metrics.count("eelgrass_sends_withheld_total", { { "reason", reason.label } });
}

auto RequestRun::watchRefusals() -> void
{
    refusals_ = gateway_.suspects.onRefusal().add([this, weak = weak_from_this()] {
        gateway_.deferred.add([weak] {
            if (const auto self = weak.lock())
                self->onRefusal();
        });
    });
}

/// What is running may still end whole, which would show that it is refused in vain.
auto RequestRun::onRefusal() -> void
{
    if (finished_ || !isCrashing())
        return;
    if (!running())
        return refuseAsCrashing();
    if (searching_)
        withdrawSearch();
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
