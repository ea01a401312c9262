#pragma once

#include "base/Clock.h"
#include "base/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace eelgrass::decisions {

/// How a class of requests is treated. Weight counts in the order of loads; background work leaves room to others.
struct ClassTraits {
    double weight = 2;
    bool background = false;
};
[[nodiscard]] auto traitsOf(const RequestClass&) -> ClassTraits;

/// One request that waits at a target.
struct QueuedRequest {
    AttemptId attempt;
    MemberId member;
    /// Empty for a plain service.
    ModelName model;
    RequestClass requestClass;
    Moment arrivedAt {};
    /// When its caller wants the whole answer; `Moment::max()` for no deadline.
    Moment deadline = Moment::max();
};

/// The request waits here now.
struct Admitted { };
/// The request does not wait here; it has not run.
struct Refused {
    enum class Reason { Full, TooLate };
    Reason reason = Reason::Full;
    /// When the queue will have drained far enough at the rate measured.
    Duration retryAfter {};
};
using Admission = std::variant<Admitted, Refused>;

/// The adapter that the most, most urgent and most patient requests wait for.
struct LoadCandidate {
    ModelName model;
    MemberId member;
    double weight = 0;
    Moment oldestAt {};
};

/// What a request given up on is told.
struct Expired {
    AttemptId attempt;
    Duration retryAfter {};
};

/// The bounded queue of one target: admits what can start in time, and says what starts next.
///
/// Load made for: bursts, full saturation, one member that asks for far more than the others, long drafts among short
/// interactive calls.
/// Harm prevented: callers who wait only to be told no at their deadline, members crowded out by one, interactive
/// calls behind minutes of drafts, drafts that never start.
///
/// ```cpp
/// auto admission = queue.offer(request, resident, now);
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
    /// Puts back a request that had started or was admitted before; it is not refused.
    auto putBack(QueuedRequest request) -> void { requests_.push_back(std::move(request)); }
    /// Takes the request that starts next while `running` others run; empty when none may.
    [[nodiscard]] auto next(std::size_t running, const IsResident& resident, Moment now)
        -> std::optional<QueuedRequest>;
    /// Adapters that are waited for and not resident, most worthy first.
    [[nodiscard]] auto loadCandidates(const IsResident& resident, Moment now) const -> std::vector<LoadCandidate>;
    /// Takes out the requests that can no longer be answered in time.
    [[nodiscard]] auto expire(const IsResident& resident, Moment now) -> std::vector<Expired>;
    auto remove(const AttemptId&) -> void;
    /// Drops the requests that wait no more, as after a cancel.
    template <typename Predicate> auto keepOnly(Predicate&& waits) -> void
    {
        std::erase_if(requests_, [&](const QueuedRequest& request) { return !waits(request.attempt); });
    }

    /// A started request ended after this time on the engine.
    auto recordRunTime(const RequestClass&, Duration) -> void;
    /// A load ended this long after it was first wanted.
    auto recordLoadTime(Duration) -> void;

    /// Mean time between two places of the full batch becoming free.
    [[nodiscard]] auto placeTime() const -> Duration;
    [[nodiscard]] auto size() const noexcept -> std::size_t { return requests_.size(); }
    [[nodiscard]] auto all() const noexcept -> const std::vector<QueuedRequest>& { return requests_; }

private:
    [[nodiscard]] auto urgent(const QueuedRequest&, Moment now) const -> bool;
    [[nodiscard]] auto expectedStart(const QueuedRequest&, const IsResident&, std::size_t running, Moment now) const
        -> Duration;
    [[nodiscard]] auto timeToRun(const QueuedRequest&) const -> Duration;
    [[nodiscard]] auto reserved(Moment now) const -> std::size_t;
    auto charge(const QueuedRequest&) -> void;

    std::size_t limit_;
    std::size_t batch_;
    std::vector<QueuedRequest> requests_;
    /// Work that each member has been given, in requests weighted by their time; the least goes first.
    std::map<MemberId, double> served_;
    double servedFloor_ = 0;
    std::map<RequestClass, Duration> runTimes_;
    /// Of all classes together.
    Duration runTime_ = 2s;
    Duration loadTime_ = 500ms;
    std::optional<Moment> interactiveAt_;
};

} // namespace eelgrass::decisions
