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

/// The targets known to this entry: the platform's host list, the states that targets report, and a link to each target
/// in use.
class TargetsController {
public:
    TargetsController(wire::MainLoop& loop, platform::PlatformClient& platform, std::string secret, std::string name);

    /// Starts polling the platform's host list.
    auto start() -> void;
    [[nodiscard]] auto ready() const noexcept -> bool { return ready_; }
    [[nodiscard]] auto views() const noexcept -> const std::vector<decisions::TargetView>& { return fleet_.views(); }

    /// Excludes the targets that `drained` returns from new work. Called at each placement.
    auto excludeDrained(std::function<const std::set<TargetId>&()> drained) -> void { drained_ = std::move(drained); }
    /// Chooses a target and counts the request as sent to that target.
    [[nodiscard]] auto place(const decisions::PlacementRequest& request) -> std::optional<TargetId>;
    /// Whether some target can take the request. Unlike `place`, does not count the request.
    [[nodiscard]] auto canPlace(const decisions::PlacementRequest& request) const -> bool;
    /// How `place` would rate each target for the request now.
    [[nodiscard]] auto explain(const decisions::PlacementRequest& request) const -> std::vector<decisions::Explanation>
    {
        return placer_.explain(request, fleet_);
    }
    /// The link to a target, created on first use; null for a target that is no longer listed.
    [[nodiscard]] auto link(const TargetId& target) -> std::shared_ptr<TargetLink>;
    /// The epoch that the target last reported; 0 if none.
    [[nodiscard]] auto epoch(const TargetId& target) const -> Epoch;
    /// Places no requests on a target that could not be reached, for a short time.
    auto markUnreachable(const TargetId& target) -> void;
    /// Records a state that a target reports.
    auto report(wire::schema::TargetState::Reader state) -> void;
    /// Called with every state that a target reports.
    auto onState(TargetLink::OnState callback) -> void { onState_ = std::move(callback); }

private:
    auto poll() -> kj::Promise<void>;
    auto applyHostList(const std::vector<platform::HostRecord>& hosts) -> void;
    auto closeIdleLinks() -> void;

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
    Timer closeTimer_;
};

} // namespace eelgrass::router
