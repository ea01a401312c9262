#pragma once

#include "base/Ids.h"
#include "decisions/PollSchedule.h"
#include "platform/PlatformClient.h"
#include "router/target/PauseDetector.h"
#include "wire/MainLoop.h"

#include <functional>

namespace eelgrass::router {

/// Holds the epoch with which this process owns its target. The epoch is raised once at startup by a transaction in the
/// platform's tables, and verified after every pause of the process before the next order to the engine or service.
class FenceController {
public:
    /// `engineRejectsStale` means that the engine itself refuses orders with an old epoch.
    FenceController(wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target, bool engineRejectsStale);

    /// Raises the epoch, retrying until the platform answers. Resolves when orders may be sent.
    [[nodiscard]] auto raise() -> kj::Promise<void>;
    [[nodiscard]] auto epoch() const noexcept -> Epoch { return epoch_; }
    /// Whether this process still owns the target. Resolves at once if the process has not paused since the last check,
    /// or if the engine rejects stale epochs itself. Otherwise reads the platform's row first, retrying while the
    /// platform is unavailable.
    [[nodiscard]] auto confirmOwnership() -> kj::Promise<bool>;
    /// Called once, when another process has raised the epoch.
    auto onSuperseded(std::function<void()> callback) -> void { onSuperseded_ = std::move(callback); }
    [[nodiscard]] auto pauseCount() -> std::uint64_t { return pauseDetector_.count(); }

private:
    auto tryRaise() -> kj::Promise<bool>;
    auto verifyOwner() -> kj::Promise<bool>;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::string key_;
    bool engineRejectsStale_;
    PauseDetector pauseDetector_;
    /// The pause count at which ownership was last verified.
    std::uint64_t confirmedPauses_ = 0;
    /// Identifies this process's own write. If the answer to the write is lost, the row shows by this ID whether the
    /// write succeeded.
    std::string owner_;
    decisions::PollSchedule retrySchedule_;
    Epoch epoch_;
    bool superseded_ = false;
    std::function<void()> onSuperseded_;
};

} // namespace eelgrass::router
