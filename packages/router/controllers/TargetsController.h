#pragma once

#include "decisions/Placer.h"
#include "platform/PlatformClient.h"
#include "router/Poller.h"
#include "router/entry/TargetLink.h"
#include "wire/MainLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace eelgrass::router {

/// The targets as this entry knows them: the platform's list, what sessions report, and a link to each that is used.
class TargetsController {
public:
    TargetsController(wire::MainLoop& loop, platform::PlatformClient& platform, std::string secret, std::string name);

    /// Follows the platform's list from here on.
    auto start() -> void;
    [[nodiscard]] auto ready() const noexcept -> bool { return ready_; }
    [[nodiscard]] auto views() const noexcept -> const std::vector<decisions::TargetView>& { return fleet_.views(); }

    /// Targets named by `drained` get no new work; asked at each placement.
    auto excludeDrained(std::function<const std::set<TargetId>&()> drained) -> void { drained_ = std::move(drained); }
    /// Chooses a target and counts the request as sent to it.
    [[nodiscard]] auto place(const decisions::PlacementRequest& request) -> std::optional<TargetId>;
    /// Whether some target can take the request. Counts nothing.
    [[nodiscard]] auto canPlace(const decisions::PlacementRequest& request) const -> bool;
    /// How `place` sees the targets of a request now.
    [[nodiscard]] auto explain(const decisions::PlacementRequest& request) const -> std::vector<decisions::Explanation>
    {
        return placer_.explain(request, fleet_);
    }
    /// Null for a target that is no longer listed.
    [[nodiscard]] auto link(const TargetId& target) -> std::shared_ptr<TargetLink>;
    [[nodiscard]] auto epoch(const TargetId& target) const -> Epoch;
    /// Keeps requests off a target that could not be reached, for a short while.
    auto markUnreachable(const TargetId& target) -> void;
    auto report(wire::schema::TargetState::Reader state) -> void;
    /// Told of every state that a target reports.
    auto onState(TargetLink::OnState callback) -> void { onState_ = std::move(callback); }

private:
    auto poll() -> kj::Promise<void>;
    auto take(const std::vector<platform::HostRecord>& hosts) -> void;
    auto closeIdle() -> void;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::string secret_;
    std::string name_;
    decisions::Fleet fleet_;
    decisions::Placer placer_;
    LoadQueueController loads_;
    std::map<TargetId, platform::HostRecord> hosts_;
    std::map<TargetId, std::shared_ptr<TargetLink>> links_;
    std::map<TargetId, Epoch> epochs_;
    std::map<TargetId, Timer> unreachable_;
    std::function<const std::set<TargetId>&()> drained_;
    TargetLink::OnState onState_;
    bool ready_ = false;
    Poller poller_;
    Timer closing_;
};

} // namespace eelgrass::router
