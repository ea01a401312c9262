#pragma once

#include "decisions/Quarantine.h"
#include "platform/PlatformClient.h"
#include "wire/MainLoop.h"
#include "wire/generated/Peer.capnp.h"

#include <set>
#include <string>

namespace eelgrass::router {

/// Counts the engine crashes of each request and shares the counts. Target processes include their suspects in the
/// state that they push to entries; quarantined requests are stored in rows `quarantine/<digest>`, which every entry
/// reads.
class QuarantineController {
public:
    QuarantineController(wire::MainLoop& loop, platform::PlatformClient& platform);

    /// Starts polling the platform's rows.
    auto start() -> void;
    /// Records that an engine died while it ran this request, whose crash count was `before` when it started. Returns
    /// `true` if the request is refused from now on.
    auto recordCrash(const std::string& digest, std::uint32_t before) -> bool;
    auto recordSuccess(const std::string& digest) -> void { quarantine_.succeeded(digest); }
    /// Starts a run of a suspect request; returns `false` if this entry already runs the request. Simultaneous sends of
    /// a suspect request thus run one at a time.
    [[nodiscard]] auto tryStart(const std::string& digest) -> bool { return running_.insert(digest).second; }
    /// Ends the run that `tryStart` began.
    auto finish(const std::string& digest) -> void { running_.erase(digest); }
    /// Takes over the crash counts that a target process reports.
    auto update(wire::schema::TargetState::Reader state) -> void;

    [[nodiscard]] auto crashes(const std::string& digest) const -> std::uint32_t { return quarantine_.crashes(digest); }
    [[nodiscard]] auto isQuarantined(const std::string& digest) const -> bool { return quarantine_.refused(digest); }

private:
    auto poll() -> kj::Promise<void>;
    auto persist(const std::string& digest) -> void;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    decisions::Quarantine quarantine_;
    std::set<std::string> running_;
    bool polling_ = false;
    Timer timer_;
};

} // namespace eelgrass::router
