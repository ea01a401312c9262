#pragma once

#include "decisions/ReturnTimes.h"
#include "platform/AnswerHeaders.h"
#include "router/Metrics.h"
#include "serving/ReplicaDirectory.h"
#include "serving/Settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace eelgrass::serving {

/// Applies what replicas say in their answers about the requests that they want.
///
/// A rest holds for this host alone: it says little about what the replica wants from others. Only an agent on this
/// host is told of it, and tells of those that it has heard of itself. That a replica leaves holds for all. Its agent
/// is told, and publishes it; of a replica without an agent the others hear from the platform's list, within the bound
/// that holds for them.
///
/// ```cpp
/// availability.observe(replica, answer, entries);
/// if (!replica.accepts(now)) return placeElsewhere();
/// ```
class ReplicaAvailability {
public:
    ReplicaAvailability(
        wire::MainLoop& loop, ReplicaDirectory& directory, router::Metrics& metrics, const HostSettings& host);
    KJ_DISALLOW_COPY(ReplicaAvailability);

    /// Notes what an answer of the replica says. `hosts` is the number of hosts that may rest together.
    auto observe(Replica& replica, const hosting::AnswerMetadata& answer, std::size_t hosts) -> void;
    /// Applies what the replica's agent has published.
    auto applyPublished(Replica& replica) -> void;
    /// Notes the rests that have ended and the replicas that are gone.
    auto forgetEnded() -> void;
    /// Returns when a client may come back whose request is refused because every replica rests; the first of them
    /// until `end`.
    [[nodiscard]] auto retryAfter(Moment end, std::uint32_t priority) -> milliseconds;
    /// Counts a request that is sent although the replica wants none from this host.
    auto countSend(const Replica& replica) -> void;

private:
    auto applyRest(Replica& replica, Duration length, std::size_t hosts, std::string_view source) -> void;

    /// Whether the replica's agent runs on this host, so that the replica asks both processes for the same rest.
    [[nodiscard]] auto sharesHost(const Replica& replica) const -> bool;
    auto applyLeaving(Replica& replica, std::string_view source) -> void;
    /// The replica if this start of it is still known.
    [[nodiscard]] auto find(const ReplicaStart& start) const -> const Replica*;

    wire::MainLoop& loop_;
    ReplicaDirectory& directory_;
    router::Metrics& metrics_;
    std::string address_;
    std::uint64_t hostHash_;
    decisions::ReturnTimes returns_;
    struct Rest {
        ReplicaStart start;
        Moment askedAt {};
    };
    std::map<InstanceId, Rest> rests_;
    /// Replicas that have said that they leave.
    std::map<InstanceId, ReplicaStart> leaving_;
};

} // namespace eelgrass::serving
