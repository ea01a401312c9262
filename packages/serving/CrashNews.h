#pragma once

#include "decisions/CrashLedger.h"
#include "serving/ReplicaDirectory.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// Tells agents what this entry has found of crashes and whole runs, which they publish to all entries.
///
/// Two agents, named by the hash of what is told, keep each piece of news, so that one is left when the other one goes.
/// What one of them does not state is told again.
class CrashNews {
public:
    explicit CrashNews(const ReplicaDirectory& directory)
        : directory_(directory)
    {
    }

    auto tell(const std::vector<decisions::CrashReport>& reports) const -> void;
    auto tell(const std::vector<decisions::WholeRun>& runs) const -> void;
    /// Tells agents what they should state and do not. What happened within `recent` has not been published yet.
    auto tellMissing(const decisions::CrashLedger& ledger, Duration recent, Moment now) const -> void;
    /// The agents that keep the reports on a request, for log lines.
    [[nodiscard]] auto keepersText(decisions::RequestDigest request) const -> std::string;

private:
    /// Agents that keep what all entries share, by their endpoints' hashes.
    using Hubs = std::map<std::uint64_t, AgentLink*>;
    struct Untold {
        std::vector<decisions::CrashReport> reports;
        std::vector<decisions::WholeRun> wholeRuns;
    };
    using UntoldByAgent = std::map<AgentLink*, Untold>;

    static constexpr auto keepersPerHash = std::size_t(2);

    [[nodiscard]] auto hubs() const -> Hubs;
    template <typename Hash>
    [[nodiscard]] static auto keepersOf(Hash hash, const Hubs& hubs) -> std::vector<AgentLink*>;
    static auto addReports(UntoldByAgent& untold, const std::vector<decisions::CrashReport>& reports, const Hubs& hubs)
        -> void;
    static auto addWholeRuns(UntoldByAgent& untold, const decisions::CrashLedger& ledger, const Hubs& hubs, Moment now)
        -> void;

    const ReplicaDirectory& directory_;
};

} // namespace eelgrass::serving
