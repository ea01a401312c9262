#pragma once

#include "base/SettingsReader.h"
#include "decisions/EarnedRetries.h"
#include "serving/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// Settings that both roles on the users' machines have in common.
struct HostSettings {
    std::string name;
    AvailabilityZone zone;
    /// The platform's store.
    Endpoint store;
    /// Address of this host, and the port on which agents listen on every host.
    std::string address;
    std::uint16_t agentPort = 0;
    /// Port on which metrics are served; 0 disables them.
    std::uint16_t metricsPort = 0;
    std::string logLevel = "INFO";
    /// Set at the first start of the whole deployment: no other process has done anything before.
    bool firstStart = false;
};

/// How far members may temporarily exceed their quotas.
struct QuotaBounds {
    /// The excess allowed in each window: `overage` is a fraction of the limit, and `slack` a number of units in
    /// addition.
    double overage = 0;
    double slack = 0;
    milliseconds window { 10000 };
};

/// Settings of an entry, which is a process with `--role=gateway`.
struct GatewaySettings {
    HostSettings host;
    /// Addresses on which clients, the readiness probe and other entries connect.
    Endpoint clients;
    Endpoint readiness;
    Endpoint peers;
    /// Other entries, which are asked for data that the store does not provide.
    std::vector<Endpoint> seeds;
    decisions::RetryBounds retries;
    /// Time limits until a draining replica receives no more new requests, and until a new configuration is in force.
    milliseconds drainBound { 2000 };
    milliseconds configurationBound { 2000 };
    /// Time limit until a revoked key stops working, even at an entry that cannot learn of the revocation. Empty if
    /// such an entry may continue with its current configuration.
    std::optional<milliseconds> keyBound;
    QuotaBounds quotas;
    /// Share of a core available to this process. The entry with the largest share reads the store for its zone.
    double processorShare = 1;
    /// How long a planned stop may take.
    milliseconds grace { 8000 };
    /// Cost of a request to a replica in another zone, as time: for the round trip, and per KiB of body. The traffic
    /// charge per KiB between zones is worth about four milliseconds of waiting to the deployment's operators.
    milliseconds zonePenalty { 5 };
    milliseconds zonePenaltyPerKiB { 4 };
};

/// Settings of an agent, which is a process with `--role=agent`.
struct AgentSettings {
    HostSettings host;
    /// The replica on this host, and the service it belongs to.
    Endpoint replica;
    ServiceName service;
    /// At the first start, when no requests are waiting yet, the agents spread their first writes to the store over
    /// this time.
    milliseconds firstWriteSpread { 3000 };
    milliseconds grace { 8000 };
};

[[nodiscard]] auto parseGatewaySettings(const std::string& yaml, std::string_view file) -> Checked<GatewaySettings>;
[[nodiscard]] auto parseAgentSettings(const std::string& yaml, std::string_view file) -> Checked<AgentSettings>;

} // namespace eelgrass::serving
