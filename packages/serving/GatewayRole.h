#pragma once

#include "serving/GatewayContext.h"
#include "serving/GatewayStop.h"
#include "serving/KeyOutage.h"
#include "serving/PeerQueries.h"
#include "serving/ReaderLink.h"
#include "serving/RequestRun.h"
#include "serving/TextServer.h"
#include "wire/ConnectionSet.h"
#include "wire/generated/Agent.capnp.h"

#include <map>
#include <memory>
#include <optional>

namespace eelgrass::serving {

/// `--role=gateway`: accepts requests from clients and forwards them to replicas. A gateway process is called an entry.
///
/// On a planned stop the gateway reports itself not ready, so that the platform sends no new connections. Connections
/// that arrive anyway are served. Each answer closes its connection, idle connections are closed once the platform must
/// have noticed the stop, and the process ends with its last request.
class GatewayRole {
public:
    GatewayRole(wire::MainLoop& loop, GatewaySettings settings);
    /// Aborts the connections that are open, since an open request and its connection hold each other.
    ~GatewayRole();
    KJ_DISALLOW_COPY(GatewayRole);

    auto start() -> void;
    auto stop() -> void;
    /// Applies those settings that may change while the process runs, after the settings file has been read again.
    auto reload(const GatewaySettings& settings) -> void;

    [[nodiscard]] auto clientPort() const noexcept -> std::uint16_t { return clients_->port(); }
    [[nodiscard]] auto readinessPort() const noexcept -> std::uint16_t { return readiness_->port(); }
    [[nodiscard]] auto peerPort() const noexcept -> std::uint16_t { return peers_->port(); }
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto directory() const noexcept -> const ReplicaDirectory& { return directory_; }
    [[nodiscard]] auto serviceKeepers() noexcept -> ServiceKeepers& { return serviceKeepers_; }
    /// The entry that reads the store on behalf of this one; empty if this entry reads for itself.
    [[nodiscard]] auto reader() const noexcept -> const std::optional<Endpoint>& { return reader_.reader(); }
    [[nodiscard]] auto configuration() const noexcept -> const ConfigurationFollower& { return configuration_; }

private:
    class Peer;
    auto accept(wire::ObjectPtr<GSocket> socket) -> void;
    auto onConfiguration() -> void;
    auto onState(Replica& replica) -> void;
    auto countEntries() -> void;
    /// If the store does not supply a current configuration or list, asks a peer for them.
    auto askPeers() -> void;
    /// Returns whether the configuration is confirmed later than before.
    auto applyPeerAnswer(ReaderLink::Answer answer, const Endpoint& peer, Moment asked) -> bool;
    /// Chooses the entry that reads the store for this zone, by the votes of the zone's agents, and sets this entry's
    /// role.
    auto chooseReader() -> void;
    auto fillVersions(ReaderLink::Query query) const -> void;
    auto fillReaderQuery(ReaderLink::Query query) const -> void;
    auto applyReaderAnswer(ReaderLink::Answer answer, const Endpoint& reader, Moment asked) -> void;
    auto applyList(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void;
    auto applyConfiguration(ReaderLink::Answer answer, Moment asked, const std::string& peer) -> void;
    /// Records in a metric that a change came into force at this entry, `age` after it was read from the store.
    auto observeInForce(const std::string& what, Duration age) -> void;
    /// Peers to ask when the store is unreachable: the seeds from the settings, and the readers of the zones.
    [[nodiscard]] auto peersToAsk() const -> std::vector<Endpoint>;
    [[nodiscard]] auto needsKeys() const -> bool { return !configuration_.members().empty(); }

    wire::MainLoop& loop_;
    GatewaySettings settings_;
    router::Metrics metrics_;
    DeferredCalls deferred_;
    hosting::Store store_;
    ConfigurationFollower configuration_;
    ReplicaDirectory directory_;
    SuspectRequests suspects_;
    MemberQuotas quotas_;
    RateLimits rateLimits_;
    ReplicaAvailability availability_;
    UnknownFields unknownFields_;
    StreamOriginLookup origins_;
    RetryBudgets retryBudgets_;
    ServedDemand servedDemand_;
    ServiceKeepers serviceKeepers_;
    GatewayContext gateway_;
    KeyOutage keyOutage_;
    GatewayStop::Connections connections_;
    std::unique_ptr<wire::TcpListener> clients_;
    std::unique_ptr<TextServer> readiness_;
    std::unique_ptr<TextServer> metricsServer_;
    std::unique_ptr<wire::Listener> peers_;
    wire::ConnectionSet peerSessions_;
    PeerQueries peerQueries_;
    ReaderLink reader_;
    decisions::SharedReading readIntervals_;
    /// Hash of the adapter versions that the reader last sent.
    std::uint64_t readerVersionsHash_ = 0;
    bool directoryStarted_ = false;
    Moment peerAskedAt_ {};
    /// When another entry was first seen to have a newer configuration; empty while no such entry is known.
    std::optional<Moment> behindSince_;
    Timer peerCheckTimer_;
    /// Null until the entry is told to stop.
    std::unique_ptr<GatewayStop> stop_;
};

} // namespace eelgrass::serving
