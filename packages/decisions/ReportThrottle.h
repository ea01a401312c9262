#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace eelgrass::decisions {

/// Decides whether a change of a target is worth a message to each of its sessions.
///
/// Load: some 220 sessions to a target that starts and ends a dozen requests a second. A push for each change would be
/// thousands of messages a second on both sides, far over the budget of 16 KB a second. Entries learn the load from the
/// answer to each start anyway; what they can't learn in time is that a target leaves, what it holds now, and that it
/// became full or free. Only these are pushed, and not more often than the spacing, so that a target on the brink
/// between full and free costs one message a second at most.
///
/// ```cpp
/// if (auto delay = gate.due(summary, now)) ...
/// gate.sent(summary, now);
/// ```
class ReportThrottle {
public:
    struct Summary {
        bool leaving = false;
        std::size_t work = 0;
        std::size_t batchLimit = 1;
        std::set<ModelName> resident;
    };

    /// How long to wait before this is pushed; empty when it is not worth a push.
    [[nodiscard]] auto due(const Summary& summary, Moment now) const -> std::optional<Duration>;
    auto sent(Summary summary, Moment now) -> void;

private:
    Summary last_;
    std::optional<Moment> sentAt_;
};

} // namespace eelgrass::decisions
