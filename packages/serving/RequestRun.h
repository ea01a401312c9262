#pragma once

#include "decisions/ReplicaChoice.h"
#include "platform/AnswerHeaders.h"
#include "platform/RequestHeaders.h"
#include "serving/CallerExchange.h"
#include "serving/GatewayContext.h"
#include "serving/ReplicaRun.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace eelgrass::serving {

/// Handles one attempt of a client, from the complete request to the end of its answer: routing, replica choice,
/// admission, sending, relaying the answer, and retries after failures.
///
/// Registered callbacks hold references to the object, which is destroyed once the last of them is dropped.
class RequestRun : public std::enable_shared_from_this<RequestRun> {
public:
    RequestRun(GatewayContext& gateway, std::shared_ptr<CallerExchange> caller, wire::HttpRequestMessage request);
    auto start() -> void;

private:
    /// How much of the answer has been written to the client.
    enum class Delivered { Nothing, Part, Everything };

    // Steps before the request is sent.
    [[nodiscard]] auto readRequest() -> bool;
    auto setTimes() -> void;
    /// Identifies the member by the request's key. Returns false if the request was rejected, because the key is
    /// unknown or the configuration is too old to check it.
    [[nodiscard]] auto authenticate() -> bool;
    /// Checks the key against the current configuration before each send. Returns false if the request was rejected.
    [[nodiscard]] auto keyStillValid() -> bool;
    /// What a check of the request's key rested on.
    struct KeyCheck {
        ConfigVersion version;
        Duration age {};
        Confirmation confirmation;

        [[nodiscard]] auto ageText() const -> std::string;
    };
    auto noteKeyCheck() -> void;
    auto takeQuota() -> void;
    auto onQuotaDecision(const QuotaCharge& charge, const QuotaDecision& decision) -> void;
    [[nodiscard]] auto priority() const -> std::uint32_t;
    // Streams that have brought an event.
    /// The stream that this request is part of, over all attempts of its client.
    [[nodiscard]] auto streamId() const -> StreamId;
    /// Whether a stream that has brought an event, in this answer or in one that the client resumes, may continue at
    /// the replica. Every way to a replica ends in this question, like that of `mayRunOn`.
    [[nodiscard]] auto mayContinueAt(const Replica& replica) const -> bool;
    /// Whether a replica is left at which the stream may continue.
    [[nodiscard]] auto canContinue() const -> bool;
    /// Finds out where the stream that the client resumes began.
    auto findOrigin() -> void;
    auto onOrigin(const StreamOriginLookup::Answer& answer) -> void;
    auto refuseStream(std::string_view why) -> void;
    auto onFirstEventOfRun() -> void;
    auto logResumed(const StreamOriginLookup::Answer& answer) const -> void;
    /// Logs and counts that a stream continues with an event from `replica_`.
    auto noteContinued() const -> void;

