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
/// A replica's instance name. A replica may restart under the same name; see `ReplicaStart`.
using InstanceId = StrongId<struct InstanceIdTag>;
/// When a replica started, in Unix milliseconds; 0 if unknown.
using StartTime = StrongNumber<struct StartTimeTag>;
/// An adapter's name within its base model; empty for the base model itself.
using AdapterName = AdapterId;
using BaseModel = StrongId<struct BaseModelTag>;
using Tokens = std::uint64_t;
/// The key by which a client is identified as a member. It is never logged, used in metrics or forwarded.
using ApiKey = StrongId<struct ApiKeyTag>;

/// Whether a request may be run again.
enum class Repeat {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    Once,
};

/// The requests or tokens that a member may use, over all entries together.
struct Quota {
    enum class Unit { Requests, Tokens };

    Unit unit = Unit::Requests;
    /// The rate in units per second, and the burst: the number of units that may be used at once beyond that rate. A
    /// rate of 0 sets no limit.
    double ratePerSecond = 0;
    double burst = 0;
    /// Tokens counted for a request that does not state its token count.
    double defaultTokens = 0;

    [[nodiscard]] auto limits() const noexcept -> bool { return ratePerSecond > 0; }
};

/// A customer of the deployment, identified by its keys.
struct MemberRecord {
    MemberId name;
    std::vector<ApiKey> keys;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;
    Quota quota;
};

/// The services that requests for one host and path prefix are sent to, and the rules that apply to them.
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
    /// The answer is a stream of events.
    bool streamed = false;
    /// A broken stream may be resumed at another replica after the last event received.
    bool resumable = false;
    milliseconds timeout { 10000 };
    /// Target for the time until the answer, or the first event of a stream, reaches the client.
    milliseconds latencyTarget { 1000 };
    /// Target for the longest gap between two events of a stream.
    milliseconds eventGapTarget { 300 };
    /// Clients need no key.
    bool isPublic = false;
    /// The last part of a prompt names the client's session.
    bool sticky = false;
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    /// How many replicas one attempt of a client may run on.
    std::uint32_t maxRuns = 1;
    std::vector<Share> shares;

    /// Whether a request that may already have run may be sent again.
    [[nodiscard]] auto repeatable() const noexcept -> bool { return repeat == Repeat::Idempotent || resumable; }
};

/// Properties of the model engines behind a service.
struct EngineTraits {
    std::uint32_t batch = 1;
    Tokens memory = 0;
    std::uint32_t adapterSlots = 0;
    double weightsMiB = 0;
    /// Base model loads per second that the weight store allows, over all replicas.
    double loadsPerSecond = 1;
    std::vector<BaseModel> models;
};

struct ServiceRecord {
    ServiceName name;
    std::string healthPath = "/health";
    /// Connections that one replica accepts from all callers together.
    std::uint32_t connectionLimit = 100;
    std::optional<EngineTraits> engine;
};

/// Limits on the size of a client's requests, on the time to receive their headers and on idle time.
struct CallerLimits {
    wire::HttpLimits http;
    milliseconds headerTime { 10000 };
    milliseconds idleTime { 30000 };
};

/// An accepted configuration; immutable.
struct ServingConfiguration {
    ConfigVersion version;
    std::vector<RouteRecord> routes;
    std::map<ServiceName, ServiceRecord> services;
    /// If empty, no client needs a key.
    std::vector<MemberRecord> members;
    CallerLimits limits;
    /// The operator's document, passed on to peers unchanged.
    std::string text;
};

/// One start of a replica. Nothing known about an earlier start under the same name (adapters, prompts, failures,
/// draining) applies to this one, which begins empty.
struct ReplicaStart {
    InstanceId instance;
    StartTime startTime;
};

/// Whether both may be the same start. An unknown start time matches any other.
[[nodiscard]] inline auto sameStart(const ReplicaStart& left, const ReplicaStart& right) noexcept -> bool
{
    const auto told = left.startTime != StartTime() && right.startTime != StartTime();
    return left.instance == right.instance && (!told || left.startTime == right.startTime);
}

enum class ReplicaPhase { Ready, Draining };

/// How a run of a request ended at a replica.
enum class RunEnd {
    /// The replica answered, or nothing is known about the outcome.
    Plain,
    /// The replica answered with an error of its own, or turned the request away and asked for rest.
    Failed,
    /// The connection broke, or the replica stayed silent, before the first event.
    Broke,
    /// The request was granted and not sent after all.
    Unsent,
};

/// A replica as the platform's list describes it.
struct ReplicaRecord {
    ReplicaStart start;
    ServiceName service;
    Endpoint endpoint;
    AvailabilityZone zone;
    SoftwareVersion software;
    ReplicaPhase phase = ReplicaPhase::Ready;
    /// Number of concurrent requests.
    std::uint32_t slots = 1;
    bool hasBaseModel = false;
    std::map<AdapterName, AdapterVersion> adapters;
};

/// A part of a prompt that other prompts may share.
struct PromptPart {
    std::string id;
    Tokens tokens = 0;
};

/// The stream that a request resumes, as stated by the client.
struct ResumedStream {
    /// The client's attempt that brought the stream's first event; empty if the client names none, or several.
    AttemptId attempt;
    /// Id of the last event that the client has received.
    std::optional<std::uint64_t> lastEventId;
};

/// Metadata of a request, as stated by the client in the request headers.
struct RequestMetadata {
    AttemptId attempt;
    /// How long the client will wait, counted from when it sent the request.
    std::optional<milliseconds> deadline;
    BaseModel model;
    AdapterName adapter;
    Tokens promptTokens = 0;
    Tokens outputTokens = 0;
    std::vector<PromptPart> prompt;
    /// Set if the client resumes a stream that an earlier attempt has begun.
    std::optional<ResumedStream> resumed;
};

} // namespace eelgrass::serving
