#pragma once

#include "decisions/CrashLedger.h"
#include "decisions/KnownPrefixes.h"
#include "decisions/QuotaBucket.h"
#include "decisions/RetryReserve.h"
#include "decisions/ServiceClaims.h"
#include "decisions/SessionPlan.h"
#include "serving/RateLimitMessages.h"
#include "serving/StreamOrigins.h"
#include "serving/Types.h"
#include "wire/Door.h"
#include "wire/MainLoop.h"
#include "wire/generated/Agent.capnp.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// The state of a replica as its agent last reported it.
struct ReplicaSnapshot {
    ReplicaStart start;
    bool usable = false;
    std::map<AdapterName, AdapterVersion> resident;
    std::set<AdapterName> loading;
    std::size_t running = 0;
    std::size_t queued = 0;
    Tokens tokensAhead = 0;
    /// Prompt tokens of requests that wait for their adapters.
    Tokens tokensWaiting = 0;
    Tokens memoryUsed = 0;
    std::size_t spareSlots = 0;
    std::size_t loadsWaiting = 0;
    /// Prompt tokens that the replica reads per millisecond.
    double readRate = 0;
    /// Share of the recent requests that failed or broke off at the replica, from any entry; 0 to 1.
    double failureShare = 0;
    /// Time from `receivedAt` until a request may be sent under the replica's rate limit.
    milliseconds permitWait { 0 };
    /// The highest configuration version that any entry reported to the agent, and the address of an entry that serves
    /// it.
    ConfigVersion configVersion;
    std::string configHolder;
    /// The entry that reads the store on behalf of the entries in the agent's zone; empty for none.
    std::string reader;
    /// Number of entries attached to the agent.
    std::size_t entries = 0;
    /// Runs that ended without their answers, as this agent keeps them for all entries.
    std::vector<decisions::CrashReport> crashes;
    /// Whole runs of what crashed runs held, as this agent keeps them.
    std::vector<decisions::WholeRun> wholeRuns;
    /// The replica's last start before this one that the agent has seen; empty for none. It is over, or could not be
    /// reached any more.
    ReplicaStart lostStart;
    bool lostIsOver = false;
    /// The replica has said that it leaves.
    bool leaving = false;
    /// Until when the replica wants nothing from the agent's host.
    Moment hostRestUntil {};
    Moment receivedAt {};
};

/// Asks an agent for permission to send a request to its replica.
struct AgentAdmissionRequest {
    AttemptId attempt;
    AdapterName adapter;
    RouteName route;
    /// What the request shares with others, with what this entry knows of their service.
    decisions::RequestedKeys keys {};
    /// Identifies the last part that the prompt shares with others; 0 for none.
    std::uint64_t sharedPart = 0;
    /// Identifies the client's session together with the adapter; 0 for none.
    std::uint64_t session = 0;
    /// The lowest version that may run, and the moment after which it was named, if that is known.
    AdapterVersion version;
    std::optional<Moment> versionNamedAfter {};
    Tokens promptTokens = 0;
    std::vector<decisions::SharedPrefix> shared;
    Tokens outputTokens = 0;
    std::uint32_t priority = 5;
    /// Time until the first event misses the latency target, and until the client stops waiting.
    milliseconds timeUntilLate { 0 };
    milliseconds timeUntilGiveUp { 0 };
    /// Whether the entry can ask another replica if this one would miss the latency target.
    bool elsewhere = false;
};

struct AdmitResult {
    bool granted = false;
    /// The adapter version that the replica holds.
    AdapterVersion version;
    milliseconds retryAfter { 0 };
    std::string reason;
    /// The agent refused the request only because it would miss its latency target at this replica, where it could
    /// start after `retryAfter`.
    bool late = false;
    /// The newest version of the request's adapter that any entry has told the agent of, and the moment after which it
    /// was named; empty if no entry has told it of one.
    struct Named {
        AdapterVersion version;
        std::optional<Moment> namedAfter {};
    };
    std::optional<Named> named {};
};

