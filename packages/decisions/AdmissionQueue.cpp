#include "decisions/AdmissionQueue.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace eelgrass::decisions {

namespace {

// Most prompt processing that is granted in advance: a few engine steps longer than a grant takes to arrive, so that
// the engine is never idle.
constexpr auto maxOutstandingPrefill = Duration(250ms);
// A prompt that has not been read after this many times the time that it should take, and this much longer, is not
// waited for: the replica may be several times slower than was measured.
constexpr auto overdueFactor = 3;
constexpr auto overdueMargin = Duration(500ms);
// Share of the memory that is granted to requests; the rest is for answers longer than announced and for prompt
// prefixes worth caching.
constexpr auto memoryShare = 0.9;
// Half-life of the arrival rate of more urgent requests.
constexpr auto inflowHalfLife = Duration(2s);
// Smallest share of the engine assumed for a waiting request, so that no amount of more urgent work makes the estimate
// infinite and no request is refused because of a guess.
constexpr auto minShare = 0.25;
// Shortest retry delay of a refusal: the time that a grant takes to arrive.
constexpr auto minRetry = Duration(50ms);
// Classes whose grants are counted.
constexpr auto maxClasses = std::size_t(32);

auto memoryOf(const AdmissionRequest& request) -> TokenCount { return request.promptTokens + request.outputTokens; }

} // namespace

auto AdmissionQueue::setLimits(ReplicaLimits limits) -> void
{
    if (limits.readRate != limits_.readRate)
        rate_ = PrefillRate(limits.readRate);
    limits_ = limits;
}

auto AdmissionQueue::prefillTime(TokenCount tokens) const -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / rate_.perMillisecond()));
}

auto AdmissionQueue::tokensAhead(const Ready& ready) const -> TokenCount
{
    auto tokens = unstartedTokens_;
    for (const auto& request : waiting_)
        tokens += ready(request.adapter) ? request.unreadTokens : 0;
    return tokens;
}

auto AdmissionQueue::tokensWaiting(const Ready& ready) const -> TokenCount
{
    auto tokens = TokenCount(0);
    for (const auto& request : waiting_)
        tokens += ready(request.adapter) ? 0 : request.unreadTokens;
    return tokens;
}

auto AdmissionQueue::prefillTime(TokenCount tokens, std::uint32_t priority, Moment now) const -> Duration
{
    auto urgentRate = 0.0;
    for (const auto& [other, inflow] : inflow_) {
        const auto age = static_cast<double>((now - inflow.at).count()) / static_cast<double>(inflowHalfLife.count());
        if (other < priority)
            urgentRate += inflow.rate * std::exp2(-age);
    }
    const auto share = std::max(minShare, 1 - urgentRate / rate_.perMillisecond());
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / (rate_.perMillisecond() * share)));
}

auto AdmissionQueue::recordInflow(const AdmissionRequest& request, Moment now) -> void
{
    // Normalized so that a steady flow of r tokens per millisecond converges to r.
    const auto lifetime = std::chrono::duration<double, std::milli>(inflowHalfLife).count() / std::log(2);
    auto& inflow = inflow_[request.priority];
    const auto age = static_cast<double>((now - inflow.at).count()) / static_cast<double>(inflowHalfLife.count());
    inflow.rate = inflow.rate * std::exp2(-age) + static_cast<double>(request.unreadTokens) / lifetime;
    inflow.at = now;
}

auto AdmissionQueue::onTime(const AdmissionRequest& request, Moment now) const -> bool
{
    return now + prefillTime(unstartedTokens_ + request.unreadTokens) <= request.firstEventDeadline;
}

auto AdmissionQueue::latestStart(const AdmissionRequest& request) const -> Moment
{
    return request.firstEventDeadline - prefillTime(request.unreadTokens);
}

auto AdmissionQueue::goesBefore(const AdmissionRequest& left, const AdmissionRequest& right, Moment now) const -> bool
{
    const auto leftLate = !onTime(left, now);
    const auto rightLate = !onTime(right, now);
    const auto leftAt = leftLate ? left.arrivedAt : left.firstEventDeadline;
    const auto rightAt = rightLate ? right.arrivedAt : right.firstEventDeadline;
    return std::tie(leftLate, left.priority, leftAt) < std::tie(rightLate, right.priority, rightAt);
}

auto AdmissionQueue::sortWaiting(Moment now) -> void
{
    std::sort(waiting_.begin(), waiting_.end(),
        [&](const AdmissionRequest& left, const AdmissionRequest& right) { return goesBefore(left, right, now); });
}

