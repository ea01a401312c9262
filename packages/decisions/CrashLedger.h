#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

/// Hash of a request's content and caller, the same at every process.
using RequestDigest = StrongNumber<struct RequestDigestTag>;
/// Hash of one start of a replica.
using StartHash = StrongNumber<struct StartHashTag>;

/// What is known of a run that ended without its answer. Of two reports on one run the later kind holds.
enum class CrashEvidence : std::uint8_t {
    /// The run broke off; its replica may have crashed.
    Broke,
    /// The replica's start ended while the request ran there.
    Crashed,
    /// The request has run to its end elsewhere since.
    Cleared,
};

/// A request's run that ended without its answer, as processes tell each other.
struct CrashReport {
    RequestDigest request;
    StartHash start;
    /// Breaks of this request at this start before; such a start outlived them.
    std::uint8_t breaksBefore = 0;
    CrashEvidence evidence = CrashEvidence::Broke;
    Moment at {};
};

/// Which requests were running when replicas crashed, and which of them is the cause and refused.
///
/// Designed for a request that crashes each replica that runs it and comes again at any entry, while entries, replicas
/// and agents come and go, and for the requests that run beside it or at replicas that are killed.
///
/// Reports are facts about one start of one replica, so that every process can keep and repeat them: a report that
/// comes twice, late or from many counts once. A request with `limit` crashes since its last whole run is the cause of
/// those that nothing else explains. A crash is explained by a request that ran there too and had as many since its
/// last whole run, also if it has been cleared since; or by replicas that ended at the same moment and had no request
/// in common with this one. A request with `certainLimit` crashes is refused whatever explains them, so that two that
/// always run together do not go on for ever.
///
/// ```cpp
/// if (ledger.apply(report, now)) publish();
/// if (ledger.verdict(request, now).refused) refuse();
/// ```
class CrashLedger {
public:
    static constexpr auto limit = std::size_t(3);
    static constexpr auto certainLimit = std::size_t(5);
    /// A break counts for this long unless its replica is known to have crashed, which is known by then.
    static constexpr auto breakLifetime = Duration(10s);
    /// A request is refused for this long after its last crash; twice as long with each further one. A replica may have
    /// been mended meanwhile.
    static constexpr auto refusalTime = Duration(std::chrono::minutes(10));
    static constexpr auto retention = Duration(std::chrono::hours(2));
    static constexpr auto capacity = std::size_t(1000);

    struct Verdict {
        /// Crashes and recent breaks since the request's last whole run, and those that nothing else explains.
        std::size_t crashes = 0;
        std::size_t unexplained = 0;
        /// When the last of them happened.
        Moment last {};
        bool refused = false;
        /// Until when, if it is refused.
        Moment until {};
    };

    /// Returns whether the report says something new.
    auto apply(const CrashReport& report, Moment now) -> bool;
    /// The start has ended without a plan: runs that broke off there last were ended by a crash. Returns the reports
    /// that say so.
    auto confirm(StartHash start, Moment now) -> std::vector<CrashReport>;
    /// The request has run to its end. Returns the reports that say so.
    auto clear(RequestDigest request, Moment now) -> std::vector<CrashReport>;
    [[nodiscard]] auto verdict(RequestDigest request, Moment now) const -> Verdict;
    /// Number of breaks of the request at the start up to `before`.
    [[nodiscard]] auto breaksAt(RequestDigest request, StartHash start, Moment before) const -> std::uint8_t;
    /// All that is to be told to others.
    [[nodiscard]] auto reports(Moment now) const -> std::vector<CrashReport>;
    /// Drops what has expired. Returns whether something was dropped.
    auto expire(Moment now) -> bool;
    [[nodiscard]] auto empty() const noexcept -> bool { return requests_.empty(); }
    /// Rises with each change.
    [[nodiscard]] auto version() const noexcept -> std::uint64_t { return version_; }

private:
    /// Requests that ran at replicas which ended at one moment were cut by the same cause.
    static constexpr auto sameMoment = Duration(200ms);
    static constexpr auto clearedRetention = refusalTime;
    /// Told for this long, to those who still hold what was cleared.
    static constexpr auto clearedNewsTime = Duration(15s);
    /// What one whole run has cleared carries the same moment, but for the time that messages take.
    static constexpr auto sameClearing = Duration(500ms);
    /// Kept beyond the time that it counts, for the news that its replica has crashed.
    static constexpr auto breakRetention = 3 * breakLifetime;

    using RunKey = std::pair<StartHash, std::uint8_t>;
    struct Fact {
        CrashEvidence evidence = CrashEvidence::Broke;
        Moment at {};
    };
    using Facts = std::map<RunKey, Fact>;
    struct Start {
        Moment endedAt {};
        /// All that ran there at its end, also those that were cleared since.
        std::set<RequestDigest> requests;
    };

    [[nodiscard]] static auto counts(const Fact& fact, Moment now) noexcept -> bool;
    [[nodiscard]] static auto expired(const Fact& fact, Moment now) noexcept -> bool;
    [[nodiscard]] auto crashesOf(RequestDigest request, Moment now) const -> std::size_t;
    /// How many crashes the request has had in a row at the most, of those that it shares with the start.
    [[nodiscard]] auto crashesInARow(RequestDigest request, StartHash start, Moment now) const -> std::size_t;
    /// Whether something else than the request explains the end of the start.
    [[nodiscard]] auto explained(RequestDigest request, StartHash start, std::size_t crashes, Moment now) const -> bool;
    [[nodiscard]] auto endedTogether(const Start& start) const -> bool;
    /// Drops the request with the fewest crashes, of these the one that was heard of first.
    auto makeRoom(Moment now) -> void;

    std::map<RequestDigest, Facts> requests_;
    std::map<StartHash, Start> starts_;
    std::uint64_t version_ = 0;
};

} // namespace eelgrass::decisions
