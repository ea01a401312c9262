#pragma once

#include "platform/PlatformClient.h"
#include "router/Configuration.h"
#include "router/Poller.h"
#include "wire/MainLoop.h"

#include <memory>
#include <optional>
#include <string>

namespace eelgrass::router {

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// An operator's change against a numbered version.
struct ConfigPatch {
    ConfigVersion base;
    /// JSON merge patch (RFC 7396).
    Json patch;
    std::string operatorName;
    /// Names this submission, so that a lost answer of the platform is settled by reading.
    std::string requestId;
};

/// Follows the accepted configuration and takes operators' patches. The version here only rises.
///
/// Each patch is a row of its own. Every hundredth version is also kept whole in the object store, so that a process
/// that starts reads one object and at most one listing, however many patches were ever accepted.
class ConfigController {
public:
    ConfigController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Polls from here on.
    auto start() -> void;
    [[nodiscard]] auto ready() const noexcept -> bool { return ready_; }
    [[nodiscard]] auto current() const noexcept -> const ConfigurationPtr& { return current_; }

    /// The new version, or why nothing changed.
    [[nodiscard]] auto submit(ConfigPatch patch) -> kj::Promise<std::variant<ConfigVersion, Error>>;
    /// The accepted patches, oldest first.
    [[nodiscard]] auto history() -> kj::Promise<Json>;

private:
    using Outcome = std::variant<ConfigVersion, Error>;

    auto poll() -> kj::Promise<void>;
    auto catchUp(ConfigVersion head) -> kj::Promise<void>;
    auto readPatch(ConfigVersion version) -> kj::Promise<void>;
    auto readPatches(ConfigVersion first) -> kj::Promise<void>;
    auto readSnapshot() -> kj::Promise<void>;
    auto keepSnapshot() -> kj::Promise<void>;
    auto apply(ConfigVersion version, const Json& patch) -> void;
    auto commit(ConfigPatch patch) -> kj::Promise<Outcome>;
    auto settle(const ConfigPatch& patch) -> kj::Promise<Outcome>;
    [[nodiscard]] auto stale(ConfigVersion base) const -> Error;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    ConfigurationPtr current_ = std::make_shared<Configuration>();
    bool ready_ = false;
    Poller poller_;
};

} // namespace eelgrass::router
