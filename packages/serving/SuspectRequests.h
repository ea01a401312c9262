#pragma once

#include "decisions/Quarantine.h"
#include "serving/ReplicaDirectory.h"

#include <cstdint>
#include <string>

namespace eelgrass::serving {

/// Detects requests whose runs repeatedly break off at replicas, counted over all entries.
///
/// A request may crash every replica that runs it, and its client may send it again at any entry. Every entry
/// reports a break of the request to the same agent and gets the count back in that agent's state, so that the entries
/// share the count. A successful run resets the count. After three breaks without a success in between, the request
/// itself is taken to be the cause.
class SuspectRequests {
public:
    /// Number of breaks after which a request is blocked.
    static constexpr auto limit = std::uint32_t(3);

    explicit SuspectRequests(const ReplicaDirectory& directory)
        : directory_(directory)
    {
    }

    auto recordBreak(const std::string& digest) -> void;
    auto recordSuccess(const std::string& digest) -> void;
    [[nodiscard]] auto isBlocked(const std::string& digest) const -> bool;

private:
    [[nodiscard]] auto countingAgentFor(const std::string& digest) const -> AgentLink*;

    const ReplicaDirectory& directory_;
    decisions::Quarantine ownCounts_;
};

/// Hash of what a replica would run and for which member: method, target, model, adapter, body and member.
[[nodiscard]] auto digestOf(
    const wire::HttpRequestMessage& request, const RequestMetadata& metadata, const MemberId& member) -> std::string;

} // namespace eelgrass::serving
