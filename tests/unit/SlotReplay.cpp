#include "decisions/AdapterSlots.h"
#include "decisions/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

// One replica with seven slots. Each request uses an adapter of its own and occupies its slot for 2.4 s; four requests
// per second are more than the slots can serve. A load takes 250 ms, a caller waits 2.3 s, and an answer that begins
// within 600 ms is on time.
constexpr auto slotCount = std::size_t(7);
constexpr auto loadTime = Duration(250ms);
constexpr auto runTime = Duration(2400ms);
constexpr auto firstEventLimit = Duration(600ms);
constexpr auto patience = Duration(2300ms);
constexpr auto perSecond = 4.0;
constexpr auto step = Duration(10ms);
constexpr auto simulatedTime = Moment(60s);

struct Outcome {
    int requestCount = 0;
    int onTime = 0;
    int late = 0;
};

/// Selects the adapter that is loaded next; no value if the slot should stay free.
using LoadOrder
    = std::function<std::optional<AdapterId>(const AdmissionQueue&, const AdmissionQueue::Ready&, std::size_t, Moment)>;

class Replay {
public:
    explicit Replay(LoadOrder order)
        : order_(std::move(order))
    {
        queue_.setLimits({ .batch = 64, .memory = 250000, .readRate = 40 });
    }

    auto run() -> Outcome
    {
        for (auto now = Moment(); now < simulatedTime; now += step) {
            finish(now);
            arrive(now);
            load(now);
            grant(now);
            (void)queue_.expire(ready(), now);
        }
        return outcome_;
    }

private:
    [[nodiscard]] auto ready() const -> AdmissionQueue::Ready
    {
        return [this](const AdapterId& adapter) { return slots_.ready(ModelName(adapter.str())); };
    }

    auto finish(Moment now) -> void
    {
        for (auto& [at, adapter] : loads_) {
            if (at <= now && !slots_.ready(adapter))
                slots_.loadEnded(adapter, true, now);
        }
        std::erase_if(loads_, [&](const auto& load) { return load.first <= now; });
        while (!ends_.empty() && ends_.begin()->first <= now) {
            const auto attempt = ends_.begin()->second;
            slots_.unpin(ModelName(attempt.str()));
            queue_.release(attempt);
            ends_.erase(ends_.begin());
        }
    }

    auto arrive(Moment now) -> void
    {
        if (std::uniform_real_distribution<>(0, 1)(random_) > perSecond * std::chrono::duration<double>(step).count())
            return;
        const auto name = "a" + std::to_string(outcome_.requestCount++);
        slots_.asked(ModelName(name), now);
        (void)queue_.offer({ .attempt = AttemptId(name),
                               .adapter = AdapterId(name),
                               .promptTokens = 800,
                               .unreadTokens = 800,
                               .outputTokens = 300,
                               .arrivedAt = now,
                               .firstEventDeadline = now + firstEventLimit,
                               .callerDeadline = now + patience },
            ready(), loadTime, now);
    }

    [[nodiscard]] auto spareSlots() const -> std::size_t
    {
        auto free = slotCount - loads_.size() - slots_.resident().size();
        for (const auto& model : slots_.resident())
            free += slots_.pinned(model) || queue_.waits(AdapterId(model.str())) ? 0 : 1;
        return free;
    }

    auto load(Moment now) -> void
    {
        const auto next = order_(queue_, ready(), spareSlots(), now);
        if (!next)
            return;
        const auto name = ModelName(next->str());
        const auto keep = [this](const ModelName& model) { return queue_.waits(AdapterId(model.str())); };
        auto answer = slots_.request(name, now, {}, keep);
        if (const auto* evict = std::get_if<EvictFirst>(&answer)) {
            slots_.unloadStarted(evict->victim);
            slots_.unloadEnded(evict->victim, true);
            answer = slots_.request(name, now, {}, keep);
        }
        if (!std::holds_alternative<LoadNow>(answer))
            return;
        slots_.loadStarted(name, now);
        loads_.emplace(now + loadTime, name);
    }

    auto grant(Moment now) -> void
    {
        for (const auto& request : queue_.grant(ready(), now)) {
            slots_.pin(ModelName(request.adapter.str()), now);
            queue_.started(request.attempt, now);
            ends_.emplace(now + runTime, request.attempt);
            (now <= request.firstEventDeadline ? outcome_.onTime : outcome_.late) += 1;
        }
    }

    LoadOrder order_;
    std::mt19937 random_ { 5 };
    AdmissionQueue queue_;
    AdapterSlots slots_ { slotCount };
    std::multimap<Moment, ModelName> loads_;
    std::multimap<Moment, AttemptId> ends_;
    Outcome outcome_;
};

/// The baseline: loads the adapter that has waited longest.
auto longestWait(const AdmissionQueue& queue, const AdmissionQueue::Ready& ready, std::size_t, Moment)
    -> std::optional<AdapterId>
{
    // At the start of the simulation no request is late, so requests are ordered by deadline, which is their order of
    // arrival.
    const auto wanted = queue.wanted(ready, {}, Moment());
    return wanted.empty() ? std::nullopt : std::optional(wanted.front().adapter);
}

auto byPolicy(const AdmissionQueue& queue, const AdmissionQueue::Ready& ready, std::size_t spareSlots, Moment now)
    -> std::optional<AdapterId>
{
    const auto wanted = queue.wanted(ready, loadTime, now);
    if (wanted.empty() || !mayTakeSlot(wanted.front(), spareSlots))
        return std::nullopt;
    return wanted.front().adapter;
}

} // namespace

// With the baseline, a tenth more requests than the slots can serve make nearly every answer late, since each slot goes
// to the request that has waited longest and is late by then. Loading first for requests that can still be on time, and
// keeping one slot free for the next of them, makes most answers on time.
BOOST_AUTO_TEST_CASE(more_adapters_than_slots_leave_most_answers_on_time)
{
    const auto baseline = Replay(longestWait).run();
    const auto policy = Replay(byPolicy).run();
    BOOST_TEST_MESSAGE("on time " << policy.onTime << " of " << policy.requestCount << ", late " << policy.late
                                  << "; longest wait first: " << baseline.onTime << ", late " << baseline.late);
    BOOST_TEST(policy.requestCount == baseline.requestCount);
    BOOST_TEST(policy.onTime > 2 * baseline.onTime);
    BOOST_TEST(policy.onTime * 10 > policy.requestCount * 6);
}

// Two adapters compete for the last slot: one for a request that is late in any case, one for a request on time.
BOOST_AUTO_TEST_CASE(the_last_free_slot_is_reserved_for_requests_on_time)
{
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), false }, 0));
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), false }, 1));
    BOOST_TEST(!mayTakeSlot({ AdapterId("a"), true }, 1));
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), true }, 2));
}
