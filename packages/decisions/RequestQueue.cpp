#include "decisions/RequestQueue.h"

#include "decisions/LoadQueue.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace eelgrass::decisions {

namespace {

// Background requests fill at most three quarters of the queue, so that a surge of drafts leaves room for interactive
// requests.
constexpr auto backgroundShare = 0.75;
// One place in sixteen, at least one, is reserved for interactive calls, but only while such calls arrive. A permanent
// reservation would cost a surge of drafts an eighth of a batch of eight.
constexpr auto reservedShare = std::size_t(16);
constexpr auto interactiveWindow = Duration(10s);
// A draft that has waited this long is treated like an interactive call, so that it is not starved.
constexpr auto agingTime = Duration(30s);
// Weight of the newest measurement in the exponential average, which covers about the last eight measurements.
constexpr auto smoothingFactor = 0.125;
constexpr auto minRetry = Duration(1s);

auto smoothed(Duration before, Duration measured) -> Duration
{
    const auto change = static_cast<double>((measured - before).count()) * smoothingFactor;
    return before + Duration(static_cast<Duration::rep>(change));
}

auto retryAfter(Duration missing) -> Duration { return std::max(missing, minRetry); }

} // namespace

auto traitsOf(const RequestClass& requestClass) -> ClassTraits
{
    if (requestClass.view() == "interactive" || requestClass.view() == "lookup")
        return { .weight = 4 };
    if (requestClass.view() == "draft")
        return { .weight = 3, .background = true };
    return {};
}

auto RequestQueue::urgent(const QueuedRequest& request, Moment now) const -> bool
{
    return !traitsOf(request.requestClass).background || now - request.arrivedAt >= agingTime;
}

auto RequestQueue::expectedRunTime(const QueuedRequest& request) const -> Duration
{
    const auto found = runTimes_.find(request.requestClass);
    return found == runTimes_.end() ? Duration::zero() : found->second;
}

auto RequestQueue::offer(QueuedRequest request, const IsResident& resident, std::size_t running, Moment now)
    -> Admission
{
    const auto traits = traitsOf(request.requestClass);
    const auto start = expectedStart(request, resident, running, now);
    const auto share = traits.background ? backgroundShare : 1.0;
    if (static_cast<double>(requests_.size()) >= share * static_cast<double>(limit_))
        return Refused { Refused::Reason::Full, retryAfter(start) };
    if (request.deadline != Moment::max()) {
        // The request is refused now, while its caller can still use another target, instead of at the deadline.
        const auto timeLeft = request.deadline - now - expectedRunTime(request);
        if (start > timeLeft)
            return Refused { Refused::Reason::TooLate, retryAfter(start - std::max(timeLeft, Duration::zero())) };
    }
    if (!traits.background)
        lastInteractiveAt_ = now;
    const auto waits = std::any_of(
        requests_.begin(), requests_.end(), [&](const QueuedRequest& other) { return other.member == request.member; });
    // A member that was inactive does not accumulate a claim on the engine time that it did not use.
    if (!waits)
        served_[request.member] = std::max(served_[request.member], servedFloor_);
    requests_.push_back(std::move(request));
    return Admitted {};
}

// Time until the requests that run before this one have run, at the rate at which places of the batch become free. If
// the adapter must be loaded, the result is at least the duration of that load and of the loads ahead of it.
auto RequestQueue::expectedStart(
    const QueuedRequest& request, const IsResident& resident, std::size_t running, Moment now) const -> Duration
{
    const auto adapterResident = request.model.empty() || resident(request.model);
    auto ahead = Duration::zero();
    auto count = running;
    auto loads = std::set<ModelName>();
    for (const auto& other : requests_) {
        if (urgent(request, now) && !urgent(other, now))
            continue;
        if (!other.model.empty() && !resident(other.model)) {
            if (other.model != request.model)
                loads.insert(other.model);
            continue;
        }
        ahead += expectedRunTime(other);
        ++count;
    }
    const auto places = static_cast<Duration::rep>(std::max(batch_, std::size_t(1)));
    const auto wait = count < batch_ ? Duration::zero() : (ahead + expectedRunTime(request)) / places;
    if (adapterResident)
        return wait;
    const auto loadCount = static_cast<Duration::rep>(loads.size() + 1);
    return std::max(wait, loadTime_ * loadCount);
}

