#pragma once

#include "base/Clock.h"

#include <optional>

namespace eelgrass::decisions {

/// What one answer of a replica says about its rate limit.
///
/// The answer was made at some moment between `requestedAt`, when its request was sent, and `answeredAt`.
struct RateLimitStatement {
    /// Requests per second that the replica accepts from all entries together; empty if the answer names no limit.
    std::optional<double> perSecond;
    Moment requestedAt {};
    Moment answeredAt {};
};

/// The rate limit that one start of a replica has announced, from answers that may overtake each other.
///
/// A statement that was surely made after the last one replaces it. If the order of two statements is unknown, the
/// lower limit holds: an older answer without a limit must not end a limit that was announced after it.
///
/// ```cpp
/// if (limit.apply({ 0.5, sentAt, now }) == AnnouncedRateLimit::Change::Learned) ...
/// ```
class AnnouncedRateLimit {
public:
    enum class Change { None, Learned, Changed, Ended };

    auto apply(const RateLimitStatement& statement) noexcept -> Change;
    /// The limit in force, in requests per second; empty for none.
    [[nodiscard]] auto perSecond() const noexcept -> std::optional<double>
    {
        return last_ ? last_->perSecond : std::nullopt;
    }
    /// The statement in force; empty if the replica has never announced a limit.
    [[nodiscard]] auto last() const noexcept -> const std::optional<RateLimitStatement>& { return last_; }

private:
    std::optional<RateLimitStatement> last_;
};

} // namespace eelgrass::decisions