/// The amount that a request counts against its member's quota.
struct QuotaCharge {
    MemberId member;
    /// Negative for a refund.
    double amount = 0;
    /// Version of the configuration that sets `rate`. An agent applies the rate of the highest version it has received.
    ConfigVersion version;
    decisions::QuotaRate rate;
};

struct QuotaDecision {
    bool granted = false;
    milliseconds retryAfter { 0 };
    /// Credit that remains for other requests.
    double level = 0;
};

/// The agent that has granted a permit; whether it did so in place of another one.
struct PermitKeeper {
    Endpoint agent;
    bool standIn = false;
};

/// Whether a request may be sent to a replica with a rate limit.
struct PermitDecision {
    bool granted = false;
    /// When to ask again, for this request or another one.
    milliseconds askAgainAfter { 0 };
    /// Empty if the permit is from this entry's own share.
    std::optional<PermitKeeper> keeper {};
};

/// Data that an entry announces to every agent with which it has a session.
struct EntryNotice {
    std::shared_ptr<const ServingConfiguration> configuration;
    /// The address at which the entry serves this configuration.
    std::string holder;
    /// Preference for this entry as its zone's reader; 0 while the store does not serve it.
    double readerWeight = 0;
};

/// An entry's session with the agent of one replica. The session carries admission requests to the agent, and updates
/// of the replica's state to the entry.
///
/// A persistent session stays open; an on-demand session is closed when idle.
class AgentLink {
public:
    struct Hooks {
        std::function<void()> onState;
        /// Called when the answer to an admission request contains the replica's load figures.
        std::function<void()> onFigures;
        /// Called when the agent has published names, which have changed.
        std::function<void()> onNames;
        /// Called with the rate limits that the agent publishes, when its names have changed.
        std::function<void(const std::vector<ReplicaRateLimit>&)> onRateLimits;
        /// Returns what this entry knows of the replica's rate limit; a new agent process is told it.
        std::function<std::optional<ReplicaRateLimit>()> knownRateLimit;
        /// Returns where a stream began, if this entry knows; the agent asks on behalf of other entries.
        std::function<std::optional<StreamOrigins::Known>(const StreamId&)> knownOrigin;
    };
    /// The entry at this end. Agents send updates less often to entries of other zones.
    struct Caller {
        std::string entry;
        AvailabilityZone zone {};
        bool sameZone = true;
    };

    AgentLink(wire::MainLoop& loop, Endpoint endpoint, Caller caller, Hooks hooks);
    ~AgentLink();
    KJ_DISALLOW_COPY(AgentLink);

