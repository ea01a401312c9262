#pragma once

#include "decisions/Quarantine.h"
#include "router/Metrics.h"
#include "serving/QuotaBoard.h"
#include "serving/ReplicaAgent.h"
#include "serving/StatePublisher.h"
#include "serving/TextServer.h"
#include "wire/ConnectionSet.h"
#include "wire/generated/Agent.capnp.h"

#include <map>
#include <memory>
#include <string>

namespace eelgrass::serving {

/// `--role=agent`: the process beside a replica, which entries ask for a place there.
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
    struct Waiting {
        Session* session;
        kj::Own<kj::PromiseFulfiller<ReplicaAgent::Decision>> fulfiller;
    };

    auto decided(const AttemptId& attempt, const ReplicaAgent::Decision& decision) -> void;
    [[nodiscard]] auto figures() const -> decisions::ReplicaLoad;
    auto fillNames(wire::schema::ReplicaState::Builder state) const -> void;
    [[nodiscard]] auto namesText() const -> std::string;
    /// The entry of this zone that is to read the store for the others; the same at every agent that sees the same
    /// ones.
    [[nodiscard]] auto reader() const -> std::string;
    /// Reads the service's limits from the store if no entry has sent them: without them the replica loads no base
    /// model after a power loss.
    auto readLimits() -> void;
    auto takeLimits(const hosting::StoreAnswer& answer) -> void;
    auto learnConfiguration(std::uint64_t version, const std::string& holder,
        capnp::List<wire::schema::EngineLimits>::Reader limits) -> void;

    wire::MainLoop& loop_;
    AgentSettings settings_;
    router::Metrics metrics_;
    hosting::Store store_;
    ReplicaAgent agent_;
    std::map<AttemptId, Waiting> waiting_;
    StatePublisher publisher_;
    /// An attached entry of this zone: its peer address and its preference as the zone's reader.
    struct NearEntry {
        std::string holder;
        double readerWeight = 0;
    };
    std::map<const Session*, NearEntry> nearEntries_;
    bool limitsKnown_ = false;
    kj::Maybe<kj::Promise<void>> limitsWork_;
    Timer limitsTimer_;
    decisions::Quarantine suspects_;
    QuotaBoard quotas_;
    ConfigVersion configVersion_;
    std::string configHolder_;
    std::unique_ptr<wire::Listener> listener_;
    std::unique_ptr<TextServer> metricsServer_;
    wire::ConnectionSet connections_;
};

} // namespace eelgrass::serving
