#pragma once

#include "base/Clock.h"
#include "base/Ids.h"
#include "decisions/PrefillRate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrass::decisions {

using TokenCount = std::uint64_t;

/// A request that asks to be sent to one replica.
struct AdmissionRequest {
    AttemptId attempt;
    /// Empty for the base model.
    AdapterId adapter;
    TokenCount promptTokens = 0;
    /// Prompt tokens that the replica has still to read, by what is known of its cache.
    TokenCount unreadTokens = 0;
    TokenCount outputTokens = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 5;
    Moment arrivedAt {};
    /// When its adapter was there; set by the queue.
    Moment readyAt {};
    /// When the first event is late.
    Moment firstEventDeadline = Moment::max();
    /// When nobody waits for it any more.
    Moment callerDeadline = Moment::max();
    /// Its entry can ask another replica, should it be late here.
    bool elsewhere = false;
};

/// What one replica can take.
struct ReplicaLimits {
    std::size_t batch = 64;
    /// Memory for prompts and answers, in tokens.
    TokenCount memory = 200000;
    /// Prompt tokens read in a millisecond, until it is measured.
    double readRate = 40;
};

/// The request is not taken in; it has not been sent.
struct AdmissionRefusal {
    AttemptId attempt;
    /// When the work ahead will be done.
    Duration retryAfter {};
    /// It would be served here, but late, and may be in time elsewhere.
    bool late = false;
};

/// An adapter that waiting requests need.
struct WantedAdapter {
    AdapterId adapter;
    /// None of them would still be on time.
    bool late = false;
};

/// Whether a free or unused slot may be given to the adapter. `spareSlots` counts those that are not promised yet.
///
/// Load made for: more adapters in use than slots. Harm prevented: the slot that the next caller could have had in time
/// is taken, for seconds, by one who hears too late anyway; then everybody does. One slot is enough: what is late gets
/// the next that is free beside it.
[[nodiscard]] constexpr auto mayTakeSlot(const WantedAdapter& wanted, std::size_t spareSlots) noexcept -> bool
{
    constexpr auto keptFree = std::size_t(1);
    return !wanted.late || spareSlots > keptFree;
}

/// Which requests a replica gets, and in which order, as the process beside it decides.
///
/// Load made for: bursts of long prompts beside short ones, and a batch that is full.
/// Harm prevented: a prompt of a thousand pages before which short questions wait in the engine's own queue, where
/// nobody can reorder or refuse them; requests read in vain because their callers left; running streams preempted since
/// more was admitted than the memory holds; callers told only at their deadline that it was hopeless.
///
/// Granted are at most `batch` requests, at most `memoryShare` of the memory, and prompt work for `readAhead`: less
/// would leave the engine idle between two grants, more would take the order out of our hands.
/// Order: what can still be on time, the more urgent first, then by the moment it will be late; behind it what will be
/// late anyway, in order of arrival. Taking the earliest moment first without asking whether it can still be met serves
/// everything a little too late once there is more work than time.
/// What cannot be reached before its caller leaves is refused when that is known and not when it has waited for it; the
/// share of the engine that more urgent requests have lately taken is counted as not there.
///
/// ```cpp
/// if (auto refusal = queue.offer(request, ready, now)) answer(*refusal);
/// for (auto& granted : queue.grant(ready, now)) send(granted);
/// ```
class AdmissionQueue {
public:
    /// Whether a request's adapter can be used now.
    using Ready = std::function<bool(const AdapterId&)>;

    auto setLimits(ReplicaLimits limits) -> void;
    [[nodiscard]] auto limits() const noexcept -> const ReplicaLimits& { return limits_; }

    /// Takes the request in, unless what is ahead of it takes longer than its caller waits. `loadTime` is what its
    /// adapter still needs.
    ///
    /// A request that would be late here and can go elsewhere is told so. Its entry chose by figures that are some
    /// hundred milliseconds old, in which others chose the same replica; the queue's own figures are true.
    [[nodiscard]] auto offer(AdmissionRequest request, const Ready& ready, Duration loadTime, Moment now)
        -> std::optional<AdmissionRefusal>;
    /// Takes out what may be sent now, `most` at the most.
    [[nodiscard]] auto grant(const Ready& ready, Moment now, std::size_t most = SIZE_MAX)
        -> std::vector<AdmissionRequest>;
    /// Takes out what will not be reached before its caller leaves.
    [[nodiscard]] auto expire(const Ready& ready, Moment now) -> std::vector<AdmissionRefusal>;
    /// Takes everything out, as when the replica is gone.
    [[nodiscard]] auto drain(Duration retryAfter) -> std::vector<AdmissionRefusal>;

