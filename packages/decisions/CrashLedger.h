#pragma once

#include "decisions/CrashReport.h"
#include "decisions/SharedCulprits.h"
#include "decisions/WholeRuns.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace eelgrass::decisions {

/// What was running when replicas crashed, and which request, or which thing that requests share, is the cause and
/// refused.
///
/// Designed for a request that crashes each replica that runs it and comes again at any entry, and for a part of
/// prompts that does the same in requests of which no two are alike, while entries, replicas and agents come and go;
/// and for the requests that run beside them or at replicas that are killed.
///
/// Reports are facts about one run at one start of one replica, so that every process can keep and repeat them: a
/// report that comes twice, late or from many counts once. Each is booked for the request and for all that it shares
/// with others.
///
/// A request with `limit` crashes since its last whole run is the cause of those that nothing else explains. A crash is
/// explained by a request that ran there too and had as many since its last whole run, also if it has been cleared
/// since; by something shared that is a culprit, ran there, and is not held by this request; or by replicas that ended
/// at the same moment and had no request in common with this one. A request with `certainLimit` crashes that no culprit
/// explains is refused whatever else does, so that two that always run together do not go on for ever.
///
/// Something shared is the cause of what `findCulprits` says.
///
/// ```cpp
/// if (ledger.apply(report, now)) publish();
/// if (ledger.verdict(content, now).refused) refuse();
/// ```
class CrashLedger {
public:
    static constexpr auto limit = std::size_t(3);
    static constexpr auto certainLimit = std::size_t(5);
    /// A break counts for this long unless its replica is known to have crashed, which is known by then.
    static constexpr auto breakLifetime = Duration(10s);
    /// A request is refused for this long after its last crash; twice as long with each further one. Then one run of it
    /// may show whether its replicas have been mended meanwhile.
    static constexpr auto refusalTime = Duration(std::chrono::minutes(10));
    static constexpr auto retention = Duration(std::chrono::hours(2));
    static constexpr auto capacity = std::size_t(1000);
    /// Something shared is refused until one run that holds it has been whole. It is tried once after this time, and
    /// after longer the more replicas it has crashed.
    static constexpr auto firstSharedProbe = Duration(20s);
    static constexpr auto longestSharedProbe = Duration(std::chrono::hours(1));
    /// What ran whole within this time before its first crash was sound.
    static constexpr auto soundMemory = Duration(60s);
    /// Whole runs are told again when the one that others know of is older by this.
    static constexpr auto wholeRunNews = Duration(5s);

    struct Verdict {
        /// Crashes and recent breaks since the last whole run of what is refused, or of the request if nothing is; and
        /// those that nothing else explains.
        std::size_t crashes = 0;
        std::size_t unexplained = 0;
        /// When the last of them happened.
        Moment last {};
        bool refused = false;
        /// What is to blame, if it is not the request itself.
        std::vector<SharedHash> shared {};
        /// From when on one run may show whether it still crashes replicas, if it is refused.
        Moment probeFrom {};
        /// Identifies what is to blame.
        std::uint64_t key = 0;
    };
    /// What is known of something shared.
    struct Standing {
        std::size_t crashes = 0;
        std::optional<Moment> wholeRunAt {};
    };

    CrashLedger() = default;
    /// Until the end of a start has been known for `settleTime`, only the moment of its crashes counts for what is
    /// shared. The reports on one start come from many processes, and some of them alone name the wrong cause.
    explicit CrashLedger(Duration settleTime)
        : settleTime_(settleTime)
    {
    }
    CrashLedger(const CrashLedger&) = delete;
    CrashLedger(CrashLedger&&) = default;
    auto operator=(const CrashLedger&) -> CrashLedger& = delete;
    auto operator=(CrashLedger&&) -> CrashLedger& = default;
    ~CrashLedger() = default;

    /// Returns whether the report says something new.
    auto apply(const CrashReport& report, Moment now) -> bool;
    /// The same for what another process knows of whole runs.
    auto apply(const WholeRun& run, Moment now) -> bool;
    /// The start has ended without a plan: runs that broke off there last were ended by a crash, if they did from
    /// `since` on. Returns the reports that say so.
    auto confirm(StartHash start, Moment since, Moment now) -> std::vector<CrashReport>;
    auto confirm(StartHash start, Moment now) -> std::vector<CrashReport> { return confirm(start, Moment::min(), now); }
    /// The request has run to its end. Returns the reports that say so.
    auto clear(RequestDigest request, Moment now) -> std::vector<CrashReport>;
    /// A run with this has begun to write and crashed nothing, whether or not it has ended. Returns what others need to
    /// know of it.
    auto ranWhole(const std::vector<SharedHash>& shared, Moment begunAt, Moment now) -> std::vector<WholeRun>;
    [[nodiscard]] auto verdict(const RunContent& content, Moment now) const -> Verdict;
    /// Of the request alone.
    [[nodiscard]] auto verdict(RequestDigest request, Moment now) const -> Verdict;
    /// Everything for which a run with this is refused: the request itself, and each culprit that it holds.
    [[nodiscard]] auto refusals(const RunContent& content, Moment now) const -> std::vector<Verdict>;
    [[nodiscard]] auto standing(SharedHash held, Moment now) const -> Standing;
    [[nodiscard]] auto culprits(Moment now) const -> const std::vector<Culprit>&;
    /// Number of breaks of the request at the start up to `before`.
    [[nodiscard]] auto breaksAt(RequestDigest request, StartHash start, Moment before) const -> std::uint8_t;
    /// All that is to be told to others.
    [[nodiscard]] auto reports(Moment now) const -> std::vector<CrashReport>;
    /// The same for whole runs: those that others have told, and those of what the reports name.
    [[nodiscard]] auto wholeRuns(Moment now) const -> std::vector<WholeRun>;
    /// Whether a process that knows of the whole run at `known`, or of none, judges differently with this one.
    [[nodiscard]] auto isNews(const WholeRun& run, std::optional<Moment> known, Moment now) const -> bool;
    /// Drops what has expired. Returns whether something was dropped.
    auto expire(Moment now) -> bool;
    [[nodiscard]] auto settleTime() const noexcept -> Duration { return settleTime_; }
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
    /// So many leave at once when there are too many, so that a storm of reports does not rank them all each time.
    static constexpr auto dropCount = capacity / 10;
    /// So many settle times after the end of a start the reports on it are known, whoever hears of them only now.
    static constexpr auto maxSettleTimes = 3;
    /// Kept beyond the time that it counts, for the news that its replica has crashed.
    static constexpr auto breakRetention = 3 * breakLifetime;

