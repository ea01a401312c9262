#pragma once

#include "serving/CountingAgents.h"
#include "serving/Settings.h"

#include <map>
#include <vector>

namespace eelgrass::serving {

/// Enforces member quotas over all entries without a coordinator.
///
/// Two agents count each member's usage: the first and second choice by rendezvous hashing, so every entry that sees
/// the same agents picks the same two. The first decides and the second is informed, so that the second continues from
/// the current level if the first is lost. An agent that starts to count a member begins with an empty bucket, never a
/// full one. An entry that reaches neither agent grants its equal share of the limit.
///
/// ```cpp
/// quotas.take(charge, entries).then([](QuotaDecision decision) { ... });
/// ```
class MemberQuotas {
public:
    MemberQuotas(wire::MainLoop& loop, const ReplicaDirectory& directory, const QuotaBounds& bounds);
    KJ_DISALLOW_COPY(MemberQuotas);

    /// The charge for a request; empty if the member has no limit.
    [[nodiscard]] auto chargeFor(const MemberRecord& member, ConfigVersion version,
        const RequestMetadata& metadata) const -> std::optional<QuotaCharge>;
    /// Charges the quota. The promise never rejects. `entries` is the estimated number of entries that share the limit.
    [[nodiscard]] auto take(const QuotaCharge& charge, std::size_t entries) -> kj::Promise<QuotaDecision>;
    /// Returns the charge of a request that was refused and has not run.
    auto giveBack(QuotaCharge charge) -> void;

private:
    using Counters = CountingAgents::Agents;
    /// At most two agents that count the member's usage, the deciding one first.
    [[nodiscard]] auto countersOf(const MemberId& member) const -> Counters;
    [[nodiscard]] auto askNextCounter(QuotaCharge charge, std::size_t entries, std::size_t asked)
        -> kj::Promise<QuotaDecision>;
    [[nodiscard]] auto takeFromShare(const QuotaCharge& charge, std::size_t entries) -> QuotaDecision;

    wire::MainLoop& loop_;
    CountingAgents agents_;
    QuotaBounds bounds_;
    std::map<MemberId, decisions::QuotaBucket> shareBuckets_;
};

} // namespace eelgrass::serving
