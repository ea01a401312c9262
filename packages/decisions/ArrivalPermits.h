#pragma once

#include "decisions/QuotaBucket.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace eelgrass::decisions {

/// Permits to send requests to one replica that has announced a rate limit. One process keeps them for all entries.
///
/// Designed for overloaded replicas that accept about one request per second, far below what up to several hundred
/// entries send them. If each entry kept to the limit by itself, the replica would get as many times its limit as there
/// are entries; and with an equal share each, the entry that gets all the traffic could use next to nothing of it.
///
/// Entries that cannot reach the process that keeps the permits ask another one, its stand-in, while other entries may
/// still reach the first. A permit of the stand-in therefore costs `standInCost`: both together then grant at most four
/// thirds of the rate and of the burst, whichever entry asks which.
///
/// A process that starts to keep permits has none, since it does not know what was granted before.
///
/// ```cpp
/// permits.setRate(0.5, now);
/// if (permits.take(now)) send(request);
/// ```
class ArrivalPermits {
public:
    struct Verdict {
        bool granted = false;
        /// When the request may come back, if not granted. Each refused request is told a later time than the one
        /// before.
        Duration retryAfter {};
        /// When the entry may ask again for any request; little later than the next permit, which would otherwise be
        /// lost to entries that all wait for their turn.
        Duration askAgainAfter {};
    };
    static constexpr auto standInCost = 3.0;
    /// A replica that accepts nothing still gets a request every five seconds: only an answer shows that its limit has
    /// ended.
    static constexpr auto minPerSecond = 0.2;

    /// Starts or changes the limit.
    auto setRate(double perSecond, Moment now) noexcept -> void;
    /// Ends the limit; the next one starts without permits.
    auto clear() noexcept -> void { *this = {}; }
    [[nodiscard]] auto limited() const noexcept -> bool { return limited_; }

    /// Takes one permit if there is one.
    [[nodiscard]] auto take(Moment now) noexcept -> bool;
    /// Takes a permit for a request of this priority, where 0 is the most urgent. While a more urgent request that was
    /// refused may come back, one permit is left for it.
    [[nodiscard]] auto take(std::uint32_t priority, double cost, Moment now) -> Verdict;
    /// Gives back a permit for a request that was not sent after all.
    auto giveBack(double cost, Moment now) noexcept -> void { bucket_.charge(-cost, now); }
    /// Time until there is a permit for a request that comes after `ahead` others.
    [[nodiscard]] auto timeUntilPermit(std::size_t ahead, Moment now) const noexcept -> Duration;
    /// Returns the retry delay for a request that is refused because its permit would come too late.
    [[nodiscard]] auto refuse(Moment now) noexcept -> Duration { return bucket_.refuse(1, now); }

private:
    [[nodiscard]] auto moreUrgentExpected(std::uint32_t priority, Moment now) const -> bool;

    QuotaBucket bucket_;
    bool limited_ = false;
    /// Until when the last refused request of each priority is expected back.
    std::map<std::uint32_t, Moment> expectedUntil_;
};

} // namespace eelgrass::decisions
