#pragma once

#include "base/Subscribers.h"
#include "decisions/CrashLedger.h"
#include "router/Metrics.h"
#include "serving/ContentNames.h"
#include "serving/CrashNews.h"
#include "serving/CrashProbes.h"
#include "serving/RefusalLog.h"
#include "serving/ReplicaDirectory.h"
#include "serving/ReplicaRun.h"
#include "serving/RequestContent.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

using decisions::CrashReport;
using decisions::RequestDigest;
using ContentPtr = std::shared_ptr<const RequestContent>;

/// Finds the requests that crash the replicas that run them, and the parts of prompts and versions of adapters that do
/// so in any request, together with all other entries.
///
/// The end of a run and the end of its replica's start are two facts, which come in any order and by different ways:
/// this entry follows its runs until they are answered, and the starts of replicas by the platform's list and by their
/// agents. A run that got no answer, whoever ended it and why, at a start that ended without a plan while it ran, is a
/// crash. For its request, a run that breaks off before its first event counts at once, until it is clear whether its
/// replica has crashed: a request comes again sooner than that. For what it shares with others, only a crash counts.
///
/// Reports are told to agents, which publish them to all entries. Every process keeps what it hears, and every entry
/// tells again what an agent does not state, so that no report is lost with those who had it first.
class SuspectRequests {
public:
    SuspectRequests(wire::MainLoop& loop, const ReplicaDirectory& directory, router::Metrics& metrics)
        : loop_(loop)
        , directory_(directory)
        , metrics_(metrics)
        , probes_(loop, directory)
        , news_(directory)
        , refusals_(loop, ledger_, names_, metrics)
    {
    }

    /// The request is about to be written to the replica of `run`.
    auto runBegan(const ContentPtr& content, const AttemptId& attempt, const std::shared_ptr<ReplicaRun>& run) -> void;
    /// The replica has given its whole answer, so that the request did not crash it. Only the answer to a request that
    /// has run to its end clears it, and what it shares with others, of earlier crashes. An answer that ended with its
    /// connection does so once the replica has been heard of again.
    auto runAnswered(const ReplicaRun& run, bool clears) -> void;
    /// The replica has sent an event. A stream that has gone on for long shows that what it holds crashes no replica.
    auto runWentOn(const RequestContent& content, ReplicaRun& run) -> void;
    /// The replica's connection broke off. `begun`: the client had a part of the stream before.
    auto runBroke(const ReplicaRun& run, bool begun) -> void;
    /// The run ended for any other reason; nothing if it has ended already.
    auto runLeft(const ReplicaRun& run) -> void;

    /// A start is listed; the one before it at this address is over.
    auto startListed(const Replica& replica) -> void;
    /// A start is not listed any more, or known to be over, and has not left by plan.
    auto startGone(const Replica& replica, bool over) -> void
    {
        startEnded(replica.record().start, over ? StartEnd::Over : StartEnd::Unlisted, "list");
    }
    /// Applies what an agent has published of crashes and of the earlier start of its replica.
    auto applyPublished(const AgentLink& agent) -> void;

    /// Whether the request is refused when it comes. Once the refusal has lasted, it may be the probe that is sent all
    /// the same.
    [[nodiscard]] auto refusesNew(const RequestContent& content, const AttemptId& attempt) -> bool;
    /// Whether the request is refused at any later step.
    [[nodiscard]] auto isRefused(const RequestContent& content, const AttemptId& attempt) const -> bool;
    /// Told when something is refused from now on, for requests that wait.
    auto onRefusal() noexcept -> Subscribers& { return refusals_.onRefusal(); }
    [[nodiscard]] auto verdict(const RequestContent& content) const -> decisions::CrashLedger::Verdict;
    /// What is known of the parts of a request, in the order of the prompt, as log lines say it.
    struct PartsKnown {
        std::string parts;
        /// Crashes since the last whole run of a request with the part.
        std::string crashes;
        /// How long ago that run began; `-` if none is known.
        std::string wholeRunMs;
    };
    [[nodiscard]] auto partsKnown(const RequestContent& content) const -> PartsKnown;
    /// Remembers what the hashes stand for, for logs and metrics.
    auto learnNames(const RequestContent& content) -> void { names_.learn(content); }

private:
    enum class StartEnd {
        /// Another start has its address.
        Over,
        /// It is not listed any more. It may still serve what it has.
        Unlisted,
        /// Its agent gets no answer. It may only pause for long.
        Unreachable,
    };
    /// A run whose replica may turn out to have crashed under it.
    struct OpenRun {
        ContentPtr content;
        /// Identifies the run; it may be gone once `endedAt` is set.
        const ReplicaRun* run = nullptr;
        std::weak_ptr<const ReplicaRun> progress;
        ReplicaPtr replica;
        Moment begunAt {};
        std::optional<Moment> endedAt {};
        /// When its start left the list while it ran.
        std::optional<Moment> unlistedAt {};
        /// When the replica was last heard of for this run, and for how long the stream had brought events then.
        Moment heardAt {};
        Duration streamedFor {};
        bool hadEvents = false;
        /// Whether the answer is whole unless the replica crashed: it ended with its connection.
        bool answered = false;
        /// When the answer began.
        Moment answerBegunAt {};
    };
    using OpenRuns = std::vector<OpenRun>;

