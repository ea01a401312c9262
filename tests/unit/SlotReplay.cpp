#include "decisions/AdapterSlots.h"
#include "decisions/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

// One replica of seven slots. Each question brings an adapter that nobody else uses and keeps its slot for 2.4 s; four
// a second are more than the slots can serve. A load takes 250 ms, a caller waits 2.3 s, and an answer that begins
// within 600 ms is on time.
constexpr auto slotCount = std::size_t(7);
constexpr auto loadTime = Duration(250ms);
constexpr auto runTime = Duration(2400ms);
constexpr auto aim = Duration(600ms);
constexpr auto patience = Duration(2300ms);
constexpr auto perSecond = 4.0;
constexpr auto step = Duration(10ms);
constexpr auto length = Moment(60s);

struct Outcome {
    int asked = 0;
    int onTime = 0;
    int late = 0;
};

/// Which waiting adapter is loaded next; none when the slot is better left free.
using LoadOrder
    = std::function<std::optional<AdapterId>(const AdmissionQueue&, const AdmissionQueue::Ready&, std::size_t, Moment)>;

class Replay {
public:
    explicit Replay(LoadOrder order)
        : order_(std::move(order))
    {
        queue_.setLimits({ .batch = 64, .memory = 250000, .readRate = 40 });
    }

    auto play() -> Outcome
    {
        for (auto now = Moment(); now < length; now += step) {
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
        const auto name = "a" + std::to_string(outcome_.asked++);
        slots_.asked(ModelName(name), now);
        (void)queue_.offer({ .attempt = AttemptId(name),
                               .adapter = AdapterId(name),
                               .promptTokens = 800,
                               .unreadTokens = 800,
                               .outputTokens = 300,
                               .arrivedAt = now,
                               .firstEventDeadline = now + aim,
                               .callerDeadline = now + patience },
            ready(), loadTime, now);
    }

    [[nodiscard]] auto spare() const -> std::size_t
    {
        auto free = slotCount - loads_.size() - slots_.resident().size();
        for (const auto& model : slots_.resident())
            free += slots_.pinned(model) || queue_.waits(AdapterId(model.str())) ? 0 : 1;
        return free;
    }

    auto load(Moment now) -> void
    {
        const auto next = order_(queue_, ready(), spare(), now);
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

/// Whatever has waited longest, the baseline.
auto longestWait(const AdmissionQueue& queue, const AdmissionQueue::Ready& ready, std::size_t, Moment)
    -> std::optional<AdapterId>
{
    // Asked as of the beginning nothing is late yet, and the first to be late is the first that came.
    const auto wanted = queue.wanted(ready, {}, Moment());
    return wanted.empty() ? std::nullopt : std::optional(wanted.front().adapter);
}

auto asDecided(const AdmissionQueue& queue, const AdmissionQueue::Ready& ready, std::size_t spare, Moment now)
    -> std::optional<AdapterId>
{
    const auto wanted = queue.wanted(ready, loadTime, now);
    if (wanted.empty() || !mayTakeSlot(wanted.front(), spare))
        return std::nullopt;
    return wanted.front().adapter;
}

} // namespace

// What callers see at the baseline: with a tenth more questions than slots, nearly every answer is late, since each
// slot goes to the question that has waited longest and is late by then. Loaded first for those who can still be on
// time, with a slot left to the next of them, most callers have their answer in time.
BOOST_AUTO_TEST_CASE(more_adapters_than_slots_leave_most_answers_on_time)
{
    const auto baseline = Replay(longestWait).play();
    const auto decided = Replay(asDecided).play();
    BOOST_TEST_MESSAGE("on time " << decided.onTime << " of " << decided.asked << ", late " << decided.late
                                  << "; longest wait first: " << baseline.onTime << ", late " << baseline.late);
    BOOST_TEST(decided.asked == baseline.asked);
    BOOST_TEST(decided.onTime > 2 * baseline.onTime);
    BOOST_TEST(decided.onTime * 10 > decided.asked * 6);
}

// Two adapters wait for the last slot: one for a caller who would hear too late, one for a caller in time.
BOOST_AUTO_TEST_CASE(the_last_free_slot_is_kept_for_who_can_be_on_time)
{
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), false }, 0));
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), false }, 1));
    BOOST_TEST(!mayTakeSlot({ AdapterId("a"), true }, 1));
    BOOST_TEST(mayTakeSlot({ AdapterId("a"), true }, 2));
}
