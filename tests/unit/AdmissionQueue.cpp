#include "decisions/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

const auto always = [](const AdapterId&) { return true; };

auto requestOf(const std::string& attempt, TokenCount tokens, Duration late, Duration patience, Moment now = {})
    -> AdmissionRequest
{
    return { .attempt = AttemptId(attempt),
        .adapter = AdapterId("a"),
        .promptTokens = tokens,
        .unreadTokens = tokens,
        .outputTokens = 50,
        .arrivedAt = now,
        .firstEventDeadline = now + late,
        .callerDeadline = now + patience };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_that_cannot_start_in_time_is_refused_at_once)
{
    auto queue = AdmissionQueue();
    queue.setLimits({ .readRate = 40 });
    BOOST_TEST(!queue.offer(requestOf("long", 40000, 800ms, 4s), always, {}, {}).has_value());
    const auto refusal = queue.offer(requestOf("hopeless", 40000, 800ms, 1900ms), always, {}, {});
    BOOST_REQUIRE(refusal.has_value());
    // The work ahead takes one second; an earlier retry would be refused again.
    BOOST_TEST(refusal->retryAfter.count() == Duration(1s).count());
}

BOOST_AUTO_TEST_CASE(requests_that_can_be_on_time_go_before_late_ones)
{
    auto queue = AdmissionQueue();
    (void)queue.offer(requestOf("late", 100, 0ms, 4s, Moment()), always, {}, Moment());
    (void)queue.offer(requestOf("soon", 100, 500ms, 4s, Moment()), always, {}, Moment());
    (void)queue.offer(requestOf("sooner", 100, 200ms, 4s, Moment()), always, {}, Moment());
    const auto granted = queue.grant(always, Moment(10ms));
    BOOST_REQUIRE(granted.size() == 3U);
    BOOST_TEST(granted[0].attempt.str() == "sooner");
    BOOST_TEST(granted[1].attempt.str() == "soon");
    BOOST_TEST(granted[2].attempt.str() == "late");
}