    // By then the end of the run's start is known: hosts that go dark are not listed any more after some seconds.
    static constexpr auto openRunTime = Duration(30s);
    /// An agent finds within this that its replica is gone.
    static constexpr auto breakBeforeLoss = Duration(3s);
    static constexpr auto startMemory = Duration(120s);
    static constexpr auto maxOpenRuns = std::size_t(4000);
    /// A request crashes replicas as they begin to run it; a stream that has brought events for this long does not.
    static constexpr auto provenStreamTime = Duration(2s);
    static constexpr auto repeatInterval = Duration(1s);
    /// What entries and agents need to tell each other of one crash.
    static constexpr auto crashSettleTime = Duration(500ms);

    [[nodiscard]] auto now() const -> Moment { return loop_.timers().now(); }
    auto startEnded(const ReplicaStart& start, StartEnd end, std::string_view source) -> void;
    [[nodiscard]] auto findRun(const ReplicaRun& run) -> OpenRun*;
    /// The run was whole.
    auto clear(const RequestContent& content, const ReplicaPtr& replica, Moment answerBegunAt) -> void;
    /// Whether nothing more is to be learnt of the run; tells what has been.
    [[nodiscard]] auto settled(const OpenRun& run) -> bool;
    auto removeRun(const ReplicaRun& run) -> void;
    [[nodiscard]] static auto streamedFor(const ReplicaRun& run) -> Duration;
    [[nodiscard]] static auto hadEvents(const OpenRun& run) -> bool;
    /// Counts the run as ended by a crash, or as broken off if that is not clear.
    auto count(const OpenRun& run, decisions::CrashEvidence evidence, std::string_view source) -> void;
    /// Why the end of its start is no crash under the run; empty if it is.
    [[nodiscard]] auto excuse(const OpenRun& run) const -> std::string_view;
    auto tell(const std::vector<CrashReport>& reports) -> void;
    auto tell(const std::vector<decisions::WholeRun>& runs) -> void;
    /// Tells agents what they should state and do not, and looks for what has changed with time.
    auto repeat() -> void;
    /// Drops what is too old, and runs whose replicas have outlived them.
    auto forget() -> void;
    [[nodiscard]] auto waitsForNews() const -> bool;
    auto startRepeating() -> void;
    auto note(std::string_view event, std::string_view outcome, const OpenRun& run, std::string_view why) const -> void;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    router::Metrics& metrics_;
    decisions::CrashLedger ledger_ { crashSettleTime };
    CrashProbes probes_;
    CrashNews news_;
    ContentNames names_;
    RefusalLog refusals_;
    std::map<decisions::StartHash, OpenRuns> runs_;
    std::size_t runCount_ = 0;
    /// Starts that are over, and since when that is known.
    std::map<decisions::StartHash, Moment> over_;
    /// The start that was last listed at each address.
    std::map<std::string, ReplicaStart> listedAt_;
    Timer repeatTimer_;
};

/// Hash of one start, the same at every process.
[[nodiscard]] auto hashOf(const ReplicaStart& start) -> decisions::StartHash;

} // namespace eelgrass::serving
