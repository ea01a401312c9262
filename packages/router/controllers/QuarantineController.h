#pragma once

#include "decisions/Quarantine.h"
#include "platform/PlatformClient.h"
#include "wire/MainLoop.h"
#include "wire/generated/Peer.capnp.h"

#include <set>
#include <string>

namespace eelgrass::router {

/// Keeps count of requests that crash engines, and shares it: suspects with the states that target processes push,
/// culprits by rows `quarantine/<digest>` that every entry reads.
class QuarantineController {
public:
    QuarantineController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Follows the platform's rows from here on.
    auto start() -> void;
    /// An engine died while it ran this request, started at a count of `before`. True when it is refused from here on.
    auto recordCrash(const std::string& digest, std::uint32_t before) -> bool;
    auto recordSuccess(const std::string& digest) -> void { quarantine_.succeeded(digest); }
    /// A suspect that is sent many times at once runs one at a time from this entry. False: not yet.
    [[nodiscard]] auto tryStart(const std::string& digest) -> bool { return running_.insert(digest).second; }
    auto finish(const std::string& digest) -> void { running_.erase(digest); }
    auto update(wire::schema::TargetState::Reader state) -> void;

    [[nodiscard]] auto crashes(const std::string& digest) const -> std::uint32_t { return quarantine_.crashes(digest); }
    [[nodiscard]] auto isQuarantined(const std::string& digest) const -> bool { return quarantine_.refused(digest); }

private:
    auto poll() -> kj::Promise<void>;
    auto keep(const std::string& digest) -> void;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    decisions::Quarantine quarantine_;
    std::set<std::string> running_;
    bool polling_ = false;
    Timer timer_;
};

} // namespace eelgrass::router
