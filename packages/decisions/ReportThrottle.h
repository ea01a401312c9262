#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <cstddef>
#include <optional>
#include <set>

namespace eelgrass::decisions {

/// Decides whether a change of a target's state is pushed to all of its sessions, and when.
///
/// Designed for about 220 sessions to a target that starts and ends a dozen requests per second. A push for each change
/// would cause thousands of messages per second on both sides, far above the budget of 16 KB per second. Entries learn
/// the load from the answer to each start of a request anyway. Without a push, they would not learn in time that a
/// target leaves, which adapters it holds, and that it became full or free. Only these changes are pushed, at a minimum
/// interval, so that a target that alternates between full and free costs at most one message per second.
///
/// ```cpp
/// if (auto delay = throttle.due(summary, now)) ...
/// throttle.sent(summary, now);
/// ```
class ReportThrottle {
public:
    /// The part of a target's state whose changes are pushed.
    struct Summary {
        bool leaving = false;
        std::size_t work = 0;
        std::size_t batchLimit = 1;
        std::set<ModelName> resident;
    };

    /// Delay until the summary should be pushed; no value if it needs no push.
    [[nodiscard]] auto due(const Summary& summary, Moment now) const -> std::optional<Duration>;
    /// Records that the summary was pushed.
    auto sent(Summary summary, Moment now) -> void;

private:
    Summary last_;
    std::optional<Moment> sentAt_;
};

} // namespace eelgrass::decisions
