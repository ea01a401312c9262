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

/// An IP address and a port. Port 0 lets the operating system choose one.
struct Endpoint {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

/// Settings that both roles have.
struct CommonSettings {
    std::string name;
    AvailabilityZone zone;
    Endpoint platform;
    /// Secret that all processes of the system share for mutual authentication. It is never logged.
    std::string secret;
    std::string logLevel = "INFO";
};

/// Settings of `--role=entry`.
struct EntrySettings {
    CommonSettings common;
    /// Address to listen on for callers, operators and the metrics scraper.
    Endpoint listen;
    /// Names of operators by the SHA-256 digest of their key. The digest is in lower-case hexadecimal.
    std::map<std::string, std::string> operatorsByKeyDigest;
    std::uint32_t bodyLimitKiB = 4096;
    /// A caller's connection is closed after this many seconds without a byte in either direction.
    std::uint32_t callerSilenceS = 60;
    /// Time that the load balancer needs to notice that this entry is not ready.
    std::uint32_t balancerDelayMs = 2000;
    /// Number of members with metrics of their own; all others share the label value `other`.
    std::uint32_t metricMembers = 100;
};

/// Settings of `--role=target`.
struct TargetSettings {
    enum class Kind { Engine, Service };

    CommonSettings common;
    /// Address to listen on for entries.
    Endpoint listen;
    /// Address to listen on for the metrics scraper.
    Endpoint metrics;
    Kind kind = Kind::Engine;
    /// Name of the base model or plain service behind this process.
    std::string serves;
    /// Address of the engine or service.
    Endpoint target;
    /// Number of adapters that the engine can hold at once.
    std::uint32_t slots = 4;
    /// Number of requests that can run at once.
    std::uint32_t batch = 8;
    /// Whether the engine refuses a request with an old fencing token.
    bool honoursFence = true;
    /// Number of requests that may wait at this process.
    std::uint32_t queueLimit = 256;
};

/// Parses and checks the text of a settings file. Reports all problems, each with `file` as the file name and with its
/// line.
///
/// ```cpp
/// auto settings = parseEntrySettings(text, "entry.yaml");
/// if (!settings.ok()) ...
/// ```
[[nodiscard]] auto parseEntrySettings(const std::string& yaml, std::string_view file) -> Checked<EntrySettings>;
[[nodiscard]] auto parseTargetSettings(const std::string& yaml, std::string_view file) -> Checked<TargetSettings>;

} // namespace eelgrass::router
