#pragma once

#include "decisions/PermitSlots.h"
#include "platform/AnswerHeaders.h"
#include "router/Metrics.h"
#include "serving/CountingAgents.h"

#include <map>
#include <set>
#include <vector>

namespace eelgrass::serving {

/// Keeps all entries together within the rate limits that replicas announce in their answers.
///
/// A replica with an agent gets nothing that its agent has not admitted, so the agent counts. For a replica without an
/// agent, two hubs keep permits: the first and second choice by rendezvous hashing, so that all entries ask the same
/// two, and the second is the stand-in of the first. If a replica's own agent does not answer, a hub is its stand-in.
/// An agent that seems to be gone for good has no stand-in; the next choice takes its place, with all permits. An entry
/// that reaches none of them sends its share only (see `PermitSlots`).
///
/// Every answer with a limit, and the one that ends it, is reported to whoever counts; agents publish what they know to
/// all entries. Replicas that announce no limit cause no message and no wait.
///
/// ```cpp
/// limits.observe(replica, answer, sentAt);
/// limits.take(replica, priority, entries).then([](PermitDecision decision) { ... });
/// ```
class RateLimits {
public:
    RateLimits(
        wire::MainLoop& loop, const ReplicaDirectory& directory, router::Metrics& metrics, const std::string& entry);
    KJ_DISALLOW_COPY(RateLimits);

    /// Notes what an answer says about its replica's limit. `requestedAt` is when the request was sent.
    auto observe(Replica& replica, const hosting::AnswerMetadata& answer, Moment requestedAt) -> void;
    /// Applies what an agent published.
    auto applyPublished(const std::vector<ReplicaRateLimit>& limits, const Endpoint& agent) -> void;
    /// Whether requests to the replica need a permit.
    [[nodiscard]] static auto needsPermit(const Replica& replica) -> bool
    {
        return replica.rateLimit().perSecond().has_value();
    }
    /// Asks for a permit to send a request to a replica whose own agent does not admit it. The promise never rejects.
    [[nodiscard]] auto take(const Replica& replica, std::uint32_t priority, std::size_t entries)
        -> kj::Promise<PermitDecision>;
    /// Gives back a granted permit for a request that is not sent after all.
    auto giveBack(const Replica& replica, const PermitDecision& decision) -> void;
    /// Returns when a client may come back whose request is refused because of the replica's limit; later for each one,
    /// so that not all of them return for the same permit.
    [[nodiscard]] auto retryAfter(const Replica& replica) -> milliseconds;
    /// Counts a request that is sent to a replica which has announced a limit.
    auto countSend(const Replica& replica) -> void;
    /// Removes the gauges of replicas that have left the list.
    auto forgetRemoved() -> void;

private:
    auto apply(Replica& replica, const decisions::RateLimitStatement& statement, std::string_view source) -> void;
    auto report(const Replica& replica, const decisions::RateLimitStatement& statement) -> void;
    struct Keeper {
        AgentLink* agent;
        bool standIn;
    };
    /// The hubs that keep the permits of a replica whose own agent does not, the first choice first.
    [[nodiscard]] auto keepersOf(const Replica& replica) const -> std::vector<Keeper>;
    [[nodiscard]] auto askNextKeeper(ReplicaRateLimit limit, std::uint32_t priority, std::vector<Keeper> keepers)
        -> kj::Promise<kj::Maybe<PermitDecision>>;
    [[nodiscard]] auto takeFromShare(const ReplicaRateLimit& limit, std::size_t entries) -> PermitDecision;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    router::Metrics& metrics_;
    std::uint64_t entryHash_;
    CountingAgents agents_;
    std::map<InstanceId, decisions::PermitSlots> shares_;
    /// Per replica, the clients that were told when to come back.
    std::map<InstanceId, decisions::QuotaBucket> returns_;
    /// Replicas with a gauge.
    std::set<InstanceId> recorded_;
};

} // namespace eelgrass::serving