    auto place() -> void;
    auto proceedAtReplica() -> void;
    /// Opens the session with the chosen replica's agent before asking for admission.
    auto openSession() -> void;
    auto sessionOpened() -> void;
    auto sessionFailed() -> void;
    struct Choice {
        ReplicaPtr replica;
        /// Expected wait until the request starts at `replica`, estimated from the data that this entry has.
        Duration start {};
    };
    [[nodiscard]] auto chooseReplica() -> std::optional<Choice>;
    /// Whether the replica can take this request: it is usable and has not been tried.
    [[nodiscard]] auto isEligible(const Replica& replica, Moment now) const -> bool;
    /// Whether the replica is eligible and has not refused the request because it would start late.
    [[nodiscard]] auto isCandidate(const Replica& replica, Moment now) const -> bool;
    [[nodiscard]] auto viewOf(const ReplicaPtr& replica, Duration fastest, double readRate) const
        -> decisions::ReplicaView;
    auto waitForPlace() -> void;
    /// When a replica can be tried that is at rest or has no permit now.
    struct Opening {
        ReplicaPtr replica;
        Moment at {};
        /// Whether the replica's rest is what lasts until then.
        bool rests = false;
    };
    /// The first opening of a replica that this request has not tried; empty if one of them can be tried without
    /// waiting for its opening.
    [[nodiscard]] auto nextOpening() const -> std::optional<Opening>;
    auto waitForOpening(const Opening& opening) -> void;
    /// When the first replica of the service ends its rest; empty if one is not at rest.
    [[nodiscard]] auto firstEndOfRests() const -> std::optional<Moment>;
    auto watchReplica() -> void;
    auto onReplicaClosed() -> void;
    /// Asks for a permit to send to a replica with a rate limit, where no agent of its own admits the request.
    auto requestPermit() -> void;
    auto onPermitDecision(const PermitDecision& decision) -> void;
    /// Gives back the permit of a request that is not sent after all.
    auto returnPermit() -> void;
    auto admit() -> void;
    auto onAdmitResult(const AdmitResult& result) -> void;
    /// Called when the replica refused admission because the request would start late. Moves the request to a replica
    /// that is expected to start it sooner, if there is one.
    auto onLateRefusal(const AdmitResult& result) -> void;
    auto checkAgent() -> void;
    auto abandonAdmission(std::string_view why) -> void;
    /// Sends the request to `replica_`, on the version of its adapter that the replica holds.
    auto send() -> void;
    /// Prepares a run at `replica_`, which starts when its connection stands.
    auto prepareRun(std::shared_ptr<ReplicaConnection> connection) -> void;
    /// Head of the request as `replica_` is to get it.
    [[nodiscard]] auto forwardedHead() const -> std::string;
    /// Called right before the request is written to `replica_`: ends the silent run before it, if there is one.
    auto startRun() -> void;
    /// Whether a request may run on this version of its adapter, 0 if the replica does not hold it. Every way to a
    /// replica ends in this question: when it is chosen, when the request is sent, and when a connection to it stands.
    [[nodiscard]] auto mayRunOn(AdapterVersion version) const -> bool;
    /// Sets what a run on this version of the adapter would hold.
    auto setContent(AdapterVersion version) -> void;
    [[nodiscard]] auto noAgentCanLoad() const -> bool;
    /// Whether the next send may go out now; counts it if it is a retry. If not, the reserve has been asked, and the
    /// send goes on with the answer.
    [[nodiscard]] auto chargeSend() -> bool;
    auto askRetryReserve() -> void;
    auto onReserveVerdict(const RetryVerdict& verdict, Moment askedAt) -> void;
    /// Whether a retry that was granted then still counts for the window in which it would reach its replica.
    [[nodiscard]] auto grantUsable(const std::optional<Moment>& grantedAt) const -> bool;

    // The replica's answer.
    auto onHead(const wire::HttpResponseHead& head) -> void;
    auto onBody(std::string_view bytes) -> void;
    /// Notes that the current run's replica has sent something, which ends a search for another one.
    auto noteHeard() -> void;
    auto pauseRun() -> void;
    auto resumeRun() -> void;
    auto onEvents(std::string_view bytes) -> void;
    auto forwardEvent(const StreamEvent& event) -> bool;
    auto onDone() -> void;
    auto onStreamDone() -> void;
    auto onAnsweredNotRun() -> void;
    auto onFault(ReplicaFault fault) -> void;
    auto onNotRun(const ReplicaPtr& replica, std::string_view why) -> void;
    auto onNotReached() -> void;
    auto onWithheld() -> void;
    /// Ends the request, which crashes the replicas that run it.
    auto refuseAsCrashing() -> void;
    /// A reason as metrics and as log lines name it.
    struct WithheldReason {
        const char* label;
        std::string_view text;
    };
    /// Why the request is not sent to `replica_`, if it is not: the one gate before every send. `rests` is whether the
    /// replica's rest keeps it away.
    [[nodiscard]] auto withheldReason(bool rests) const -> std::optional<WithheldReason>;
    /// The same for a request that was given to a connection, now that the connection stands.
    [[nodiscard]] auto withheldFromWrite() const -> std::optional<WithheldReason>;
    auto countWithheld(const WithheldReason& reason) -> void;
    /// Whether the request, or something that it holds, crashes the replicas that run it.
    [[nodiscard]] auto isCrashing() const -> bool;
    /// Refuses the request while it waits, as soon as it is known to crash replicas.
    auto watchRefusals() -> void;
    auto onRefusal() -> void;
    auto startSilenceTimer() -> void;

    // Replacing a silent run. It goes on while a replica is searched that takes the request from it, and ends when the
    // request is about to be written there.
    [[nodiscard]] auto running() const noexcept -> bool { return run_ && run_->connection; }
    auto onSilence() -> void;
    /// Whether the replica of the current run, which is silent, is silent towards the other requests of this entry too.
    /// A replica that pauses is, while one that answers others has lost the run.
    [[nodiscard]] auto replicaIsSilent(Moment now) const -> bool;
    /// The latest moment to search another replica, so that the client gets an event or its answer before it gives up.
    [[nodiscard]] auto latestSearch() const -> Moment;
    auto searchReplacement() -> void;
    /// Whether the replica may take the request from the current run, whose replica is silent.
    [[nodiscard]] auto mayTakeOver(const Replica& replica, Moment now) const -> bool;
    /// Whether the current run goes on although the search for another replica has failed. If so, the search is
    /// repeated later.
    [[nodiscard]] auto keepsRun(std::string_view why) -> bool;
    /// Ends the search: releases the admission, the permit and the connection that it has or waits for.
    auto withdrawSearch() -> void;
    /// Drops the prepared run, whose request was not written.
    auto dropPrepared(RunEnd end) -> void;

