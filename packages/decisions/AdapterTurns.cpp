#include "decisions/AdapterTurns.h"

#include <algorithm>
#include <utility>

namespace eelgrass::decisions {

namespace {

// Time since the first unserved request that entitles an adapter to a turn; most are served without one before.
constexpr auto minAge = Duration(2s);
// An adapter without a request for this long is no longer expected to be requested.
constexpr auto memory = Duration(20s);
constexpr auto maxAdapters = std::size_t(512);
// How long a turn lasts on without a waiting request, for the client that comes back.
constexpr auto maxUnused = Duration(1s);
// How long a turn lasts at most. By then nearly all runs that keep a slot have ended.
constexpr auto maxTurn = Duration(10s);

} // namespace

AdapterTurns::AdapterTurns()
    : unserved_(memory, maxAdapters)
{
}

auto AdapterTurns::refused(const AdapterId& adapter, Moment arrivedAt) -> void
{
    unserved_.refused(adapter, arrivedAt);
}

auto AdapterTurns::granted(const AdapterId& adapter) -> bool
{
    unserved_.served(adapter);
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

/// The adapter is forgotten, so that one that cannot be loaded does not keep the turn from others.
auto AdapterTurns::endUnserved(End end) -> Ended
{
    unserved_.served(holder_);
    return endTurn(end);
}

auto AdapterTurns::expire(Moment now) -> void
{
    unserved_.expire(now, [](const AdapterId&) {});
}

auto AdapterTurns::clear() -> void
{
    unserved_.clear();
    endTurn(End::Unused);
}

auto AdapterTurns::beginTurn(const Claim& claim, Moment now) -> void
{
    holder_ = claim.adapter;
    holderSince_ = claim.since;
    begunAt_ = neededAt_ = now;
}

auto AdapterTurns::isEntitled(const Claim& claim, Moment now) -> bool { return now - claim.since >= minAge; }

auto AdapterTurns::arriving(const AdapterId& adapter, Moment now) -> bool
{
    const auto* refused = unserved_.find(adapter);
    if (!holder_.empty() || !refused || !isEntitled({ adapter, refused->firstAt }, now))
        return false;
    beginTurn({ adapter, refused->firstAt }, now);
    return true;
}

auto AdapterTurns::update(const Waiting& waiting, const Loaded& loaded, Moment now) -> std::optional<Ended>
{
    auto ended = std::optional<Ended>();
    if (!holder_.empty()) {
        const auto isLoaded = loaded(holder_);
        if (isLoaded)
            closed_ = {};
        if (waiting.contains(holder_) || isLoaded != std::exchange(holderLoaded_, isLoaded))
            neededAt_ = now;
        if (now - neededAt_ >= maxUnused)
            ended = endUnserved(End::Unused);
        else if (now - begunAt_ >= maxTurn)
            ended = endUnserved(End::TimedOut);
    }
    if (holder_.empty())
        beginTurn(next(waiting, loaded, now), now);
    return ended;
}

auto AdapterTurns::next(const Waiting& waiting, const Loaded& loaded, Moment now) const -> Claim
{
    auto best = Claim();
    for (const auto& [adapter, arrivedAt] : waiting) {
        const auto* refused = unserved_.find(adapter);
        const auto claim = Claim { adapter, refused ? std::min(refused->firstAt, arrivedAt) : arrivedAt };
        if (isEntitled(claim, now) && claim.since < best.since && !loaded(adapter))
            best = claim;
    }
    return best;
}

} // namespace eelgrass::decisions