auto AdmissionQueue::updateClaims(Moment now) -> void
{
    for (auto& request : waiting_)
        request.claim = claim(request, now);
}

auto AdmissionQueue::claim(const AdmissionRequest& request, Moment now) const -> Claim
{
    return claimOf(grantedKeys_.ungranted(request.keys, request.arrivedAt), now);
}

auto AdmissionQueue::isMoreOverdue(const AdmissionRequest& request, const AdmissionRequest& other) -> bool
{
    return request.claim.due() && request.claim.level > other.claim.level;
}

auto AdmissionQueue::waitsOf(const AdmissionRequest& request, Ahead ahead, const Ready& ready, Moment now) const
    -> Waits
{
    const auto byOrder = Waits { .work = prefillTime(ahead.tokens, request.priority, now),
        .permit = arrivals_.timeUntilPermit(ahead.requests, now) };
    if (!request.claim.due())
        return byOrder;
    auto overdue = TokenCount(0);
    // One request of each key goes first.
    auto keys = std::set<ServiceKey>();
    for (const auto& other : waiting_) {
        if (isMoreOverdue(other, request) && ready(other.adapter) && keys.insert(other.claim.key).second)
            overdue += other.unreadTokens;
    }
    // What the others have before in the share counts only where the replica is short of it: where permits are short,
    // they take too few tokens to have had their part while anybody waits.
    const auto shortOfPermits = arrivals_.limited() && obstacle_ != WaitReason::Reading;
    const auto tokens = shortOfPermits ? overdue : owedShare_.tokensUntil(overdue);
    const auto requests = shortOfPermits ? owedShare_.requestsUntil(keys.size()) : keys.size();
    return { .work = std::min(byOrder.work, prefillTime(unstartedTokens_ + tokens)),
        .permit = std::min(byOrder.permit, arrivals_.timeUntilPermit(requests, now)) };
}

auto AdmissionQueue::offer(AdmissionRequest request, const Ready& ready, Duration loadTime, Moment now)
    -> std::optional<AdmissionRefusal>
{
    updateClaims(now);
    request.claim = claim(request, now);
    auto ahead = Ahead { .tokens = unstartedTokens_ };
    for (const auto& other : waiting_) {
        if (!ready(other.adapter) || goesBefore(request, other, now))
            continue;
        ahead.tokens += other.unreadTokens;
        ++ahead.requests;
    }
    auto wait = waitsOf(request, ahead, ready, now);
    wait.work = std::max(wait.work, loadTime);
    const auto firstEventAt = now + wait.longest() + prefillTime(request.unreadTokens);
    // A request that is already late loses nothing by waiting in this queue.
    if (request.elsewhere && now < request.firstEventDeadline && firstEventAt > request.firstEventDeadline)
        return AdmissionRefusal { request.attempt, request.adapter, request.arrivedAt, wait.longest(), true,
            wait.permit > wait.work, request };
    recordInflow(request, now);
    if (firstEventAt >= request.callerDeadline)
        return refuse(request, wait, now);
    request.wait = { .grantedBefore = granted_ };
    waiting_.push_back(std::move(request));
    return std::nullopt;
}

auto AdmissionQueue::refuse(const AdmissionRequest& request, const Waits& waits, Moment now) -> AdmissionRefusal
{
    const auto rateLimited = waits.permit > waits.work;
    const auto retry = rateLimited ? waits.permit + arrivals_.permits().refuse(now) : waits.work;
    return { request.attempt, request.adapter, request.arrivedAt, std::max(retry, minRetry), false, rateLimited,
        request };
}

auto AdmissionQueue::obstacle(const AdmissionRequest& request) const -> std::optional<WaitReason>
{
    if (running_.empty())
        return std::nullopt;
    const auto memoryLimit = static_cast<TokenCount>(memoryShare * static_cast<double>(limits_.memory));
    if (running_.size() >= limits_.batch || memoryUsed_ + memoryOf(request) > memoryLimit)
        return WaitReason::Place;
    if (unstartedTokens_ > 0 && prefillTime(unstartedTokens_ + request.unreadTokens) > maxOutstandingPrefill)
        return WaitReason::Reading;
    return std::nullopt;
}

auto AdmissionQueue::recordWaits(const Ready& ready, Moment now) -> void
{
    for (auto& request : waiting_) {
        const auto since = std::max(waitsRecordedAt_, request.arrivedAt);
        request.wait.times[ready(request.adapter) ? obstacle_ : WaitReason::Adapter] += now - since;
    }
    waitsRecordedAt_ = now;
}