    // Retries.
    [[nodiscard]] auto mayRunAgain() const -> bool;
    auto retry(std::string_view why) -> void;
    /// Retries after the current run has ended, unless a search has begun already. `why` ends the request if it may not
    /// run again.
    auto retryAfterRun(std::string_view reason, std::string_view why) -> void;
    /// Ends the current run.
    auto releaseRun(bool keepConnection, RunEnd end = RunEnd::Plain) -> void;

    // Ending the request.
    auto onTimeUp() -> void;
    auto onStop() -> void;
    auto onStopEnds() -> void;
    /// Lets the request end with the stop of the entry, if its own time is longer.
    auto limitToStop() -> void;
    /// Whether the request's next end is that of the entry's stop.
    [[nodiscard]] auto endsWithStop() const -> bool { return ownEndAt_ && nextEnd() == endAt_; }
    /// Ends the request: it cannot be answered before the entry's stop ends.
    auto refuseForStop() -> void;
    auto onCallerGone() -> void;
    auto refuse(std::string_view why, milliseconds retryAfter) -> void;
    auto refuseWith(int status, std::string_view why, std::optional<milliseconds> retryAfter) -> void;
    auto fail(int status, std::string_view why) -> void;
    auto giveUp(std::string_view why) -> void;
    /// Releases what the request holds, and logs and counts its outcome. `status` is 0 if the client got none.
    auto finish(int status, std::string_view outcome, std::string_view why) -> void;
    /// Identifies the last shared prefix of the prompt together with the adapter; empty if there is none.
    [[nodiscard]] auto prefixText() const -> std::string;
    [[nodiscard]] auto sessionText() const -> std::string;
    /// What the request shares with others.
    [[nodiscard]] auto serviceKeys() const -> std::vector<decisions::ServiceKey>;
    /// Records whether a request with these keys was served, for the order in which others are.
    auto recordService(std::string_view outcome, int status) -> void;
    auto noteServed() -> void;
    [[nodiscard]] auto mustAskServiceKeeper() const -> bool;
    /// Learns what all entries know of the service of the request's keys, and goes on at the chosen replica.
    auto askServiceKeeper() -> void;
    /// Records whether the request's adapter, shared prefix and route were served.
    auto recordServedDemand(std::string_view outcome, int status, std::string_view why) const -> void;
    /// Logs a decision on the request and `replica_`.
    auto logDecision(std::string_view event, std::string_view why) const -> void;
    auto logDecision(std::string_view event, std::string_view why, const ReplicaPtr& replica) const -> void;
    /// Logs and counts what becomes of the current run, whose replica is silent.
    auto noteSilentRun(std::string_view event, std::string_view metric, std::string_view why) const -> void;
    /// Logs and counts that the current run ended without its whole answer.
    auto noteUnanswered(std::string_view how) const -> void;
    /// Logs and counts a decision on a retry, with what the retry budget stood at.
    auto noteRetry(const RetryVerdict& verdict) const -> void;
    /// Logs a send with the version that it expects, who decided on that version, and what this entry knows.
    auto logSend() const -> void;
    [[nodiscard]] auto knownVersion() const -> const KnownVersion&;
    /// Reports a run on an older version than the one that this entry knows.
    auto checkAnsweredVersion() -> void;
    [[nodiscard]] auto timeLeft() const -> Duration;
    /// Until when the answer has to begin or, if it has, to end.
    [[nodiscard]] auto nextEnd() const -> Moment { return firstEventSeen_ ? endAt_ : firstEventBy_; }
    /// Whether a run at `replica_` has a chance to answer in time.
    [[nodiscard]] auto hasTimeToRun() const -> bool;
    auto startDeadlineTimer() -> void;
    auto watchCaller() -> void;
    [[nodiscard]] auto stage() const -> CallerStage;
    /// Logs and counts that the end of the entry's stop ends the request.
    auto noteCutOff() const -> void;
    /// How long after the begin of the entry's stop the request was whole, negative before it; empty without a stop.
    [[nodiscard]] auto afterStopText() const -> std::string;
    /// Whether the client resumes a stream that an earlier attempt has begun.
    [[nodiscard]] auto resumesStream() const -> bool
    {
        return route_ && route_->resumable && metadata_.resumed.has_value();
    }
    [[nodiscard]] auto sharedTokens() const -> Tokens
    {
        return sharedPrefixes_.empty() ? 0 : sharedPrefixes_.back().tokens;
    }
    [[nodiscard]] auto zonePenalty() const -> Duration;
    /// Timer callback that keeps this object alive while it runs: finishing the request may drop the last reference.
    [[nodiscard]] auto guarded(void (RequestRun::*step)()) -> std::function<void()>;