    using RunKey = std::pair<StartHash, std::uint8_t>;
    struct Fact {
        CrashEvidence evidence = CrashEvidence::Broke;
        Moment at {};
        std::vector<SharedHash> shared {};
        bool begun = false;
    };
    using Facts = std::map<RunKey, Fact>;
    struct Start {
        Moment endedAt {};
        /// Since when the start is known here to have ended; it may only have lost connections if it is not.
        std::optional<Moment> crashKnownAt {};
        /// All that ran there at its end, also those that were cleared since.
        std::set<RequestDigest> requests;
    };

    /// How much a request matters: its crashes or those of a culprit that it holds, and the last of its own.
    using Rank = std::pair<std::size_t, Moment>;
    using Ends = std::vector<std::pair<Moment, StartHash>>;
    /// Found from the reports and whole runs up to `version`; what counts at `from` is the same until `until`.
    struct CulpritCache {
        std::uint64_t version = 0;
        Moment from {};
        Moment until {};
        /// Starts by the moment of their end.
        Ends ends;
        std::vector<Culprit> culprits;
        /// Of what was asked for since.
        std::map<SharedHash, std::size_t> crashes {};
    };

    [[nodiscard]] static auto verdictOn(const Culprit& culprit) -> Verdict;
    [[nodiscard]] static auto counts(const Fact& fact, Moment now) noexcept -> bool;
    [[nodiscard]] static auto expired(const Fact& fact, Moment now) noexcept -> bool;
    [[nodiscard]] auto crashesOf(RequestDigest request, Moment now) const -> std::size_t;
    /// How many crashes the request has had in a row at the most, of those that it shares with the start.
    [[nodiscard]] auto crashesInARow(RequestDigest request, StartHash start, Moment now) const -> std::size_t;
    [[nodiscard]] auto ends() const -> Ends;
    /// Whether all reports on the start are likely to be known.
    [[nodiscard]] auto settledAt(const Start& start) const noexcept -> Moment;
    [[nodiscard]] auto isSettled(StartHash start, Moment now) const -> bool;
    /// When the next start is settled, if that is before `until`.
    [[nodiscard]] auto nextSettled(Moment now, Moment until) const -> Moment;
    auto refreshCache(Moment now) const -> void;
    /// Crashes of runs that held this, since its last whole run; breaks are not confirmed: connections of several
    /// replicas are reset, too. A start that ended together with one where nothing held it was killed with that one.
    [[nodiscard]] auto sharedCrashes(SharedHash held, Moment now) const -> std::vector<SharedCrash>;
    [[nodiscard]] auto sharedRecords(Moment now) const -> std::vector<SharedRecord>;
    /// Whether a culprit that this run did not hold ended the start.
    [[nodiscard]] auto endedByCulprit(StartHash start, const Fact& fact, Moment now) const -> bool;
    /// Whether a crash of a run with this lies between the moments.
    [[nodiscard]] auto crashedBetween(SharedHash held, Moment from, Moment to) const -> bool;
    /// Whether the whole run clears something: reports on earlier crashes outlive it.
    [[nodiscard]] auto clearsCrashes(const WholeRun& run) const -> bool
    {
        return crashedBetween(run.held, Moment::min(), run.begunAt);
    }
    /// Whether a report names it.
    [[nodiscard]] auto isReported(SharedHash held) const -> bool { return shared_.contains(held); }
    auto noteWholeRun(SharedHash held, Moment begunAt, bool told) -> void;
    /// Takes a run that is dropped out of `shared_`.
    auto dropShared(RequestDigest request, const RunKey& key, const Fact& fact) -> void;
    /// Whether something else than the request explains the end of the start.
    [[nodiscard]] auto explained(RequestDigest request, StartHash start, std::size_t crashes, Moment now) const -> bool;
    [[nodiscard]] auto endedTogether(const Start& start) const -> bool;
    [[nodiscard]] static auto rankOf(const Facts& facts, const std::vector<Culprit>& known, Moment now) -> Rank;
    /// Whether there is room for a request that is not known. One that matters no more than what was dropped is not
    /// taken in again, each time that another process tells of it.
    [[nodiscard]] auto hasRoomFor(const CrashReport& report, Moment now) -> bool;
    /// Drops the requests that matter least.
    auto makeRoom(Moment now) -> void;

    Duration settleTime_ {};
    std::map<RequestDigest, Facts> requests_;
    std::map<StartHash, Start> starts_;
    /// The runs that held this; the facts are those of `requests_`.
    std::map<SharedHash, std::map<std::pair<RequestDigest, RunKey>, const Fact*>> shared_;
    WholeRuns wholeRuns_;
    mutable CulpritCache cache_;
    /// The rank of the most important request that was dropped.
    std::optional<Rank> dropped_;
    std::uint64_t version_ = 0;
};

} // namespace eelgrass::decisions