    /// Opens the session if the policy is persistent, and lets it be closed when idle otherwise.
    auto setSessionPolicy(decisions::SessionPolicy policy) -> void;
    [[nodiscard]] auto isHub() const noexcept -> bool { return policy_ == decisions::SessionPolicy::Hub; }
    /// Whether this entry keeps the session open, rather than opening it for a request.
    [[nodiscard]] auto persistent() const noexcept -> bool { return policy_ != decisions::SessionPolicy::OnDemand; }
    /// Whether the session is open and the agent's last update is recent.
    [[nodiscard]] auto alive() const -> bool;
    /// Whether the agent seems to be gone for good: this entry keeps trying to reach it, and has had no update from it
    /// for long.
    [[nodiscard]] auto seemsGone() const -> bool;
    /// Time since the agent was last heard of; 0 while it is alive.
    [[nodiscard]] auto awayFor() const -> Duration;
    /// Whether `open` may succeed: the session is on demand, and closed or opening within its time limit.
    [[nodiscard]] auto mayOpen() const -> bool;
    /// Opens the session if needed; resolves once it is alive, and is rejected if the agent cannot be reached.
    [[nodiscard]] auto open() -> kj::Promise<void>;
    /// Called when a timeout expires: drops the session if it is still opening.
    auto abandonOpening() -> void;
    [[nodiscard]] auto inSameZone() const noexcept -> bool { return caller_.sameZone; }
    /// Whether the agent has sent an update since `asked`, or its time limit for one has not passed yet. An agent sends
    /// its load figures to an entry within half a second of the entry's request, even while the request waits; an agent
    /// that does not is frozen or unreachable.
    [[nodiscard]] auto isResponsive(Moment asked) const -> bool;
    /// Marks the agent as not responding: it is not asked for admission or quota before its next update.
    auto markUnresponsive() -> void { state_.receivedAt = {}; }
    /// Upper bound on how far the load figures are out of date, since the agent publishes significant changes within a
    /// fixed time.
    [[nodiscard]] auto stateAge() const -> Duration;
    [[nodiscard]] auto state() const noexcept -> const ReplicaSnapshot& { return state_; }
    /// Time until a request that arrives at the agent now may be sent under the replica's rate limit.
    [[nodiscard]] auto permitWait() const -> Duration;
    /// Asks for admission. The promise is rejected when the session is lost; to withdraw the request, drop the promise
    /// and call `release`.
    [[nodiscard]] auto admit(const AgentAdmissionRequest& admission) -> kj::Promise<AdmitResult>;
    /// Reports the first event of a run. `origin` tells where its stream began, if the stream may continue elsewhere.
    auto started(const AttemptId& attempt, const std::optional<StreamOrigins::Statement>& origin) -> void;
    /// Asks where a stream began. Empty if the agent does not know, nor one of the entries attached to it, if they are
    /// to be asked. The promise is rejected when the session is lost.
    [[nodiscard]] auto findStreamOrigin(const StreamId& stream, bool askEntries)
        -> kj::Promise<std::optional<StreamOrigins::Known>>;
    auto release(const AttemptId& attempt, RunEnd end = RunEnd::Plain) -> void;
    /// Tells the agent of runs that ended without their answers, and of whole runs of what those held.
    auto noteCrashes(const std::vector<decisions::CrashReport>& crashes,
        const std::vector<decisions::WholeRun>& wholeRuns = {}) -> void;
    /// Tells that a request with these keys ended, served or not.
    auto noteService(const std::vector<decisions::ServiceKey>& keys, bool served) -> void;
    /// What entries have told the agent of these keys.
    [[nodiscard]] auto findService(const std::vector<decisions::ServiceKey>& keys)
        -> kj::Promise<decisions::RequestedKeys>;
    /// Asks for the probe of what is refused. The promise is rejected when the session is lost.
    [[nodiscard]] auto takeProbe(std::uint64_t key) -> kj::Promise<bool>;
    /// Counts a request against its member's quota if there is credit. The promise is rejected when the session is
    /// lost.
    [[nodiscard]] auto takeQuota(const QuotaCharge& charge) -> kj::Promise<QuotaDecision>;
    /// Reports a refund, or a charge that another agent granted; `level` is the credit that remained at that agent.
    auto noteQuota(const QuotaCharge& charge, double level) -> void;
    /// Reports what an answer said about a rate limit: of the agent's replica if `own`, or of one whose permits it
    /// keeps.
    auto noteRateLimit(const ReplicaRateLimit& limit, bool own) -> void;
    /// Asks for a permit to send a request to a replica whose permits the agent keeps. The promise is rejected when the
    /// session is lost.
    [[nodiscard]] auto takePermit(const ReplicaRateLimit& limit, std::uint32_t priority, bool standIn)
        -> kj::Promise<PermitDecision>;
    /// Gives back a permit for a request that is not sent after all.
    auto returnPermit(const ReplicaRateLimit& limit, bool standIn) -> void;
    /// Sets how many shares of each service's retry reserve this entry takes the agent to keep, and tells the agent.
    auto setRetryShares(std::size_t shares) -> void;
    [[nodiscard]] auto retryShares() const noexcept -> std::size_t { return retryShares_; }
    /// Asks for a retry from the reserve. The promise is rejected when the session is lost.
    [[nodiscard]] auto takeRetry(const ServiceName& service, const decisions::ReserveTerms& terms)
        -> kj::Promise<decisions::ReserveDecision>;
    /// Reports for how long the agent's replica wants nothing from the host that both processes are on.
    auto noteHostRest(const ReplicaStart& start, Duration length) -> void;
    /// Reports that the agent's replica has said that it leaves.
    auto noteLeaving(const ReplicaStart& start) -> void;
    [[nodiscard]] auto endpoint() const noexcept -> const Endpoint& { return endpoint_; }
    /// Hash of the endpoint, cached because each request of a member with a quota ranks all agents by it.
    [[nodiscard]] auto endpointHash() const noexcept -> std::uint64_t { return endpointHash_; }
    /// Sends the notice now and on every new session.
    auto notify(const EntryNotice& notice) -> void;

private:
    class Listener;
    enum class Phase {
        Closed,
        /// Connecting, or waiting for the agent's first state update.
        Opening,
        Open,
        /// The session was lost, and the reconnect delay has not passed yet.
        Backoff,
    };
    [[nodiscard]] auto inUse() const -> bool;
    auto completeOpening() -> void;
    auto close() -> void;
    /// Starts the idle timer of an on-demand session.
    auto scheduleIdleClose() -> void;
    auto dropSession() -> void;
    auto connect() -> void;
    auto attach(kj::Own<wire::GlibStream> stream) -> kj::Promise<void>;
    auto handleSessionLoss(const std::string& reason) -> void;
    /// Begins to look whether bytes still come from the agent.
    auto watchSilence() -> void;
    auto checkSilence() -> void;
    auto applyState(wire::schema::ReplicaState::Reader state) -> void;
    auto applyFigures(wire::schema::ReplicaState::Reader state) -> void;
    auto applyNames(wire::schema::ReplicaState::Reader state) -> void;
    /// Calls `use` with the session's client, if there is one.
    template <typename Use> auto withClient(Use&& use) -> void;
    auto sendNotice(wire::schema::AgentSession::Client& client) -> void;
    auto sendRateLimit(wire::schema::AgentSession::Client& client, const ReplicaRateLimit& limit, bool own) -> void;

