#pragma once

#include "serving/GatewayContext.h"
#include "serving/ReaderLink.h"
#include "serving/RequestRun.h"
#include "serving/TextServer.h"
#include "wire/ConnectionSet.h"
#include "wire/generated/Agent.capnp.h"

#include <map>
#include <memory>
#include <optional>

namespace eelgrass::serving {

/// `--role=gateway`: clients in front, replicas behind.
///
/// A planned stop: not ready any more, so that the platform sends no new connections; what comes all the same is
/// served, each answer closes its connection, idle connections are closed once the platform must have noticed, and the
/// process ends with its last request.
class GatewayRole {
public:
    GatewayRole(wire::MainLoop& loop, GatewaySettings settings);
    KJ_DISALLOW_COPY(GatewayRole);

    auto start() -> void;
    auto stop() -> void;
    /// The settings file may have changed.
    auto reload(const GatewaySettings& settings) -> void;

    [[nodiscard]] auto clientPort() const noexcept -> std::uint16_t { return clients_->port(); }
    [[nodiscard]] auto readinessPort() const noexcept -> std::uint16_t { return readiness_->port(); }
    [[nodiscard]] auto peerPort() const noexcept -> std::uint16_t { return peers_->port(); }
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto directory() const noexcept -> const ReplicaDirectory& { return directory_; }
    /// The entry that reads the store for this one; empty where it reads for itself.
    [[nodiscard]] auto reader() const noexcept -> const std::optional<Endpoint>& { return reader_.reader(); }
    [[nodiscard]] auto configuration() const noexcept -> const ConfigurationFollower& { return configuration_; }

private:
    class Peer;
    auto accept(wire::ObjectPtr<GSocket> socket) -> void;
    auto onConfiguration() -> void;
    auto onState(const ReplicaSnapshot& state) -> void;
    auto countEntries() -> void;
    auto askPeer(const Endpoint& peer, std::string_view why) -> void;
    /// Where the store does not tell enough, one peer after another.
    auto askPeers() -> void;
    auto learnFromPeer(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void;
    /// The entry that reads the store for this zone, by what the zone's agents say.
    auto findReader() -> void;
    auto askReader(ReaderLink::Question question) -> void;
    auto learnFromReader(ReaderLink::Answer answer, const Endpoint& reader, Moment asked) -> void;
    auto learnList(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void;
    auto learnConfiguration(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void;
    /// Records that what another entry read `age` ago is in force here.
    auto inForce(const std::string& what, Duration age) -> void;
    /// Where to ask when the store does not tell: the settings' entries, and those that read for their zones.
    [[nodiscard]] auto peersToAsk() const -> std::vector<Endpoint>;
    auto endIfIdle() -> void;

    wire::MainLoop& loop_;
    GatewaySettings settings_;
    router::Metrics metrics_;
    DeferredCalls deferred_;
    hosting::Store store_;
    ConfigurationFollower configuration_;
    ReplicaDirectory directory_;
    SuspectRequests suspects_;
    MemberQuotas quotas_;
    GatewayContext gateway_;
    std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
    std::unique_ptr<wire::TcpListener> clients_;
    std::unique_ptr<TextServer> readiness_;
    std::unique_ptr<TextServer> metricsServer_;
    std::unique_ptr<wire::Listener> peers_;
    wire::ConnectionSet peerSessions_;
    ReaderLink reader_;
    decisions::SharedReading sharing_;
    /// The reader's number for the adapter versions that it last sent.
    std::uint64_t readersVersions_ = 0;
    std::size_t nextPeer_ = 0;
    bool asking_ = false;
    bool directoryStarted_ = false;
    Moment askedAt_ {};
    /// Since when an entry is known to have a newer configuration.
    std::optional<Moment> behindSince_;
    bool stopping_ = false;
    Moment stopBegan_ {};
    Timer timer_;
    Timer stopTimer_;
};

} // namespace eelgrass::serving
