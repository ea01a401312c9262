#pragma once

#include "decisions/Placer.h"
#include "platform/PlatformClient.h"
#include "router/entry/TargetLink.h"
#include "wire/MainLoop.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace eelgrass::router {

/// The targets as this entry knows them: the platform's list, what sessions report, and a link to each that is used.
class TargetsController {
public:
    TargetsController(wire::MainLoop& loop, platform::PlatformClient& platform, std::string secret, std::string name);

    /// Follows the platform's list from here on.
    auto start() -> void;
    [[nodiscard]] auto ready() const noexcept -> bool { return ready_; }
    [[nodiscard]] auto views() const noexcept -> const std::vector<decisions::TargetView>& { return views_; }

    /// Chooses a target and counts the request as sent to it.
    [[nodiscard]] auto place(const decisions::PlacementRequest& request) -> std::optional<TargetId>;
    /// Whether some target can take the request. Counts nothing.
    [[nodiscard]] auto canPlace(const decisions::PlacementRequest& request) const -> bool;
    /// Null for a target that is no longer listed.
    [[nodiscard]] auto link(const TargetId& target) -> std::shared_ptr<TargetLink>;
    [[nodiscard]] auto epoch(const TargetId& target) const -> Epoch;
    /// Keeps requests off a target that could not be reached, for a short while.
    auto unreachable(const TargetId& target) -> void;
    auto report(wire::schema::TargetState::Reader state) -> void;
    /// Told of every state that a target reports.
    auto onState(TargetLink::OnState callback) -> void { onState_ = std::move(callback); }

private:
    auto poll() -> kj::Promise<void>;
    auto take(const std::vector<platform::HostRecord>& hosts) -> void;
    auto find(const TargetId& target) -> decisions::TargetView*;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::string secret_;
    std::string name_;
    std::vector<decisions::TargetView> views_;
    /// Place in `views_`: a search through the whole list for each report would cost targets x reports.
    std::unordered_map<TargetId, std::size_t> index_;
    std::map<TargetId, platform::HostRecord> hosts_;
    std::map<TargetId, std::shared_ptr<TargetLink>> links_;
    std::map<TargetId, Epoch> epochs_;
    std::map<TargetId, Timer> unreachable_;
    TargetLink::OnState onState_;
    bool ready_ = false;
    bool polling_ = false;
    Timer timer_;
};

} // namespace eelgrass::router
