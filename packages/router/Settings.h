#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "base/SettingsReader.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass::router {

/// An IP address and a port; port 0 lets the kernel choose.
struct Endpoint {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

/// What both roles are told at their start.
struct CommonSettings {
    std::string name;
    AvailabilityZone zone;
    Endpoint platform;
    /// Shared by all of the system's processes; never logged.
    std::string secret;
    std::string logLevel = "INFO";
};

/// Settings of `--role=entry`.
struct EntrySettings {
    CommonSettings common;
    /// Where callers, operators and the metrics reader come in.
    Endpoint listen;
    /// Operators by the digest of their key.
    std::map<std::string, std::string> operatorsByKeyDigest;
    std::uint32_t bodyLimitKiB = 4096;
    /// After this long without a byte either way a caller's connection is closed.
    std::uint32_t callerSilenceS = 60;
    /// How long the balancer takes to notice that this entry is not ready.
    std::uint32_t balancerDelayMs = 2000;
    /// Members with metrics of their own; the rest share one bucket.
    std::uint32_t metricMembers = 100;
};

/// Settings of `--role=target`.
struct TargetSettings {
    enum class Kind { Engine, Service };

    CommonSettings common;
    /// Where entries come in.
    Endpoint listen;
    Endpoint metrics;
    Kind kind = Kind::Engine;
    /// Base model or plain service behind this process.
    std::string serves;
    Endpoint target;
    std::uint32_t slots = 4;
    std::uint32_t batch = 8;
    /// Whether the engine refuses an order with an old fencing number.
    bool honoursFence = true;
    std::uint32_t queueLimit = 256;
};

/// Reads and checks a whole file; `file` names it in the problems.
///
/// ```cpp
/// auto settings = parseEntrySettings(text, "entry.yaml");
/// if (!settings.ok()) ...
/// ```
[[nodiscard]] auto parseEntrySettings(const std::string& yaml, std::string_view file) -> Checked<EntrySettings>;
[[nodiscard]] auto parseTargetSettings(const std::string& yaml, std::string_view file) -> Checked<TargetSettings>;

} // namespace eelgrass::router
