#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "decisions/AdmissionQueue.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace eelgrass::decisions {

/// Gives adapters that requests wait for in vain a turn on one slot of a replica.
///
/// Designed for more adapters than slots, where requests for popular adapters follow each other without a gap. An
/// adapter in use is never evicted, so without turns the slots stay with the adapters that hold them, and the same
/// others are refused each time. Ageing within one request's time is not enough where runs last longer than that, so a
/// turn goes by what the requests that wait are owed (`Claim`).
///
/// One adapter has the turn at a time, and the other slots go on as before. It goes to the adapter with the most
/// overdue request. If all adapters are in use, one of them is closed: it gets no further requests until its runs have
/// ended and it has been unloaded. The turn ends with the first request that is granted on its adapter, when none has
/// waited for a while, or when it has taken too long. If none waits and service is due to another adapter, the turn
/// passes to that one at once, with the slot that comes free.
///
/// ```cpp
/// turns.update(queue.waitingAdapters(now), loaded, now);
/// if (!turns.holder().empty()) load(turns.holder());
/// ```
class AdapterTurns {
public:
    /// The adapters that queued requests are for.
    using Waiting = std::map<AdapterId, WaitingAdapter>;
    /// Whether an adapter is loaded.
    using Loaded = std::function<bool(const AdapterId&)>;
    enum class End { Served, Unused, TimedOut };
    struct Ended {
        AdapterId adapter;
        End end = End::Served;
    };

    /// A request was granted on the adapter. Returns whether that ends its turn.
    auto granted(const AdapterId& adapter) -> bool;
    /// Gives the turn to the adapter of a request that is about to be queued and is not loaded, if no other one has it
    /// and service is due to the request. Returns whether it got the turn.
    auto arriving(const AdapterId& adapter, const Claim& claim, Moment now) -> bool;
    /// Ends a turn that is not used or takes too long, and gives the next one.
    auto update(const Waiting& waiting, const Loaded& loaded, Moment now) -> std::optional<Ended>;
    /// Closes a loaded adapter to further requests until the holder of the turn is loaded.
    auto close(const AdapterId& adapter) -> void { closed_ = adapter; }
    auto clear() -> void;

    /// The adapter that has the turn; empty if none has.
    [[nodiscard]] auto holder() const noexcept -> const AdapterId& { return holder_; }
    [[nodiscard]] auto holds(const AdapterId& adapter) const -> bool { return !adapter.empty() && holder_ == adapter; }
    /// What the holder was owed when its turn began.
    [[nodiscard]] auto holderClaim() const noexcept -> const Claim& { return holderClaim_; }
    /// The adapter that is closed; empty if none is.
    [[nodiscard]] auto closed() const noexcept -> const AdapterId& { return closed_; }
    [[nodiscard]] auto isClosed(const AdapterId& adapter) const -> bool
    {
        return !adapter.empty() && closed_ == adapter;
    }

private:
    struct Candidate {
        AdapterId adapter;
        Claim claim {};
    };
    [[nodiscard]] auto next(const Waiting& waiting, const Loaded& loaded, Moment now) const -> Candidate;
    /// Whether the turn goes to another adapter before it has been used: nobody waits for the holder, or only its one
    /// request did, and service is due to another one.
    [[nodiscard]] auto passes(const Waiting& waiting, const Loaded& loaded, Moment now) const -> bool;
    /// Whether the adapter had a turn lately in which it could not be loaded.
    [[nodiscard]] auto passedOver(const AdapterId& adapter, Moment now) const -> bool;
    auto beginTurn(const Candidate& candidate, Moment now) -> void;
    auto endTurn(End end) -> Ended;

    AdapterId holder_;
    AdapterId closed_;
    Claim holderClaim_;
    /// Until when adapters whose turns timed out get none.
    std::map<AdapterId, Moment> passedOverUntil_;
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