BOOST_AUTO_TEST_CASE(grants_stay_within_memory_and_batch)
{
    auto queue = AdmissionQueue();
    queue.setLimits({ .batch = 3, .memory = 10000, .readRate = 1000 });
    for (auto count = 0; count < 6; ++count)
        (void)queue.offer(requestOf("r" + std::to_string(count), 100, 1s, 9s), always, {}, {});
    BOOST_TEST(queue.grant(always, {}).size() == 3U);
    queue.release(AttemptId("r0"));
    BOOST_TEST(queue.grant(always, {}).size() == 1U);
    auto small = AdmissionQueue();
    small.setLimits({ .batch = 64, .memory = 1000, .readRate = 1000 });
    for (auto count = 0; count < 6; ++count)
        (void)small.offer(requestOf("r" + std::to_string(count), 250, 1s, 9s), always, {}, {});
    BOOST_TEST(small.grant(always, {}).size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_its_adapter_does_not_block_others)
{
    auto queue = AdmissionQueue();
    auto waiting = requestOf("waiting", 100, 100ms, 4s);
    waiting.adapter = AdapterId("coming");
    (void)queue.offer(waiting, always, 300ms, {});
    (void)queue.offer(requestOf("ready", 100, 500ms, 4s), always, {}, {});
    const auto ready = [](const AdapterId& adapter) { return adapter.str() == "a"; };
    const auto granted = queue.grant(ready, {});
    BOOST_REQUIRE(granted.size() == 1U);
    BOOST_TEST(granted[0].attempt.str() == "ready");
    const auto wanted = queue.wanted(ready, 300ms, {});
    BOOST_REQUIRE(wanted.size() == 1U);
    BOOST_TEST(wanted[0].adapter.str() == "coming");
}

// Ten requests that wait for their adapters do not count as work ahead of a request whose adapter is ready, and do not
// delay it.
BOOST_AUTO_TEST_CASE(requests_that_wait_for_adapters_are_not_ahead_of_others)
{
    auto queue = AdmissionQueue();
    const auto ready = [](const AdapterId& adapter) { return adapter.str() == "a"; };
    for (auto count = 0; count < 10; ++count) {
        auto waiting = requestOf("w" + std::to_string(count), 9000, 800ms, 4s);
        waiting.adapter = AdapterId("coming-" + std::to_string(count));
        (void)queue.offer(waiting, ready, 300ms, {});
    }
    BOOST_TEST(queue.tokensAhead(ready) == 0U);
    BOOST_TEST(!queue.offer(requestOf("ready", 9000, 800ms, 1s), ready, {}, {}).has_value());
    BOOST_TEST(queue.grant(ready, {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_ended_request_releases_its_memory)
{
    auto queue = AdmissionQueue();
    (void)queue.offer(requestOf("one", 1000, 1s, 4s), always, {}, {});
    (void)queue.grant(always, {});
    BOOST_TEST(queue.memoryUsed() == 1050U);
    queue.started(AttemptId("one"), {});
    BOOST_TEST(queue.tokensAhead(always) == 0U);
    queue.release(AttemptId("one"));
    queue.release(AttemptId("one"));
    BOOST_TEST(queue.memoryUsed() == 0U);
    BOOST_TEST(queue.running() == 0U);
}

// Prompts arrive for ten seconds at three times the capacity of the engine: prompts of 9,000 tokens mixed with prompts
// of 800. The engine processes prompts in the order granted. Most short prompts must be on time, refusals must come
// early, and every granted prompt must be processed before its caller leaves.
BOOST_AUTO_TEST_CASE(short_prompts_are_on_time_in_a_burst_of_long_ones)
{
    constexpr auto rate = 40.0;
    auto random = std::mt19937(7);
    auto queue = AdmissionQueue();
    queue.setLimits({ .batch = 64, .memory = 250000, .readRate = rate });
    auto engineFree = Moment();
    auto onTime = 0;
    auto shortPrompts = 0;
    auto processedTooLate = 0;
    auto lateRefusals = 0;
    auto ends = std::multimap<Moment, AttemptId>();
    auto arrivals = std::map<AttemptId, AdmissionRequest>();
    for (auto now = Moment(); now < Moment(10s); now += 10ms) {
        while (!ends.empty() && ends.begin()->first <= now) {
            queue.release(ends.begin()->second);
            ends.erase(ends.begin());
        }
        for (auto kind : { 0, 1 }) {
            const auto chance = kind == 0 ? 0.12 : 0.2;
            if (std::uniform_real_distribution<>(0, 1)(random) > chance)
                continue;
            const auto name = std::to_string(now.time_since_epoch().count()) + (kind == 0 ? "r" : "q");
            auto request = kind == 0 ? requestOf(name, 9000, 800ms, 3s, now) : requestOf(name, 800, 600ms, 2400ms, now);
            shortPrompts += kind;
            arrivals[request.attempt] = request;
            (void)queue.offer(request, always, {}, now);
        }
        for (const auto& refusal : queue.expire(always, now))
            lateRefusals += now - arrivals[refusal.attempt].arrivedAt > Duration(2500ms) ? 1 : 0;
        for (const auto& granted : queue.grant(always, now)) {
            const auto read = std::chrono::duration_cast<Duration>(
                std::chrono::duration<double, std::milli>(static_cast<double>(granted.unreadTokens) / rate));
            engineFree = std::max(engineFree, now) + read;
            ends.emplace(engineFree, granted.attempt);
            onTime
                += granted.outputTokens == 50 && granted.promptTokens == 800 && engineFree <= granted.firstEventDeadline
                ? 1
                : 0;
            processedTooLate += engineFree > granted.callerDeadline ? 1 : 0;
        }
    }
    BOOST_TEST(shortPrompts > 150);
    BOOST_TEST(onTime > shortPrompts * 6 / 10);
    BOOST_TEST(processedTooLate == 0);
    BOOST_TEST(lateRefusals == 0);
}

// Two adapters wait for a slot. The request for one has waited longer and is already late; the other can be on time.
BOOST_AUTO_TEST_CASE(adapters_of_requests_that_can_be_on_time_are_loaded_first)
{
    auto queue = AdmissionQueue();
    const auto none = [](const AdapterId&) { return false; };
    auto late = requestOf("late", 800, 600ms, 4s, Moment());
    late.adapter = AdapterId("late");
    auto soon = requestOf("soon", 800, 600ms, 4s, Moment(500ms));
    soon.adapter = AdapterId("soon");
    (void)queue.offer(late, none, 250ms, Moment());
    (void)queue.offer(soon, none, 250ms, Moment(500ms));
    const auto wanted = queue.wanted(none, 250ms, Moment(500ms));
    BOOST_REQUIRE(wanted.size() == 2U);
    BOOST_TEST(wanted[0].adapter.str() == "soon");
    BOOST_TEST(!wanted[0].late);
    BOOST_TEST(wanted[1].late);
}

// A long and a short prompt arrive together with the same deadline, and both adapters must be loaded. The long prompt
// must start earlier: both are on time only if its adapter is loaded first.
BOOST_AUTO_TEST_CASE(the_adapter_of_the_longer_prompt_is_loaded_first)
{
    auto queue = AdmissionQueue();
    queue.setLimits({ .readRate = 40 });
    const auto none = [](const AdapterId&) { return false; };
    auto quick = requestOf("short", 800, 800ms, 4s);
    quick.adapter = AdapterId("a");
    auto slow = requestOf("long", 16000, 800ms, 4s);
    slow.adapter = AdapterId("b");
    (void)queue.offer(quick, none, 250ms, {});
    (void)queue.offer(slow, none, 250ms, {});
    const auto wanted = queue.wanted(none, 250ms, {});
    BOOST_REQUIRE(wanted.size() == 2U);
    BOOST_TEST(wanted[0].adapter.str() == "b");
}

// Guards against keeping requests at a replica that is silent while another one could still serve them in time. A
// request that is late anyway, or that no other replica takes, keeps its place.
BOOST_AUTO_TEST_CASE(only_requests_that_may_be_in_time_elsewhere_are_diverted)
{
    auto queue = AdmissionQueue();
    auto movable = requestOf("movable", 100, 800ms, 4s);
    movable.elsewhere = true;
    auto late = requestOf("late", 100, 200ms, 4s);
    late.elsewhere = true;
    for (const auto& request : { movable, late, requestOf("nowhere else", 100, 800ms, 4s) })
        BOOST_TEST(!queue.offer(request, always, {}, {}).has_value());
    const auto diverted = queue.divert(300ms, Moment(400ms));
    BOOST_REQUIRE(diverted.size() == 1U);
    BOOST_TEST(diverted.front().attempt.str() == "movable");
    BOOST_TEST(diverted.front().late);
    BOOST_TEST(queue.queued() == 2U);
}

// Guards against refusals that do not tell what the request waited for, and who was served meanwhile.
BOOST_AUTO_TEST_CASE(a_refused_request_tells_what_it_waited_for_and_who_was_served_meanwhile)
{
    auto queue = AdmissionQueue();
    queue.setLimits({ .batch = 1, .readRate = 40 });
    auto coming = AdapterId("a");
    const auto ready = [&](const AdapterId& adapter) { return adapter != coming; };
    auto first = requestOf("first", 100, 900ms, 9s);
    first.adapter = AdapterId("b");
    first.requestClass = RequestClass("chat");
    first.arrivedAt = Moment(1ms);
    auto waiting = requestOf("waiting", 100, 800ms, 2s);
    BOOST_TEST(!queue.offer(waiting, ready, 300ms, {}).has_value());
    BOOST_TEST(!queue.offer(first, ready, {}, Moment(1ms)).has_value());
    BOOST_TEST(queue.grant(ready, Moment(1ms)).size() == 1U);
    (void)queue.grant(ready, Moment(300ms));
    coming = {};
    (void)queue.grant(ready, Moment(300ms));
    const auto refused = queue.expire(ready, Moment(1999ms));
    BOOST_REQUIRE(refused.size() == 1U);
    const auto& wait = refused.front().request.wait;
    BOOST_TEST(wait.times.at(WaitReason::Adapter) / 1ms == 300);
    BOOST_TEST(wait.times.at(WaitReason::Place) / 1ms == 1699);
    BOOST_TEST(wait.overtakenBy == 1U);
    BOOST_TEST(grantedSince(wait.grantedBefore, queue.granted()) == "chat 1");
}

// Guards against a key that is never owed service again because one attempt was granted twice and ended once.
BOOST_AUTO_TEST_CASE(an_attempt_that_is_granted_twice_leaves_its_keys_owed)
{
    auto queue = AdmissionQueue();
    queue.setLimits({ .batch = 8, .readRate = 40 });
    const auto keys = [](std::size_t missed) {
        return RequestedKeys { { { ServiceKey::Kind::Route, "long" }, { .unserved = { {}, {}, missed } } } };
    };
    for (auto count = 0; count < 2; ++count) {
        auto same = requestOf("same", 100, 1s, 9s);
        same.keys = keys(0);
        BOOST_TEST(!queue.offer(same, always, {}, {}).has_value());
        BOOST_TEST(queue.grant(always, {}).size() == 1U);
    }
    queue.started(AttemptId("same"), Moment(10ms));
    auto owed = requestOf("owed", 100, 0ms, 9s, Moment(1s));
    owed.keys = keys(3);
    BOOST_TEST(!queue.offer(owed, always, {}, Moment(1s)).has_value());
    BOOST_TEST(!queue.offer(requestOf("on time", 100, 5s, 9s, Moment(1s)), always, {}, Moment(1s)).has_value());
    const auto granted = queue.grant(always, Moment(1s));
    BOOST_REQUIRE(granted.size() == 2U);
    BOOST_TEST(granted[0].attempt.str() == "owed");
}

// Guards against a full batch of which requests to which service is due get more than their share: what others have
// before them counts in the estimate, unless a rate limit is what is short.
BOOST_AUTO_TEST_CASE(the_part_of_others_counts_for_a_request_to_which_service_is_due)
{
    constexpr auto start = Moment(1000s);
    const auto ready = [](const AdapterId&) { return true; };
    const auto request = [&](const std::string& name, std::uint64_t tokens, Duration patience) {
        return AdmissionRequest { .attempt = AttemptId(name),
            .promptTokens = tokens,
            .unreadTokens = tokens,
            .arrivedAt = start,
            .firstEventDeadline = start,
            .callerDeadline = start + patience };
    };
    const auto due = [&](const std::string& name, std::uint64_t tokens) {
        auto owed = request(name, tokens, 4s);
        owed.keys = { { { ServiceKey::Kind::Prefix, name }, { .unserved = { start - 3s, start - 1s, 3 } } } };
        return owed;
    };
    auto queue = AdmissionQueue();
    queue.setLimits({ .batch = 2, .memory = 10'000'000, .readRate = 10 });
    BOOST_REQUIRE(!queue.offer(request("running", 10, 60s), ready, Duration(0), start));
    BOOST_REQUIRE(queue.grant(ready, start).size() == 1U);
    queue.started(AttemptId("running"), start);
    BOOST_REQUIRE(!queue.offer(request("other", 100000, 60s), ready, Duration(0), start));
    BOOST_REQUIRE(!queue.offer(due("first", 20000), ready, Duration(0), start));
    const auto granted = queue.grant(ready, start);
    BOOST_REQUIRE(granted.size() == 1U);
    BOOST_REQUIRE(granted.front().attempt == AttemptId("first"));
    queue.started(AttemptId("first"), start);
    const auto refusal = queue.offer(due("second", 5000), ready, Duration(0), start);
    BOOST_REQUIRE(refusal);
    BOOST_TEST(!refusal->rateLimited);
}
