#pragma once

#include "base/Ids.h"
#include "decisions/PollSchedule.h"
#include "platform/PlatformClient.h"
#include "router/target/PauseWatch.h"
#include "wire/MainLoop.h"

#include <functional>

namespace eelgrass::router {

/// Holds the epoch of this target's owner: raised once at the start by a transaction in the platform's tables, and read
/// again after every pause of the process before anything is ordered.
class FenceController {
public:
    /// `honoured`: the engine itself refuses an order with an old number.
    FenceController(wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target, bool honoured);

    /// Raises the epoch; tries until the platform answers. Kept when orders may be sent.
    [[nodiscard]] auto raise() -> kj::Promise<void>;
    [[nodiscard]] auto epoch() const noexcept -> Epoch { return epoch_; }
    /// Whether this process still owns the target. After a pause the answer takes a read of the platform's row, for as
    /// long as the platform is away; without a pause it is there at once.
    [[nodiscard]] auto confirm() -> kj::Promise<bool>;
    /// Told once, when another process has raised the epoch.
    auto onSuperseded(std::function<void()> callback) -> void { onSuperseded_ = std::move(callback); }
    [[nodiscard]] auto pauses() -> std::uint64_t { return watch_.count(); }

private:
    auto tryRaise() -> kj::Promise<bool>;
    auto check() -> kj::Promise<bool>;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::string key_;
    bool honoured_;
    PauseWatch watch_;
    /// The count of pauses up to which the epoch is known to be ours.
    std::uint64_t confirmed_ = 0;
    /// Marks this process's own write, so that a lost answer is settled by reading the row.
    std::string owner_;
    decisions::PollSchedule retries_;
    Epoch epoch_;
    bool superseded_ = false;
    std::function<void()> onSuperseded_;
};

} // namespace eelgrass::router
