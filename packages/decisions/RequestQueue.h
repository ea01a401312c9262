#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace eelgrass::decisions {

/// How a class of requests is treated. `weight` affects the order of loads; background requests leave room for other
/// requests.
struct ClassTraits {
    double weight = 2;
    bool background = false;
};
[[nodiscard]] auto traitsOf(const RequestClass&) -> ClassTraits;

/// A request that waits at a target.
struct QueuedRequest {
    AttemptId attempt;
    MemberId member;
    /// Empty for a plain service.
    ModelName model;
    RequestClass requestClass;
    Moment arrivedAt {};
    /// When the caller needs the complete answer; `Moment::max()` for no deadline.
    Moment deadline = Moment::max();
};

/// The request was queued.
struct Admitted { };
/// The request was not queued and has not run.
struct Refused {
    enum class Reason { Full, TooLate };
    Reason reason = Reason::Full;
    /// Time until the queue will have drained far enough to admit the request, at the measured rate.
    Duration retryAfter {};
};
using Admission = std::variant<Admitted, Refused>;

/// An adapter that queued requests wait for. `weight` is the sum of their class weights, `oldestAt` the arrival of the
/// oldest one, `member` the member of the request that was queued first.
struct LoadCandidate {
    ModelName model;
    MemberId member;
    double weight = 0;
    Moment oldestAt {};
};

/// A request removed because it can no longer be answered before its deadline.
struct Expired {
    AttemptId attempt;
    Duration retryAfter {};
};

/// The bounded queue of one target: admits the requests that can be answered in time, and selects which one starts
/// next.
///
/// Designed for bursts, full saturation, one member that sends far more requests than the others, and long drafts mixed
/// with short interactive calls. The queue prevents callers from being refused only at their deadline, one member from
/// crowding out the others, interactive calls from waiting behind minutes of drafts, and drafts from never starting.
///
/// ```cpp
/// auto admission = queue.offer(request, isResident, running, now);
/// while (auto next = queue.next(running, isResident, now)) ...
/// ```
class RequestQueue {
public:
    using IsResident = std::function<bool(const ModelName&)>;

    RequestQueue(std::size_t limit, std::size_t batch) noexcept
        : limit_(limit)
        , batch_(batch)
    {
    }

    [[nodiscard]] auto offer(QueuedRequest request, const IsResident& resident, std::size_t running, Moment now)
        -> Admission;
    /// Queues a request that was admitted or had started before, without checking whether it can be admitted.
    auto putBack(QueuedRequest request) -> void { requests_.push_back(std::move(request)); }
    /// Removes and returns the request that starts next while `running` others run, or no value if none may start.
    [[nodiscard]] auto next(std::size_t running, const IsResident& resident, Moment now)
        -> std::optional<QueuedRequest>;
    /// Adapters that requests wait for and that are not resident, by descending load priority.
    [[nodiscard]] auto loadCandidates(const IsResident& resident, Moment now) const -> std::vector<LoadCandidate>;
    /// Removes and returns the requests that can no longer be answered in time.
    [[nodiscard]] auto expire(const IsResident& resident, Moment now) -> std::vector<Expired>;
    auto remove(const AttemptId&) -> void;
    /// Removes the requests for which `waits` returns false, for example cancelled ones.
    template <typename Predicate> auto keepOnly(Predicate&& waits) -> void
    {
        std::erase_if(requests_, [&](const QueuedRequest& request) { return !waits(request.attempt); });
    }

    /// Records how long a request of the class ran on the engine.
    auto recordRunTime(const RequestClass&, Duration) -> void;
    /// Records the time from when a load was first wanted until it ended.
    auto recordLoadTime(Duration) -> void;

    /// Mean interval at which places of a full batch become free.
    [[nodiscard]] auto placeTime() const -> Duration;
    [[nodiscard]] auto size() const noexcept -> std::size_t { return requests_.size(); }
    [[nodiscard]] auto all() const noexcept -> const std::vector<QueuedRequest>& { return requests_; }

private:
    [[nodiscard]] auto urgent(const QueuedRequest&, Moment now) const -> bool;
    [[nodiscard]] auto expectedStart(const QueuedRequest&, const IsResident&, std::size_t running, Moment now) const
        -> Duration;
    [[nodiscard]] auto expectedRunTime(const QueuedRequest&) const -> Duration;
    [[nodiscard]] auto reservedPlaces(Moment now) const -> std::size_t;
    auto charge(const QueuedRequest&) -> void;

    std::size_t limit_;
    std::size_t batch_;
    std::vector<QueuedRequest> requests_;
    /// Engine time used by each member, in seconds, with a request of unknown duration counted as one second. The
    /// member with the least engine time goes first.
    std::map<MemberId, double> served_;
    double servedFloor_ = 0;
    std::map<RequestClass, Duration> runTimes_;
    /// Mean run time of the requests of all classes, smoothed exponentially.
    Duration runTime_ = 2s;
    Duration loadTime_ = 500ms;
    std::optional<Moment> lastInteractiveAt_;
};

} // namespace eelgrass::decisions