auto AdmissionQueue::recordGrant(const AdmissionRequest& request) -> void
{
    for (auto& other : waiting_)
        other.wait.overtakenBy += other.arrivedAt < request.arrivedAt ? 1 : 0;
    if (granted_.contains(request.requestClass) || granted_.size() < maxClasses)
        ++granted_[request.requestClass];
}

auto AdmissionQueue::nextGrant(const Ready& ready) -> Position
{
    const auto isReady = [&](const AdmissionRequest& request) { return ready(request.adapter); };
    const auto next = std::find_if(waiting_.begin(), waiting_.end(), isReady);
    if (next == waiting_.end() || !owedShare_.mayTake(obstacle_ == WaitReason::Reading))
        return next;
    auto best = next;
    for (auto request = std::next(next); request != waiting_.end(); ++request) {
        if (isMoreOverdue(*request, *best) && isReady(*request))
            best = request;
    }
    return best;
}

auto AdmissionQueue::chargeShare(Position granted, Position next) -> void
{
    if (granted != next)
        owedShare_.taken(granted->unreadTokens);
    else if (!granted->claim.due())
        owedShare_.passed(granted->unreadTokens);
}

auto AdmissionQueue::grant(const Ready& ready, Moment now, std::size_t limit) -> std::vector<AdmissionRequest>
{
    auto granted = std::vector<AdmissionRequest>();
    endOverdueReading(now);
    recordWaits(ready, now);
    sortWaiting(now);
    updateClaims(now);
    while (granted.size() < limit) {
        const auto request = nextGrant(ready);
        if (request == waiting_.end()) {
            // Nobody is left to whom a part of the replica is owed.
            if (arrivals_.limited())
                owedShare_ = {};
            break;
        }
        // A request that does not fit blocks the requests behind it; otherwise short requests could overtake a long one
        // forever.
        if (const auto found = obstacle(*request)) {
            obstacle_ = *found;
            break;
        }
        if (arrivals_.limited() && !arrivals_.permits().take(now)) {
            obstacle_ = WaitReason::Permit;
            break;
        }
        if (run(*request)) {
            auto& running = running_.at(request->attempt);
            running.grantedAt = now;
            running.readBy = now + overdueFactor * prefillTime(unstartedTokens_) + overdueMargin;
            rate_.granted(now);
            grantedKeys_.granted(request->keys, now);
        }
        recordGrant(*request);
        chargeShare(request, std::find_if(waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& other) {
            return ready(other.adapter);
        }));
        granted.push_back(std::move(*request));
        waiting_.erase(request);
        updateClaims(now);
    }
    return granted;
}

auto AdmissionQueue::expire(const Ready& ready, Moment now) -> std::vector<AdmissionRefusal>
{
    auto refused = std::vector<AdmissionRefusal>();
    recordWaits(ready, now);
    sortWaiting(now);
    updateClaims(now);
    auto ahead = Ahead { .tokens = unstartedTokens_ };
    for (auto request = waiting_.begin(); request != waiting_.end();) {
        const auto wait = waitsOf(*request, ahead, ready, now);
        if (now + wait.longest() + prefillTime(request->unreadTokens) < request->callerDeadline) {
            const auto isReady = ready(request->adapter);
            ahead.tokens += isReady ? request->unreadTokens : 0;
            ahead.requests += isReady ? 1 : 0;
            ++request;
            continue;
        }
        refused.push_back(refuse(*request, wait, now));
        request = waiting_.erase(request);
    }
    return refused;
}

auto AdmissionQueue::divert(Duration retryAfter, Moment now) -> std::vector<AdmissionRefusal>
{
    auto refused = std::vector<AdmissionRefusal>();
    std::erase_if(waiting_, [&](const AdmissionRequest& request) {
        if (!request.elsewhere || now >= request.firstEventDeadline)
            return false;
        refused.push_back({ request.attempt, request.adapter, request.arrivedAt, retryAfter, true, false, request });
        return true;
    });
    return refused;
}

auto AdmissionQueue::drain(Duration retryAfter) -> std::vector<AdmissionRefusal>
{
    auto refused = std::vector<AdmissionRefusal>();
    for (const auto& request : waiting_)
        refused.push_back({ request.attempt, request.adapter, request.arrivedAt, retryAfter, false, false, request });
    waiting_.clear();
    return refused;
}

auto AdmissionQueue::run(const AdmissionRequest& request) -> bool
{
    if (!running_.try_emplace(request.attempt, Running { request }).second)
        return false;
    memoryUsed_ += memoryOf(request);
    unstartedTokens_ += request.unreadTokens;
    return true;
}

