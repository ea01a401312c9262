#pragma once

#include "decisions/Quarantine.h"
#include "router/Metrics.h"
#include "serving/ReplicaAgent.h"
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
    /// Tells the entries of this zone, or those of all others.
    auto push(bool near) -> void;
    auto pushSoon() -> void;
    /// One entry's session, and what it was last told of all but the numbers.
    struct Listening {
        wire::schema::ReplicaListener::Client client;
        bool near = true;
        std::string told;
    };

    auto fillNumbers(wire::schema::ReplicaState::Builder state) const -> void;
    auto fillNames(wire::schema::ReplicaState::Builder state) const -> void;
    /// Stands for everything that `fillNames` tells: equal texts, equal names.
    [[nodiscard]] auto namesText() const -> std::string;
    auto learnConfiguration(std::uint64_t version, const std::string& holder,
        capnp::List<wire::schema::EngineLimits>::Reader limits) -> void;

    wire::MainLoop& loop_;
    AgentSettings settings_;
    router::Metrics metrics_;
    hosting::Store store_;
    ReplicaAgent agent_;
    std::map<AttemptId, Waiting> waiting_;
    std::map<Session*, Listening> listeners_;
    decisions::Quarantine suspects_;
    ConfigVersion configVersion_;
    std::string configHolder_;
    std::unique_ptr<wire::Listener> listener_;
    std::unique_ptr<TextServer> metricsServer_;
    wire::ConnectionSet connections_;
    Timer heartbeat_;
    Timer farHeartbeat_;
    Timer soon_;
    Timer farSoon_;
};

} // namespace eelgrass::serving
