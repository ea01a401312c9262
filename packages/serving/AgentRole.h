#pragma once

#include "decisions/CrashLedger.h"
#include "decisions/ProbeLeases.h"
#include "decisions/RetryReserve.h"
#include "decisions/ServiceRecord.h"
#include "router/Metrics.h"
#include "serving/AttachedEntries.h"
#include "serving/KeptRateLimits.h"
#include "serving/QuotaBuckets.h"
#include "serving/ReplicaAgent.h"
#include "serving/StatePublisher.h"
#include "serving/TextServer.h"
#include "wire/ConnectionSet.h"
#include "wire/generated/Agent.capnp.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace eelgrass::serving {

/// `--role=agent`: runs on the host of a replica, admits the requests that entries want to send there, and publishes
/// the replica's state to them.
class AgentRole {
public:
    AgentRole(wire::MainLoop& loop, AgentSettings settings);
    KJ_DISALLOW_COPY(AgentRole);

    auto start() -> void;
    auto stop() -> void;
    auto reload(const AgentSettings& settings) -> void;

    [[nodiscard]] auto port() const noexcept -> std::uint16_t { return listener_->port(); }

private:
    class Door;
    class Session;
    /// Ends a session whose entry answers nothing: its machine or its connection is gone without a word, and would hold
    /// what it was granted until the kernel gives up.
    auto endSilentSession(const Session& session) -> void;
    struct PendingAdmission {
        Session* session;
        kj::Own<kj::PromiseFulfiller<ReplicaAgent::Decision>> fulfiller;
    };

    /// Throws if the role is gone.
    [[nodiscard]] static auto reach(const std::weak_ptr<AgentRole>& role) -> AgentRole&;
    auto handleDecision(const AttemptId& attempt, const ReplicaAgent::Decision& decision) -> void;
    auto handleWithdrawal(const decisions::AdmissionRequest& request) -> void;
    auto logAdmission(const char* event, const AttemptId& attempt, const ReplicaAgent::Decision& decision) const
        -> void;
    /// Counts what a request waited for, by how its wait ended.
    auto countWaits(const decisions::AdmissionWait& wait, const char* outcome) -> void;
    [[nodiscard]] auto figures() const -> decisions::ReplicaLoad;
    auto fillNames(wire::schema::ReplicaState::Builder state) const -> void;
    [[nodiscard]] auto namesFingerprint() const -> std::string;
    /// Applies what an answer said about a rate limit: of the replica on this host if `own`, otherwise of another one.
    auto applyRateLimit(const ReplicaRateLimit& limit, bool own, std::string_view source) -> void;
    [[nodiscard]] auto rateLimits() const -> std::vector<ReplicaRateLimit>;
    /// Returns the address of the entry that is to read the store for its zone. All agents to which the same entries
    /// are attached select the same entry. The result is empty if there are too few entries.
    [[nodiscard]] auto reader() const -> std::string;
    /// Reads the service's limits from the store if no entry has sent them. Without these limits the replica would not
    /// load its base model after a power loss.
    auto requestLimits() -> void;
    auto applyStoredLimits(const hosting::StoreAnswer& answer) -> void;
    auto applyConfiguration(std::uint64_t version, const std::string& holder,
        capnp::List<wire::schema::EngineLimits>::Reader limits) -> void;

    wire::MainLoop& loop_;
    AgentSettings settings_;
    router::Metrics metrics_;
    hosting::Store store_;
    ReplicaAgent agent_;
    std::map<AttemptId, PendingAdmission> pendingAdmissions_;
    std::set<Session*> sessions_;
    StatePublisher publisher_;
    /// An attached entry of this zone: its peer address and its preference as the zone's reader.
    struct SameZoneEntry {
        std::string holder;
        double readerWeight = 0;
    };
    std::map<const Session*, SameZoneEntry> sameZoneEntries_;
    bool limitsKnown_ = false;
    kj::Maybe<kj::Promise<void>> limitsWork_;
    Timer limitsTimer_;
    Timer expiryTimer_;
    decisions::CrashLedger crashes_;
    decisions::ProbeLeases probes_;
    /// What entries have told of the keys that this agent keeps.
    decisions::ServiceRecord keptService_;
    /// Of streams that ran at the replica.
    StreamOrigins origins_;
    AttachedEntries attachedEntries_;
    QuotaBuckets quotas_;
    KeptRateLimits keptRateLimits_;
    decisions::RetryReserve<ServiceName> retryReserve_;
    ConfigVersion configVersion_;
    std::string configHolder_;
    std::unique_ptr<wire::Listener> listener_;
    std::unique_ptr<TextServer> metricsServer_;
    wire::ConnectionSet connections_;
    /// Through which sessions and doors reach the role. Expires first, before the connections and what sessions use.
    std::shared_ptr<AgentRole> self_ { this, [](AgentRole*) {} };
};

} // namespace eelgrass::serving
