#pragma once

#include "decisions/Quarantine.h"
#include "serving/ReplicaDirectory.h"

#include <cstdint>
#include <string>

namespace eelgrass::serving {

/// Requests that break off wherever they run, as this entry and its peers have seen.
///
/// A request may crash each replica that begins to run it, and its caller sends it again, at any entry. Each break is
/// told to one agent, the same for all entries, and comes back with its state, so that the entries count together. A
/// request that runs to its end is cleared; three breaks with no success between them are no bad luck.
class SuspectRequests {
public:
    /// Breaks after which a request is not sent any more.
    static constexpr auto limit = std::uint32_t(3);

    explicit SuspectRequests(const ReplicaDirectory& directory)
        : directory_(directory)
    {
    }

    auto broke(const std::string& digest) -> void;
    auto succeeded(const std::string& digest) -> void;
    [[nodiscard]] auto refused(const std::string& digest) const -> bool;

private:
    [[nodiscard]] auto agentFor(const std::string& digest) const -> AgentLink*;

    const ReplicaDirectory& directory_;
    decisions::Quarantine own_;
};

/// Names a request by what a replica would run, and for whom: method, target, model, body and member.
[[nodiscard]] auto digestOf(
    const wire::HttpRequestMessage& request, const RequestMetadata& facts, const MemberId& member) -> std::string;

} // namespace eelgrass::serving
