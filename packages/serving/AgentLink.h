#pragma once

#include "decisions/KnownPrefixes.h"
#include "decisions/QuotaBucket.h"
#include "decisions/SessionPlan.h"
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

/// What the process beside a replica last said of it.
struct ReplicaSnapshot {
    ReplicaStart start;
    bool usable = false;
    std::map<AdapterName, AdapterVersion> resident;
    std::set<AdapterName> loading;
    std::size_t running = 0;
    std::size_t queued = 0;
    Tokens tokensAhead = 0;
    /// Prompt tokens that wait for adapters.
    Tokens tokensWaiting = 0;
    Tokens memoryUsed = 0;
    std::size_t spareSlots = 0;
    std::size_t loadsWaiting = 0;
    /// Prompt tokens that it reads in a millisecond.
    double readRate = 0;
    /// Share of the last requests that failed or broke off there, whoever sent them.
    double failureShare = 0;
    /// The highest configuration that any entry told it of, and the entry to ask for it.
    ConfigVersion configVersion;
    std::string configHolder;
    /// The entry that reads the store for those of the agent's zone; empty for none.
    std::string reader;
    /// Entries attached there.
    std::size_t entries = 0;
    /// How often requests broke off at replicas, by their digests, as all entries told this agent.
    std::map<std::string, std::uint32_t> suspects;
    Moment receivedAt {};
};

/// A request for a place at a replica.
struct AgentAdmissionRequest {
    AttemptId attempt;
    AdapterName adapter;
    AdapterVersion version;
    Tokens promptTokens = 0;
    std::vector<decisions::SharedPrefix> shared;
    Tokens outputTokens = 0;
    std::uint32_t priority = 5;
    /// Until the first event is late, and until nobody waits for it.
    milliseconds timeUntilLate { 0 };
    milliseconds timeUntilGiveUp { 0 };
    /// Another replica can be asked, should it be late at this one.
    bool elsewhere = false;
};

struct AdmitResult {
    bool granted = false;
    /// The version that the replica holds.
    AdapterVersion version;
    milliseconds retryAfter { 0 };
    std::string reason;
    /// Not granted only because it would be late here; it would begin after `retryAfter`.
    bool late = false;
};

/// What a request counts against its member's quota.
struct QuotaCharge {
    MemberId member;
    /// Less than 0 where something is given back.
    double amount = 0;
    /// Where the rate comes from: of two agents' the newer one counts.
    ConfigVersion version;
    decisions::QuotaRate rate;
};

struct QuotaDecision {
    bool granted = false;
    milliseconds retryAfter { 0 };
    /// What is left for others.
    double level = 0;
};

/// What an entry announces to the agents it has sessions with.
struct EntryNotice {
    std::shared_ptr<const ServingConfiguration> configuration;
    /// The address at which the entry serves this configuration.
    std::string holder;
    /// Preference for this entry as its zone's reader; 0 while the store does not serve it.
    double readerWeight = 0;
};

/// An entry's session with the process beside one replica: admission there, and what it pushes about the replica.
///
/// A persistent session stays open; an on-demand session is closed when idle.
class AgentLink {
public:
    struct Hooks {
        std::function<void()> onState;
        /// An answer told the replica's figures.
        std::function<void()> onFigures;
    };
    /// Who is at this end, and whether the agent is in the same zone: others hear of it less often.
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
    /// Whether it can be asked now.
    [[nodiscard]] auto alive() const -> bool;
    /// Whether `open` may succeed: the session is on demand, and closed or opening within its time limit.
    [[nodiscard]] auto mayOpen() const -> bool;
    /// Opens the session if needed; resolves once it is alive, and is rejected if the agent cannot be reached.
    [[nodiscard]] auto open() -> kj::Promise<void>;
    /// Drops a session that is still opening when the caller's timeout expires.
    auto abandonOpening() -> void;
    [[nodiscard]] auto inSameZone() const noexcept -> bool { return caller_.sameZone; }
    /// Whether it said something after `asked`, or still has time to. An agent tells whoever asks it of its figures
    /// within half a second, also while the request waits; one that does not is frozen or cut off.
    [[nodiscard]] auto isResponsive(Moment asked) const -> bool;
    /// It did not answer: it is not asked again before its next update.
    auto markUnresponsive() -> void { state_.receivedAt = {}; }
    /// By how much its figures may be wrong: it tells what matters within that.
    [[nodiscard]] auto stateAge() const -> Duration;
    [[nodiscard]] auto state() const noexcept -> const ReplicaSnapshot& { return state_; }
    /// Rejects when the session is lost; drop the promise and call `release` to take the request back.
    [[nodiscard]] auto admit(const AgentAdmissionRequest& order) -> kj::Promise<AdmitResult>;
    auto started(const AttemptId& attempt) -> void;
    auto release(const AttemptId& attempt, RunEnd end = RunEnd::Plain) -> void;
    /// A request of this digest broke off at a replica, or ran to its end after it had.
    auto reportSuspect(const std::string& digest, bool broke) -> void;
    /// Counts a request against its member's quota, if there is credit. Rejects when the session is lost.
    [[nodiscard]] auto takeQuota(const QuotaCharge& charge) -> kj::Promise<QuotaDecision>;
    /// Another agent granted it and had `level` left, or it is given back.
    auto noteQuota(const QuotaCharge& charge, double level) -> void;
    [[nodiscard]] auto endpoint() const noexcept -> const Endpoint& { return endpoint_; }
    /// Kept, since every request of a limited member ranks all agents by it.
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
        /// Lost; waiting for the reconnect delay.
        Backoff,
    };
    [[nodiscard]] auto persistent() const noexcept -> bool { return policy_ != decisions::SessionPolicy::OnDemand; }
    [[nodiscard]] auto inUse() const -> bool;
    auto completeOpening() -> void;
    auto close() -> void;
    /// Starts the idle timer of an on-demand session.
    auto scheduleIdleClose() -> void;
    auto dropSession() -> void;
    auto connect() -> void;
    auto attach(kj::Own<wire::GlibStream> stream) -> kj::Promise<void>;
    auto lost(const std::string& reason) -> void;
    auto learn(wire::schema::ReplicaState::Reader state) -> void;
    auto learnFigures(wire::schema::ReplicaState::Reader state) -> void;
    auto learnNames(wire::schema::ReplicaState::Reader state) -> void;
    auto sendNotice(wire::schema::AgentSession::Client& client) -> void;

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
    std::map<AttemptId, AgentAdmissionRequest> granted_;
    EntryNotice notice_;
    decisions::SessionPolicy policy_ = decisions::SessionPolicy::OnDemand;
    Phase phase_ = Phase::Closed;
    Moment openingSince_ {};
    Moment usedAt_ {};
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> pendingOpens_;
    Timer retry_;
    Timer openingTimer_;
    Timer idleTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace eelgrass::serving
