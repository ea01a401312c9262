#pragma once

#include "base/Ids.h"
#include "wire/HttpClient.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::platform {

using Json = nlohmann::json;

/// A row of the platform's tables; version 0 stands for a row that is absent.
struct Row {
    std::string key;
    std::uint64_t version = 0;
    Json value;
};

/// Writes that take effect together, and only if every required row still has the version named.
struct Transaction {
    struct Condition {
        std::string key;
        std::uint64_t version = 0;
    };
    struct Write {
        std::string key;
        Json value;
    };
    std::vector<Condition> require;
    std::vector<Write> write;
    std::vector<std::string> remove;
};

/// A target as the platform lists it; the list lags.
struct HostRecord {
    TargetId target;
    AvailabilityZone zone;
    /// Base model or plain service behind it.
    std::string serves;
    /// Where its target process listens.
    std::string address;
    std::uint16_t port = 0;
    bool leaving = false;

    friend auto operator==(const HostRecord&, const HostRecord&) -> bool = default;
};

/// Client of the platform's tables, objects and host list. Every call rejects while the platform is away.
///
/// ```cpp
/// platform.commit({ .require = { { "config/head", 3 } }, .write = { ... } });
/// ```
class PlatformClient {
public:
    PlatformClient(const std::string& address, std::uint16_t port);

    [[nodiscard]] auto read(std::string key) -> kj::Promise<Row>;
    [[nodiscard]] auto list(std::string prefix) -> kj::Promise<std::vector<Row>>;
    /// False when a condition was not met. A rejection leaves open whether the writes took effect.
    [[nodiscard]] auto commit(Transaction transaction) -> kj::Promise<bool>;
    [[nodiscard]] auto putObject(std::string key, std::string data) -> kj::Promise<void>;
    /// Empty when there is no such object.
    [[nodiscard]] auto getObject(std::string key) -> kj::Promise<std::optional<std::string>>;
    /// Empty when the list is still the one that `hosts` returned last: the read is conditional (`If-None-Match`),
    /// since the whole list is a hundred bytes a host and changes far less often than it is read.
    [[nodiscard]] auto hosts() -> kj::Promise<std::optional<std::vector<HostRecord>>>;

private:
    [[nodiscard]] auto url(const std::string& path) const -> std::string { return base_ + path; }

    std::string base_;
    std::string hostsTag_;
    wire::HttpClient http_;
};

} // namespace eelgrass::platform