    struct Session {
        Session(kj::Own<wire::GlibStream> stream)
            : connection(kj::mv(stream))
        {
        }
        wire::Connection connection;
        kj::Maybe<wire::schema::AgentSession::Client> client;
    };

    wire::MainLoop& loop_;
    Endpoint endpoint_;
    std::uint64_t endpointHash_;
    Caller caller_;
    Hooks hooks_;
    std::unique_ptr<Session> session_;
    kj::Maybe<kj::Promise<void>> work_;
    ReplicaSnapshot state_;
    /// A request that runs at the replica, and where its stream began.
    struct Granted {
        AgentAdmissionRequest admission;
        std::optional<StreamOrigins::Statement> origin {};
    };
    std::map<AttemptId, Granted> granted_;
    EntryNotice notice_;
    std::size_t retryShares_ = 0;
    decisions::SessionPolicy policy_ = decisions::SessionPolicy::OnDemand;
    Phase phase_ = Phase::Closed;
    /// When the agent's last update arrived; before the first one, when this link was made.
    Moment lastHeardAt_ {};
    Moment openingSince_ {};
    Moment usedAt_ {};
    /// When bytes had last come at the last check of the open session, and for how many checks none have.
    Moment heardAtLastCheck_ {};
    unsigned silentChecks_ = 0;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> pendingOpens_;
    Timer retryTimer_;
    Timer openingTimer_;
    Timer idleTimer_;
    Timer silenceTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

template <typename Use> auto AgentLink::withClient(Use&& use) -> void
{
    if (!session_)
        return;
    KJ_IF_MAYBE (client, session_->client)
        use(*client);
}

} // namespace eelgrass::serving
