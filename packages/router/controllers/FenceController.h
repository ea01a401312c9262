#pragma once

#include "base/Ids.h"
#include "decisions/PollSchedule.h"
#include "platform/PlatformClient.h"
#include "wire/MainLoop.h"

namespace eelgrass::router {

/// Holds the epoch of this target's owner: raised once at the start by a transaction in the platform's tables.
class FenceController {
public:
    FenceController(wire::MainLoop& loop, platform::PlatformClient& platform, TargetId target);

    /// Raises the epoch; tries until the platform answers.
    [[nodiscard]] auto raise() -> kj::Promise<void>;
    [[nodiscard]] auto epoch() const noexcept -> Epoch { return epoch_; }

private:
    auto tryRaise() -> kj::Promise<bool>;

    wire::MainLoop& loop_;
    platform::PlatformClient& platform_;
    std::string key_;
    /// Marks this process's own write, so that a lost answer is settled by reading the row.
    std::string owner_;
    decisions::PollSchedule retries_;
    Epoch epoch_;
};

} // namespace eelgrass::router
