#pragma once

#include "base/SettingsReader.h"
#include "decisions/SharedRetryBudget.h"
#include "serving/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// What both roles on the users' machines are told at their start.
struct HostSettings {
    std::string name;
    AvailabilityZone zone;
    /// The platform's store.
    Endpoint store;
    /// Address of this host, and the port at which agents are found on every host.
    std::string address;
    std::uint16_t agentPort = 0;
    /// Where counters and histograms are served.
    std::uint16_t metricsPort = 0;
    std::string logLevel = "INFO";
};

/// How far members may pass their quotas for a moment.
struct QuotaBounds {
    /// A share of the limit in each window, and units beside.
    double overage = 0;
    double slack = 0;
    milliseconds window { 10000 };
};

/// Settings of `--role=gateway`.
struct GatewaySettings {
    HostSettings host;
    /// Where clients, the readiness probe and other entries come in.
    Endpoint clients;
    Endpoint readiness;
    Endpoint peers;
    /// Entries to ask for what the store does not tell.
    std::vector<Endpoint> seeds;
    decisions::RetryBounds retries;
    /// Within this a replica that leaves gets nothing new, and a configuration is in force.
    milliseconds drainBound { 2000 };
    milliseconds configurationBound { 2000 };
    /// Within this a key that was taken away is out of use, also where nobody can tell of it; empty where an entry may
    /// go on by what it knows.
    std::optional<milliseconds> keyBound;
    QuotaBounds quotas;
    /// Share of a core available to this process. The entry with the largest share reads the store for its zone.
    double processorShare = 1;
    /// How long a planned stop may take.
    milliseconds grace { 8000 };
    /// What a request to a replica in another zone costs, as a time: the way there and back, and for each KiB of its
    /// body. The users pay for bytes between zones about what four milliseconds of waiting are worth to them.
    milliseconds zonePenalty { 5 };
    milliseconds zonePenaltyPerKiB { 4 };
};

/// Settings of `--role=agent`.
struct AgentSettings {
    HostSettings host;
    /// The replica on this host, and the service that it belongs to.
    Endpoint replica;
    ServiceName service;
    /// Set at the first start of the whole system, when no requests are waiting for this agent yet.
    bool firstStart = false;
    milliseconds grace { 8000 };
};

[[nodiscard]] auto parseGatewaySettings(const std::string& yaml, std::string_view file) -> Checked<GatewaySettings>;
[[nodiscard]] auto parseAgentSettings(const std::string& yaml, std::string_view file) -> Checked<AgentSettings>;

} // namespace eelgrass::serving
