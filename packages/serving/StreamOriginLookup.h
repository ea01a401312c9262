#pragma once

#include "decisions/RecentValues.h"
#include "serving/CountingAgents.h"
#include "serving/StreamOrigins.h"

#include <memory>
#include <string>

namespace eelgrass::serving {

/// Finds out where a stream began that a client resumes, at whatever entry.
///
/// The entry that passed on the first event knows, and the agent of each replica that brought an event of the stream.
/// No message is sent for this when a stream begins. An entry that does not know asks the agents, then the other
/// entries by way of two agents. If nobody knows, and the service has had one software version for as long as a stream
/// can last, the stream began at that one. This takes a list that was read after the client's request arrived, since a
/// replica of another version may have been listed a moment ago.
///
/// ```cpp
/// lookup.find(stream, query).then([](StreamOriginLookup::Answer answer) { ... });
/// ```
class StreamOriginLookup {
public:
    struct Query {
        const RouteRecord& route;
        ReplicaDirectory::CandidateQuery placement;
    };
    struct Answer {
        std::optional<StreamOrigin> origin;
        /// Who knew; empty if nobody did.
        std::string source {};
        /// How long ago it was noted there.
        Duration age {};
    };

    StreamOriginLookup(wire::MainLoop& loop, ReplicaDirectory& directory);
    KJ_DISALLOW_COPY(StreamOriginLookup);

    /// Notes where a stream began.
    auto note(const StreamId& stream, const StreamOrigin& origin, Duration keep) -> StreamOrigins::Statement;
    /// What this entry knows itself.
    [[nodiscard]] auto known(const StreamId& stream) const -> std::optional<StreamOrigins::Known>;
    /// Applies a new configuration. Streams of a route may have begun at the services that it led to before.
    auto configure(std::shared_ptr<const ServingConfiguration> configuration) -> void;
    /// Never rejects, and waits for a fraction of a second at the most.
    [[nodiscard]] auto find(const StreamId& stream, const Query& query) -> kj::Promise<Answer>;

private:
    [[nodiscard]] auto askAgents(const StreamId& stream, const Query& query) -> kj::Promise<Answer>;
    [[nodiscard]] auto askEntries(const StreamId& stream) -> kj::Promise<Answer>;
    [[nodiscard]] auto ask(const CountingAgents::Agents& agents, const StreamId& stream, bool entries)
        -> kj::Promise<Answer>;
    /// The origin that the service's only version proves; empty if there is no proof.
    [[nodiscard]] auto proveByVersions(const RouteRecord& route) -> kj::Promise<Answer>;
    [[nodiscard]] auto onlyVersion(const RouteRecord& route) const -> std::optional<StreamOrigin>;

    wire::MainLoop& loop_;
    ReplicaDirectory& directory_;
    CountingAgents agents_;
    StreamOrigins origins_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    decisions::RecentValues<RouteName, ServiceName> replacedServices_;
    std::size_t searches_ = 0;
};

} // namespace eelgrass::serving