    GatewayContext& gateway_;
    std::shared_ptr<CallerExchange> caller_;
    wire::HttpRequestMessage request_;
    RequestMetadata metadata_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    const RouteRecord* route_ = nullptr;
    /// The member that sent the request; null where no key is required.
    const MemberRecord* member_ = nullptr;
    /// The last check of its key; empty if it needs none.
    std::optional<KeyCheck> keyCheck_;
    /// The charge granted against the member's quota.
    std::optional<QuotaCharge> charged_;
    ServiceName service_;
    Moment beganAt_ {};
    /// When the request had been read whole.
    Moment readAt_ {};
    Moment lateAt_ {};
    /// When the request ends, whatever it has.
    Moment endAt_ {};
    /// When it would end by its own time; empty unless the end of the entry's stop comes first.
    std::optional<Moment> ownEndAt_;
    /// When a request without a part of its answer ends: in time for a failure to reach the client, and before a client
    /// that has received no event of its stream is assumed to disconnect.
    Moment firstEventBy_ {};
    /// What a run of this request holds; the same at every entry.
    ContentPtr content_;
    /// The version of the adapter that `content_` names.
    AdapterVersion contentVersion_;
    /// Prefixes of the prompt that other requests may share, each ending with one more part.
    std::vector<decisions::SharedPrefix> sharedPrefixes_;
    /// Identifies the client's session together with the adapter; 0 for none.
    /// The last part of the prompt that others on the route share; 0 for none.
    std::uint64_t lastSharedPart_ = 0;
    std::uint64_t session_ = 0;
    /// What all entries know of the service of the request's keys; empty if nobody was asked.
    std::optional<decisions::RequestedKeys> knownService_;
    bool servedNoted_ = false;

    /// The latest run that was started. It is forwarded to the client while it has its connection.
    std::shared_ptr<ReplicaRun> run_;
    /// The run that `send` has prepared, while its connection is being made.
    std::shared_ptr<ReplicaRun> prepared_;
    /// Whether a replica is being searched for the request.
    bool searching_ = false;
    /// The replica that the search has chosen. Until the request is written there, the current run may be elsewhere.
    ReplicaPtr replica_;
    std::set<InstanceId> tried_;
    /// Replicas that the request was written to.
    std::set<InstanceId> ranAt_;
    /// Replicas that refused the request because it would start late. Of these, `soonestReplica_` announced the
    /// earliest start.
    std::set<InstanceId> lateReplicas_;
    std::uint32_t lateRedirects_ = 0;
    ReplicaPtr soonestReplica_;
    Moment soonestStart_ {};
    kj::Maybe<kj::Promise<void>> admission_;
    /// Number of admissions requested so far; an answer with an older number belongs to an abandoned admission.
    std::uint32_t admissionCount_ = 0;
    AgentLink* admittingAgent_ = nullptr;
    /// The permit to send the request to `replica_`, if an agent other than its own has granted one.
    std::optional<PermitDecision> permit_;
    /// While the request waits at `replica_`: told when that wants no more requests.
    Subscribers::Subscription replicaClosed_;
    Subscribers::Subscription refusals_;
    /// When the pending admission was requested.
    Moment admissionAskedAt_ {};
    /// The version of its adapter that the agent of `replica_` has granted the request.
    std::optional<AdapterVersion> grantedVersion_;
    /// The version that `replica_` is to run the request on; 0 for the base model.
    AdapterVersion runVersion_;
    std::optional<std::uint64_t> lastEventId_;
    bool firstEventSeen_ = false;
    /// Where the stream began; empty until it has brought an event that the client has.
    std::optional<StreamOrigin> origin_;
    std::uint32_t sends_ = 0;
    /// When the retry budget granted the next send, if it has.
    std::optional<Moment> retryGrantedAt_;
    /// When it granted the current send; empty for the first send.
    std::optional<Moment> sendGrantedAt_;
    /// Runs that were started, without those that their replicas answered as not run.
    std::uint32_t runs_ = 0;
    /// Runs that were given up for their silence.
    std::uint32_t givenUp_ = 0;
    /// Events that were passed on to the client.
    std::uint64_t forwarded_ = 0;
    Moment firstEventAt_ {};
    Moment lastForwardedAt_ {};
    /// Longest time between two events of the stream.
    Duration longestPause_ {};
    Delivered delivered_ = Delivered::Nothing;
    bool finished_ = false;
    Timer deadlineTimer_;
    Timer silenceTimer_;
    Timer waitTimer_;
};

} // namespace eelgrass::serving
