#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "decisions/UnservedDemand.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace eelgrass::decisions {

/// Gives adapters that requests wait for in vain a turn on one slot of a replica.
///
/// Designed for more adapters than slots, where requests for popular adapters follow each other without a gap. An
/// adapter in use is never evicted, so without turns the slots stay with the adapters that hold them, and the same
/// others are refused each time. Ageing within one request's time is not enough where runs last longer than that;
/// refused requests are therefore remembered here.
///
/// One adapter has the turn at a time, and the other slots go on as before. It goes to the adapter with waiting
/// requests whose first unserved request is the oldest. If all adapters are in use, one of them is closed: it gets no
/// further requests until its runs have ended and it has been unloaded. The turn ends with the first request that is
/// granted on its adapter, when none has waited for a while, or when it has taken too long.
///
/// ```cpp
/// turns.refused(adapter, arrivedAt);
/// turns.update(queue.waitingAdapters(), loaded, now);
/// if (!turns.holder().empty()) load(turns.holder());
/// ```
class AdapterTurns {
public:
    /// The adapters that queued requests are for, with the arrival of the oldest of these.
    using Waiting = std::map<AdapterId, Moment>;
    /// Whether an adapter is loaded.
    using Loaded = std::function<bool(const AdapterId&)>;
    enum class End { Served, Unused, TimedOut };
    struct Ended {
        AdapterId adapter;
        End end = End::Served;
    };

    AdapterTurns();

    /// A request for the adapter was refused that arrived at that moment.
    auto refused(const AdapterId& adapter, Moment arrivedAt) -> void;
    /// A request was granted on the adapter. Returns whether that ends its turn.
    auto granted(const AdapterId& adapter) -> bool;
    /// Gives the turn to the adapter of a request that is about to be queued and is not loaded, if no other one has it
    /// and it is entitled to it. Returns whether it got the turn.
    auto arriving(const AdapterId& adapter, Moment now) -> bool;
    /// Ends a turn that is not used or takes too long, and gives the next one.
    auto update(const Waiting& waiting, const Loaded& loaded, Moment now) -> std::optional<Ended>;
    /// Closes a loaded adapter to further requests until the holder of the turn is loaded.
    auto close(const AdapterId& adapter) -> void { closed_ = adapter; }
    /// Forgets the adapters that are no longer requested.
    auto expire(Moment now) -> void;
    auto clear() -> void;

    /// The adapter that has the turn; empty if none has.
    [[nodiscard]] auto holder() const noexcept -> const AdapterId& { return holder_; }
    [[nodiscard]] auto holds(const AdapterId& adapter) const -> bool { return !adapter.empty() && holder_ == adapter; }
    /// The arrival of the first request for the holder that was not served.
    [[nodiscard]] auto holderSince() const noexcept -> Moment { return holderSince_; }
    /// The adapter that is closed; empty if none is.
    [[nodiscard]] auto closed() const noexcept -> const AdapterId& { return closed_; }
    [[nodiscard]] auto isClosed(const AdapterId& adapter) const -> bool
    {
        return !adapter.empty() && closed_ == adapter;
    }
    [[nodiscard]] auto unserved() const noexcept -> const UnservedDemand<AdapterId>& { return unserved_; }

private:
    struct Claim {
        AdapterId adapter;
        /// The arrival of the first request that was not served.
        Moment since = Moment::max();
    };
    [[nodiscard]] auto next(const Waiting& waiting, const Loaded& loaded, Moment now) const -> Claim;
    [[nodiscard]] static auto isEntitled(const Claim& claim, Moment now) -> bool;
    auto beginTurn(const Claim& claim, Moment now) -> void;
    auto endTurn(End end) -> Ended;
    /// Ends a turn that brought no service.
    auto endUnserved(End end) -> Ended;

    UnservedDemand<AdapterId> unserved_;
    AdapterId holder_;
    AdapterId closed_;
    Moment holderSince_ = Moment::max();
    Moment begunAt_ {};
    /// When the holder last had a waiting request, or was loaded if that is later.
    Moment neededAt_ {};
    bool holderLoaded_ = false;
};

[[nodiscard]] constexpr auto toString(AdapterTurns::End end) noexcept -> const char*
{
    switch (end) {
    case AdapterTurns::End::Served:
        return "served";
    case AdapterTurns::End::Unused:
        return "unused";
    case AdapterTurns::End::TimedOut:
        return "timed_out";
    }
    return "";
}

} // namespace eelgrass::decisions
