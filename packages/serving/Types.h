#pragma once

#include "base/Clock.h"
#include "base/Endpoint.h"
#include "base/Ids.h"
#include "wire/HttpReader.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::serving {

using std::chrono::milliseconds;

using ServiceName = StrongId<struct ServiceNameTag>;
using RouteName = StrongId<struct RouteNameTag>;
/// A replica's name; it may start again under the same one, see `ReplicaStart`.
using InstanceId = StrongId<struct InstanceIdTag>;
/// When a replica started, in Unix milliseconds; 0 where it has not said.
using StartTime = StrongNumber<struct StartTimeTag>;
/// Within its base model; empty for the base model itself.
using AdapterName = AdapterId;
using BaseModel = StrongId<struct BaseModelTag>;
using Tokens = std::uint64_t;
/// What a caller shows to be known as a member. It is never logged, counted by or passed on.
using ApiKey = StrongId<struct ApiKeyTag>;

/// What may be repeated.
enum class Repeat {
    /// May run more than once.
    Idempotent,
    /// At most one run for each attempt of a client.
    Once,
};

/// What a member may have run, over all entries together.
struct Quota {
    enum class Unit { Requests, Tokens };

    Unit unit = Unit::Requests;
    /// Units for each second, and how many beside at once; a rate of 0 sets no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Tokens that a request counts for which tells none.
    double defaultTokens = 0;

    [[nodiscard]] auto limits() const noexcept -> bool { return ratePerSecond > 0; }
};

/// A customer of the deployment, known by its keys.
struct MemberRecord {
    MemberId name;
    std::vector<ApiKey> keys;
    /// Goes before the route's.
    std::optional<std::uint32_t> priority;
    Quota quota;
};

/// Where requests of one host and path prefix go, and how.
struct RouteRecord {
    struct Share {
        ServiceName service;
        std::uint32_t weight = 1;
    };

    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    Repeat repeat = Repeat::Once;
    /// The answer is a series of events.
    bool streamed = false;
    /// A broken stream may go on elsewhere after the last event that came.
    bool resumable = false;
    milliseconds timeout { 10000 };
    /// Within this the answer, or its first event, is on time.
    milliseconds latencyTarget { 1000 };
    /// Longest pause between two events of a stream that is still on time.
    milliseconds eventGapTarget { 300 };
    /// Whoever calls needs no key.
    bool isPublic = false;
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    /// Replicas that one attempt of a client may run on.
    std::uint32_t maxRuns = 1;
    std::vector<Share> shares;

    /// Whether a request that may have run may be sent again.
    [[nodiscard]] auto repeatable() const noexcept -> bool { return repeat == Repeat::Idempotent || resumable; }
};

/// What is known of the model engines behind a service.
struct EngineTraits {
    std::uint32_t batch = 1;
    Tokens memory = 0;
    std::uint32_t adapterSlots = 0;
    double weightsMiB = 0;
    /// Loads of base models that the weight store allows in a second, over all replicas.
    double loadsPerSecond = 1;
    std::vector<BaseModel> models;
};

struct ServiceRecord {
    ServiceName name;
    std::string healthPath = "/health";
    /// Connections that one replica takes from all callers together.
    std::uint32_t connectionLimit = 100;
    std::optional<EngineTraits> engine;
};

/// What a client may send, and how long it may take.
struct CallerLimits {
    wire::HttpLimits http;
    milliseconds headerTime { 10000 };
    milliseconds idleTime { 30000 };
};

/// One accepted configuration; it never changes.
struct ServingConfiguration {
    ConfigVersion version;
    std::vector<RouteRecord> routes;
    std::map<ServiceName, ServiceRecord> services;
    /// Without any, nobody needs a key.
    std::vector<MemberRecord> members;
    CallerLimits limits;
    /// As the operator wrote it, to be handed to peers.
    std::string text;
};

/// One start of a replica. What was known of an earlier start under the same name (adapters, prompts, failures,
/// leaving) says nothing of this one: it begins empty.
struct ReplicaStart {
    InstanceId instance;
    StartTime startTime;
};

/// Whether both may be the same start. A birth that was not told tells no two starts apart.
[[nodiscard]] inline auto sameStart(const ReplicaStart& left, const ReplicaStart& right) noexcept -> bool
{
    const auto told = left.startTime != StartTime() && right.startTime != StartTime();
    return left.instance == right.instance && (!told || left.startTime == right.startTime);
}

enum class ReplicaPhase { Ready, Draining };

/// How a request ended at a replica.
enum class RunEnd {
    /// It answered, or nothing can be said.
    Plain,
    /// It answered with a failure of its own.
    Failed,
    /// It broke off, or kept silent, before its first event.
    Broke,
};

/// A replica as the platform's list has it.
struct ReplicaRecord {
    ReplicaStart start;
    ServiceName service;
    Endpoint endpoint;
    AvailabilityZone zone;
    ReplicaPhase phase = ReplicaPhase::Ready;
    /// Requests at once.
    std::uint32_t slots = 1;
    bool hasBaseModel = false;
    std::map<AdapterName, AdapterVersion> adapters;
};

/// One shared part of a prompt.
struct PromptPart {
    std::string id;
    Tokens tokens = 0;
};

/// What a client said of its request.
struct RequestMetadata {
    AttemptId attempt;
    /// How long the client will wait, from its sending.
    std::optional<milliseconds> deadline;
    BaseModel model;
    AdapterName adapter;
    Tokens promptTokens = 0;
    Tokens outputTokens = 0;
    std::vector<PromptPart> prompt;
    /// The last event that the client has already.
    std::optional<std::uint64_t> lastEventId;
};

} // namespace eelgrass::serving