auto AdmissionQueue::adopt(const AdmissionRequest& request) -> void
{
    const auto granted = !run(request);
    auto& running = running_.at(request.attempt);
    if (running.started)
        return;
    const auto wasUnread = running.unread;
    markStarted(running, waitsRecordedAt_);
    if (granted && wasUnread)
        rate_.dropped();
}

auto AdmissionQueue::markStarted(Running& running, Moment now) -> void
{
    running.started = true;
    endReading(running, now);
}

auto AdmissionQueue::endReading(Running& running, Moment now) -> bool
{
    if (!std::exchange(running.unread, false))
        return false;
    grantedKeys_.settled(running.request.keys, now);
    unstartedTokens_ -= running.request.unreadTokens;
    return true;
}

auto AdmissionQueue::endOverdueReading(Moment now) -> void
{
    for (auto& [attempt, running] : running_) {
        if (now >= running.readBy && endReading(running, now))
            rate_.dropped();
    }
}

auto AdmissionQueue::started(const AttemptId& attempt, Moment now) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end() || found->second.started)
        return;
    auto& running = found->second;
    const auto wasUnread = running.unread;
    markStarted(running, now);
    if (wasUnread)
        rate_.started(running.request.unreadTokens, now);
    else if (running.grantedAt)
        rate_.readLate(running.request.unreadTokens, now - *running.grantedAt);
}

auto AdmissionQueue::release(const AttemptId& attempt) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        std::erase_if(waiting_, [&](const AdmissionRequest& request) { return request.attempt == attempt; });
        return;
    }
    if (endReading(found->second, waitsRecordedAt_))
        rate_.dropped();
    memoryUsed_ -= memoryOf(found->second.request);
    running_.erase(found);
}

auto AdmissionQueue::withdraw(const AttemptId& attempt, Moment now) -> void
{
    if (arrivals_.limited() && grantedAt(attempt))
        arrivals_.permits().giveBack(1, now);
    release(attempt);
}

auto AdmissionQueue::wanted(const Ready& ready, Duration loadTime, Moment now) const -> std::vector<WantedAdapter>
{
    using LoadRank = std::pair<bool, Moment>;
    auto ranks = std::map<AdapterId, LoadRank>();
    for (const auto& request : waiting_) {
        if (request.adapter.empty() || ready(request.adapter))
            continue;
        const auto late = !onTime(request, now + loadTime);
        const auto rank = LoadRank(late, late ? request.arrivedAt : latestStart(request));
        const auto [found, added] = ranks.try_emplace(request.adapter, rank);
        found->second = std::min(found->second, rank);
    }
    auto adapters = std::vector<WantedAdapter>();
    for (const auto& [adapter, rank] : ranks)
        adapters.push_back({ adapter, rank.first });
    std::stable_sort(adapters.begin(), adapters.end(), [&](const WantedAdapter& left, const WantedAdapter& right) {
        return ranks[left.adapter] < ranks[right.adapter];
    });
    return adapters;
}

auto AdmissionQueue::findQueued(const AttemptId& attempt) const -> const AdmissionRequest*
{
    const auto found = std::find_if(
        waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& request) { return request.attempt == attempt; });
    return found == waiting_.end() ? nullptr : &*found;
}

auto AdmissionQueue::waitingAdapters(Moment now) const -> std::map<AdapterId, WaitingAdapter>
{
    auto adapters = std::map<AdapterId, WaitingAdapter>();
    for (const auto& request : waiting_) {
        if (request.adapter.empty())
            continue;
        auto& adapter = adapters[request.adapter];
        adapter.since = std::min(adapter.since, request.arrivedAt);
        auto owed = claimOf(keysOfAdapter(grantedKeys_.ungranted(request.keys, request.arrivedAt)), now);
        if (owed.level > adapter.claim.level)
            adapter.claim = std::move(owed);
    }
    return adapters;
}

auto AdmissionQueue::waits(const AdapterId& adapter) const -> bool
{
    return std::any_of(
        waiting_.begin(), waiting_.end(), [&](const AdmissionRequest& request) { return request.adapter == adapter; });
}

auto AdmissionQueue::grantedAt(const AttemptId& attempt) const -> std::optional<Moment>
{
    const auto found = running_.find(attempt);
    return found == running_.end() ? std::nullopt : found->second.grantedAt;
}

auto AdmissionQueue::adapterOf(const AttemptId& attempt) const -> std::optional<AdapterId>
{
    const auto found = running_.find(attempt);
    return found == running_.end() ? std::nullopt : std::optional(found->second.request.adapter);
}

} // namespace eelgrass::decisions
