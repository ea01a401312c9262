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

/// An operator's change to a specific version of the configuration.
struct ConfigPatch {
    ConfigVersion base;
    /// JSON merge patch (RFC 7396).
    Json patch;
    std::string operatorName;
    /// Identifies this submission. If the platform's answer is lost, the patch's row shows by this ID whether the
    /// submission was accepted.
    std::string requestId;
};

/// Follows the accepted configuration and submits operators' patches. The current version only increases.
///
/// Each patch is stored in its own row. A snapshot of the whole configuration is written to the object store about
/// every 100 versions. A starting process therefore reads one object and one or two listings, however many patches were
/// ever accepted.
class ConfigController {
public:
    ConfigController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Starts polling the platform.
    auto start() -> void;
    [[nodiscard]] auto ready() const noexcept -> bool { return ready_; }
    [[nodiscard]] auto current() const noexcept -> const ConfigurationPtr& { return current_; }

    /// Resolves to the new version, or to the reason why the patch was not accepted.
    [[nodiscard]] auto submit(ConfigPatch patch) -> kj::Promise<std::variant<ConfigVersion, Error>>;
    /// The accepted patches, oldest first.
    [[nodiscard]] auto history() -> kj::Promise<Json>;

private:
    using Outcome = std::variant<ConfigVersion, Error>;

    auto poll() -> kj::Promise<void>;
    auto advanceTo(ConfigVersion head) -> kj::Promise<void>;
    auto readPatch(ConfigVersion version) -> kj::Promise<void>;
    auto readPatches(ConfigVersion first) -> kj::Promise<void>;
    auto readSnapshot() -> kj::Promise<void>;
    auto writeSnapshot() -> kj::Promise<void>;
    auto apply(ConfigVersion version, const Json& patch) -> void;
    auto commit(ConfigPatch patch) -> kj::Promise<Outcome>;
    auto readOutcome(const ConfigPatch& patch) -> kj::Promise<Outcome>;
    [[nodiscard]] auto staleVersionError(ConfigVersion base) const -> Error;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    ConfigurationPtr current_ = std::make_shared<Configuration>();
    bool ready_ = false;
    Poller poller_;
};

} // namespace eelgrass::router
