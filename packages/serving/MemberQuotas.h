#pragma once

#include "serving/ReplicaDirectory.h"
#include "serving/Settings.h"

#include <map>
#include <vector>

namespace eelgrass::serving {

/// Counts what members are granted against their quotas, over all entries, without a coordinator.
///
/// Two agents count for a member, the same two for every entry that sees the same agents: its first and second choice
/// by rendezvous hashing. The first decides, the second is told; so when the first is gone, the second goes on from
/// where it was. An agent that has just begun to count has an empty bucket, never a full one. An entry that reaches
/// neither grants its equal share of the limit.
///
/// ```cpp
/// quotas.take(charge, entries).then([](QuotaDecision verdict) { ... });
/// ```
class MemberQuotas {
public:
    MemberQuotas(wire::MainLoop& loop, const ReplicaDirectory& directory, const QuotaBounds& bounds);
    KJ_DISALLOW_COPY(MemberQuotas);

    /// What a request counts; empty where its member has no limit.
    [[nodiscard]] auto chargeFor(const MemberRecord& member, ConfigVersion version, const RequestMetadata& facts) const
        -> std::optional<QuotaCharge>;
    /// Never rejects. `entries` is how many share the limit, as far as is known.
    [[nodiscard]] auto take(const QuotaCharge& charge, std::size_t entries) -> kj::Promise<QuotaDecision>;
    /// The request was refused: it has not run.
    auto giveBack(QuotaCharge charge) -> void;

private:
    using Boards = std::vector<AgentLink*>;
    /// The agents that count for that member, the deciding one first; two at the most.
    [[nodiscard]] auto boardsOf(const MemberId& member) const -> Boards;
    /// Asks one; an empty answer when it is silent or gone.
    [[nodiscard]] auto ask(AgentLink& board, const QuotaCharge& charge) -> kj::Promise<kj::Maybe<QuotaDecision>>;
    [[nodiscard]] auto askNext(QuotaCharge charge, std::size_t entries, std::size_t asked)
        -> kj::Promise<QuotaDecision>;
    [[nodiscard]] auto takeShare(const QuotaCharge& charge, std::size_t entries) -> QuotaDecision;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    QuotaBounds bounds_;
    /// Agents that did not answer, and until when they are asked last.
    std::map<Endpoint, Moment> resting_;
    std::map<MemberId, decisions::QuotaBucket> shares_;
};

} // namespace eelgrass::serving
