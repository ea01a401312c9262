#include "decisions/AdapterTurns.h"

#include <algorithm>
#include <utility>

namespace eelgrass::decisions {

namespace {

// How long a request waits until its adapter is entitled to a turn although nothing was owed to it before.
constexpr auto minWait = Duration(2s);
// How long a turn lasts on without a waiting request, for the client that comes back.
constexpr auto maxUnused = Duration(1s);
// How long a turn lasts at most. By then nearly all runs that keep a slot have ended.
constexpr auto maxTurn = Duration(10s);
// How long an adapter that could not be loaded in its turn leaves the turn to others.
constexpr auto passOverTime = Duration(10s);

} // namespace

auto AdapterTurns::granted(const AdapterId& adapter) -> bool
{
    if (!holds(adapter))
        return false;
    endTurn(End::Served);
    return true;
}

auto AdapterTurns::endTurn(End end) -> Ended
{
    closed_ = {};
    holderLoaded_ = false;
    return { std::exchange(holder_, {}), end };
}

auto AdapterTurns::clear() -> void
{
    passedOverUntil_.clear();
    endTurn(End::Unused);
}

auto AdapterTurns::beginTurn(const Candidate& candidate, Moment now) -> void
{
    holder_ = candidate.adapter;
    holderClaim_ = candidate.claim;
    begunAt_ = neededAt_ = now;
}

auto AdapterTurns::passedOver(const AdapterId& adapter, Moment now) const -> bool
{
    const auto found = passedOverUntil_.find(adapter);
    return found != passedOverUntil_.end() && now < found->second;
}

auto AdapterTurns::arriving(const AdapterId& adapter, const Claim& claim, Moment now) -> bool
{
    if (!holder_.empty() || !claim.due() || passedOver(adapter, now))
        return false;
    beginTurn({ adapter, claim }, now);
    return true;
}

auto AdapterTurns::update(const Waiting& waiting, const Loaded& loaded, Moment now) -> std::optional<Ended>
{
    std::erase_if(passedOverUntil_, [&](const auto& entry) { return now >= entry.second; });
    auto ended = std::optional<Ended>();
    auto heirOfClosed = AdapterId();
    if (!holder_.empty()) {
        const auto isLoaded = loaded(holder_);
        if (isLoaded)
            closed_ = {};
        if (waiting.contains(holder_) || isLoaded != std::exchange(holderLoaded_, isLoaded))
            neededAt_ = now;
        if (passes(waiting, loaded, now) || now - neededAt_ >= maxUnused) {
            heirOfClosed = closed_;
            ended = endTurn(End::Unused);
        } else if (now - begunAt_ >= maxTurn) {
            passedOverUntil_[holder_] = now + passOverTime;
            ended = endTurn(End::TimedOut);
        }
    }
    if (!holder_.empty())
        return ended;
    beginTurn(next(waiting, loaded, now), now);
    if (!holder_.empty())
        closed_ = heirOfClosed;
    return ended;
}

auto AdapterTurns::passes(const Waiting& waiting, const Loaded& loaded, Moment now) const -> bool
{
    if (loaded(holder_))
        return false;
    const auto candidate = next(waiting, loaded, now);
    return waiting.contains(holder_) ? holderClaim_.missed == 0 && candidate.claim.missed > 0
                                     : !candidate.adapter.empty();
}

auto AdapterTurns::next(const Waiting& waiting, const Loaded& loaded, Moment now) const -> Candidate
{
    auto best = Candidate();
    for (const auto& [adapter, wait] : waiting) {
        auto claim = wait.claim;
        if (!claim.due() && now - wait.since >= minWait)
            claim = { .level = 1, .keyLevel = 1, .since = wait.since };
        if (claim.due() && claim.level > best.claim.level && !passedOver(adapter, now) && !loaded(adapter))
            best = { adapter, claim };
    }
    return best;
}

} // namespace eelgrass::decisions
