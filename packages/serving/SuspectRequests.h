#pragma once

#include "decisions/Quarantine.h"
#include "router/Metrics.h"
#include "serving/ReplicaDirectory.h"

#include <cstdint>
#include <deque>
#include <string>

namespace eelgrass::serving {

/// Detects requests whose runs repeatedly break off at replicas, counted over all entries.
///
/// A request may crash every replica that runs it, and its client may send it again at any entry. Every entry
/// reports a break of the request to the same agent and gets the count back in that agent's state, so that the entries
/// share the count. A successful run resets the count. After three breaks without a success in between, the request
/// itself is taken to be the cause.
///
/// A break of a stream that has brought an event counts only once its replica is seen to have crashed: streams also
/// break off because connections are reset or replicas are replaced, and their clients take them up and lose them
/// again.
class SuspectRequests {
public:
    /// Number of breaks after which a request is blocked.
    static constexpr auto limit = std::uint32_t(3);

    SuspectRequests(wire::MainLoop& loop, const ReplicaDirectory& directory, router::Metrics& metrics)
        : loop_(loop)
        , directory_(directory)
        , metrics_(metrics)
    {
    }

    /// Records that a run broke off at the replica. `begun`: its stream had brought an event.
    auto recordBreak(const std::string& digest, const Replica& replica, bool begun) -> void;
    /// Applies what the replica's agent has reported: whether the replica has survived the runs that broke off there.
    auto applyState(const Replica& replica) -> void;
    auto recordSuccess(const std::string& digest) -> void;
    [[nodiscard]] auto isBlocked(const std::string& digest) const -> bool { return breaks(digest) >= limit; }
    /// Number of breaks that this entry knows of.
    [[nodiscard]] auto breaks(const std::string& digest) const -> std::uint32_t;

private:
    /// A run of a stream that had brought an event; its replica may have crashed.
    struct Unconfirmed {
        std::string digest;
        ReplicaStart start;
        Moment at {};
    };
    // An agent notices within this time that its replica has crashed; one whose host goes dark is silent at first.
    static constexpr auto crashNoticeTime = Duration(4s);
    static constexpr auto maxUnconfirmed = std::size_t(1000);

    auto count(const std::string& digest, const ReplicaStart& start) -> void;
    auto note(std::string_view event, std::string_view outcome, const std::string& digest, const ReplicaStart& start,
        std::string_view why) const -> void;
    [[nodiscard]] auto countingAgentFor(const std::string& digest) const -> AgentLink*;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    router::Metrics& metrics_;
    decisions::Quarantine ownCounts_;
    std::deque<Unconfirmed> unconfirmed_;
};

/// Hash of what a replica would run and for which member: method, target, model, adapter, body and member.
[[nodiscard]] auto digestOf(
    const wire::HttpRequestMessage& request, const RequestMetadata& metadata, const MemberId& member) -> std::string;

} // namespace eelgrass::serving