    /// A request runs that no grant of ours allowed: it was granted, and read, before this process started.
    auto adopt(const AdmissionRequest& request) -> void;
    /// Its first event came: its prompt has been read.
    auto started(const AttemptId& attempt, Moment now) -> void;
    /// The request is over, or its caller left while it waited.
    auto release(const AttemptId& attempt) -> void;

    /// Adapters that waiting requests need and that are not ready, in the order in which they are to be loaded: first
    /// those with a request that would still be on time after a load of `loadTime`, by the moment it will be late.
    /// Taking the longest wait first makes every request late once there are more adapters than slots.
    [[nodiscard]] auto wanted(const Ready& ready, Duration loadTime, Moment now) const -> std::vector<WantedAdapter>;
    [[nodiscard]] auto waits(const AdapterId& adapter) const -> bool;
    [[nodiscard]] auto running() const noexcept -> std::size_t { return running_.size(); }
    [[nodiscard]] auto queued() const noexcept -> std::size_t { return waiting_.size(); }
    /// The adapter of a granted request; empty when it is not granted.
    [[nodiscard]] auto adapterOf(const AttemptId& attempt) const -> std::optional<AdapterId>;
    /// When it was granted; empty when it is not, or was by an earlier process.
    [[nodiscard]] auto grantedAt(const AttemptId& attempt) const -> std::optional<Moment>;
    /// Prompt tokens to be read before a request that comes now. What waits for its adapter is not in the way of
    /// others: counted, it made replicas look busy that were not, and adapters were copied to more of them, which took
    /// the slots that they waited for.
    [[nodiscard]] auto tokensAhead(const Ready& ready) const -> TokenCount;
    /// Prompt tokens that wait for their adapters: they go before a request whose adapter is wanted only now.
    [[nodiscard]] auto tokensWaiting(const Ready& ready) const -> TokenCount;
    /// Prompt tokens that the replica reads in a millisecond, as measured.
    [[nodiscard]] auto readRate() const noexcept -> double { return rate_.perMillisecond(); }
    [[nodiscard]] auto memoryUsed() const noexcept -> TokenCount { return memoryUsed_; }

private:
    struct Running {
        AdmissionRequest request;
        bool started = false;
        std::optional<Moment> grantedAt {};
    };
    /// Work that came lately, by urgency, in tokens a millisecond.
    struct Inflow {
        double rate = 0;
        Moment at {};
    };
    [[nodiscard]] auto readTime(TokenCount tokens) const -> Duration;
    /// The same for requests that yield to more urgent ones.
    [[nodiscard]] auto readTime(TokenCount tokens, std::uint32_t priority, Moment now) const -> Duration;
    [[nodiscard]] auto onTime(const AdmissionRequest& request, Moment now) const -> bool;
    /// When its reading must begin for its first event to be on time.
    [[nodiscard]] auto startBy(const AdmissionRequest& request) const -> Moment;
    [[nodiscard]] auto before(const AdmissionRequest& left, const AdmissionRequest& right, Moment now) const -> bool;
    auto order(Moment now) -> void;
    auto noteInflow(const AdmissionRequest& request, Moment now) -> void;
    [[nodiscard]] auto fits(const AdmissionRequest& request) const -> bool;
    auto run(const AdmissionRequest& request) -> bool;
    auto settle(Running& running) -> void;
    ReplicaLimits limits_;
    PrefillRate rate_ { ReplicaLimits().readRate };
    std::vector<AdmissionRequest> waiting_;
    std::map<AttemptId, Running> running_;
    std::map<std::uint32_t, Inflow> inflow_;
    TokenCount memoryUsed_ = 0;
    TokenCount unstarted_ = 0;
};

} // namespace eelgrass::decisions