auto RequestQueue::reservedPlaces(Moment now) const -> std::size_t
{
    if (!lastInteractiveAt_ || now - *lastInteractiveAt_ > interactiveWindow)
        return 0;
    return std::max(batch_ / reservedShare, std::size_t(1));
}

auto RequestQueue::next(std::size_t running, const IsResident& resident, Moment now) -> std::optional<QueuedRequest>
{
    if (running >= batch_)
        return std::nullopt;
    const auto placesBeyondReserve = running + reservedPlaces(now) < batch_;
    auto best = requests_.end();
    const auto rank = [&](const QueuedRequest& request) {
        return std::tuple(!urgent(request, now), served_[request.member], request.arrivedAt);
    };
    for (auto request = requests_.begin(); request != requests_.end(); ++request) {
        if (!placesBeyondReserve && !urgent(*request, now))
            continue;
        if (!request->model.empty() && !resident(request->model))
            continue;
        if (best == requests_.end() || rank(*request) < rank(*best))
            best = request;
    }
    if (best == requests_.end())
        return std::nullopt;
    auto chosen = std::move(*best);
    requests_.erase(best);
    charge(chosen);
    return chosen;
}

auto RequestQueue::charge(const QueuedRequest& request) -> void
{
    const auto runSeconds = std::chrono::duration<double>(expectedRunTime(request)).count();
    auto& served = served_[request.member];
    servedFloor_ = std::max(servedFloor_, served);
    served += runSeconds > 0 ? runSeconds : 1;
    // Forgets members at or below the floor, so that the map does not outgrow the queue.
    constexpr auto maxMembers = std::size_t(1024);
    if (served_.size() > maxMembers)
        std::erase_if(served_, [&](const auto& entry) { return entry.second <= servedFloor_; });
}

auto RequestQueue::loadCandidates(const IsResident& resident, Moment now) const -> std::vector<LoadCandidate>
{
    auto byModel = std::map<ModelName, LoadCandidate>();
    for (const auto& request : requests_) {
        if (request.model.empty() || resident(request.model))
            continue;
        auto& candidate = byModel[request.model];
        if (candidate.weight == 0)
            candidate = { request.model, request.member, 0, request.arrivedAt };
        candidate.weight += traitsOf(request.requestClass).weight;
        candidate.oldestAt = std::min(candidate.oldestAt, request.arrivedAt);
    }
    auto candidates = std::vector<LoadCandidate>();
    for (auto& [model, candidate] : byModel)
        candidates.push_back(std::move(candidate));
    const auto priority
        = [&](const LoadCandidate& candidate) { return loadPriority(candidate.weight, candidate.oldestAt, now); };
    std::sort(candidates.begin(), candidates.end(),
        [&](const LoadCandidate& a, const LoadCandidate& b) { return priority(a) > priority(b); });
    return candidates;
}

auto RequestQueue::expire(const IsResident& resident, Moment now) -> std::vector<Expired>
{
    auto expired = std::vector<Expired>();
    const auto tooLate = [&](const QueuedRequest& request) {
        if (request.deadline == Moment::max())
            return false;
        return now + expectedRunTime(request) > request.deadline;
    };
    for (const auto& request : requests_) {
        if (tooLate(request))
            expired.push_back({ request.attempt, retryAfter(expectedStart(request, resident, batch_, now)) });
    }
    std::erase_if(requests_, tooLate);
    return expired;
}

auto RequestQueue::remove(const AttemptId& attempt) -> void
{
    std::erase_if(requests_, [&](const QueuedRequest& request) { return request.attempt == attempt; });
}

auto RequestQueue::recordRunTime(const RequestClass& requestClass, Duration time) -> void
{
    runTime_ = smoothed(runTime_, time);
    const auto known = runTimes_.find(requestClass);
    if (known == runTimes_.end())
        runTimes_[requestClass] = time;
    else
        known->second = smoothed(known->second, time);
}

auto RequestQueue::placeTime() const -> Duration
{
    return runTime_ / static_cast<Duration::rep>(std::max(batch_, std::size_t(1)));
}

auto RequestQueue::recordLoadTime(Duration time) -> void { loadTime_ = smoothed(loadTime_, time); }

} // namespace eelgrass::decisions
