// Tests of the admission queue of a replica that has announced a rate limit.
#include "decisions/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <utility>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto start = Moment(Duration(1000s));

auto ready(const AdapterId&) -> bool { return true; }

/// A queue whose replica has just announced one request per second.
auto limitedQueue(double perSecond = 1) -> AdmissionQueue
{
    auto queue = AdmissionQueue();
    queue.setLimits({});
    (void)queue.arrivals().apply({ perSecond, start, start }, start);
    return queue;
}

auto request(const std::string& name, Moment now, Duration late, Duration gone, std::uint32_t priority = 1)
    -> AdmissionRequest
{
    return { .attempt = AttemptId(name),
        .promptTokens = 100,
        .unreadTokens = 100,
        .priority = priority,
        .arrivedAt = now,
        .firstEventDeadline = now + late,
        .callerDeadline = now + gone };
}

auto names(const std::vector<AdmissionRequest>& requests) -> std::vector<std::string>
{
    auto list = std::vector<std::string>();
    for (const auto& item : requests)
        list.push_back(item.attempt.str());
    return list;
}

} // namespace

// Guards against granting more than the replica accepts, whichever entries ask.
BOOST_AUTO_TEST_CASE(requests_are_granted_at_the_replicas_rate)
{
    auto queue = limitedQueue();
    auto granted = std::size_t(0);
    for (auto step = 0; step < 400; ++step) {
        const auto now = start + step * 25ms;
        (void)queue.offer(request(std::to_string(step), now, 800ms, 4s), ready, Duration(0), now);
        (void)queue.expire(ready, now);
        for (const auto& item : queue.grant(ready, now)) {
            ++granted;
            queue.started(item.attempt, now);
            queue.release(item.attempt);
        }
    }
    BOOST_TEST(granted <= 12U);
    BOOST_TEST(granted >= 9U);
}

// Guards against a caller that waits until its deadline for a permit that cannot come before it.
BOOST_AUTO_TEST_CASE(a_request_whose_permit_comes_too_late_is_refused_at_once)
{
    auto queue = limitedQueue();
    auto refused = std::vector<AdmissionRefusal>();
    for (auto index = 0; index < 10; ++index) {
        auto refusal = queue.offer(request(std::to_string(index), start, 800ms, 4s), ready, Duration(0), start);
        if (refusal)
            refused.push_back(*refusal);
    }
    BOOST_TEST(queue.queued() == 3U);
    BOOST_REQUIRE(refused.size() == 7U);
    for (auto index = std::size_t(0); index < refused.size(); ++index) {
        BOOST_TEST(refused[index].rateLimited);
        if (index > 0)
            BOOST_TEST((refused[index].retryAfter > refused[index - 1].retryAfter));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_would_be_late_goes_to_another_replica)
{
    auto queue = limitedQueue(0.5);
    auto late = request("late", start, 800ms, 4s);
    late.elsewhere = true;
    const auto refusal = queue.offer(late, ready, Duration(0), start);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST(refusal->late);
    BOOST_TEST(refusal->rateLimited);
    BOOST_TEST((refusal->retryAfter == Duration(2s)));
}

BOOST_AUTO_TEST_CASE(urgent_requests_get_the_permits_first)
{
    auto queue = limitedQueue();
    BOOST_TEST(!queue.offer(request("later", start, 3s, 9s, 5), ready, Duration(0), start));
    BOOST_TEST(!queue.offer(request("urgent", start, 3s, 9s, 0), ready, Duration(0), start));
    BOOST_TEST(names(queue.grant(ready, start)).empty());
    BOOST_TEST(names(queue.grant(ready, start + 1s)) == std::vector<std::string> { "urgent" });
    BOOST_TEST(names(queue.grant(ready, start + 2s)) == std::vector<std::string> { "later" });
}

// Guards against holding requests back after the limit has ended.
BOOST_AUTO_TEST_CASE(all_requests_are_granted_when_the_limit_ends)
{
    auto queue = limitedQueue();
    for (auto index = 0; index < 3; ++index)
        BOOST_TEST(!queue.offer(request(std::to_string(index), start, 3s, 9s), ready, Duration(0), start));
    BOOST_TEST((queue.nextPermit(start) == Duration(1s)));
    (void)queue.arrivals().apply({ {}, start + 500ms, start + 550ms }, start + 550ms);
    BOOST_TEST(queue.grant(ready, start + 550ms).size() == 3U);
    BOOST_TEST((queue.nextPermit(start + 550ms) == Duration(0)));
    BOOST_TEST((queue.permitWait(start + 550ms) == Duration(0)));
}

// Guards against permits that are lost with requests which were granted and are not sent after all.
BOOST_AUTO_TEST_CASE(withdrawn_request_gives_its_permit_to_the_next)
{
    auto queue = limitedQueue(0.5);
    const auto now = start + 2s;
    (void)queue.offer(request("first", now, 800ms, 4s), ready, Duration(0), now);
    (void)queue.offer(request("second", now, 800ms, 4s), ready, Duration(0), now);
    BOOST_REQUIRE(queue.grant(ready, now).size() == 1U);
    BOOST_TEST(queue.grant(ready, now + 100ms).empty());
    queue.withdraw(AttemptId("first"), now + 100ms);
    BOOST_TEST(names(queue.grant(ready, now + 100ms)).size() == 1U);
    // One that still waits had no permit to give back.
    (void)queue.offer(request("third", now, 800ms, 4s), ready, Duration(0), now + 100ms);
    (void)queue.offer(request("fourth", now, 800ms, 4s), ready, Duration(0), now + 100ms);
    queue.withdraw(AttemptId("third"), now + 100ms);
    BOOST_TEST(queue.grant(ready, now + 100ms).empty());
}

// Guards against subjects that a limited replica never serves: more urgent requests hold all permits of the time that
// their callers wait, so that they were refused on arrival however long they had gone without.
BOOST_AUTO_TEST_CASE(a_request_to_which_service_is_due_gets_a_permit_beside_more_urgent_ones)
{
    // Half a second of reading: what others read beside it is far less.
    constexpr auto longPrompt = TokenCount(20000);
    const auto key = ServiceKey { ServiceKey::Kind::Prefix, "rare" };
    auto queue = limitedQueue();
    auto record = ServiceRecord();
    auto served = 0;
    auto longest = Duration(0);
    auto lastAt = start;
    for (auto step = 0; step < 1600; ++step) {
        const auto now = start + step * 25ms;
        if (step % 12 == 0)
            (void)queue.offer(request("urgent-" + std::to_string(step), now, 800ms, 4s, 0), ready, Duration(0), now);
        if (step % 40 == 0) {
            auto rare = request("rare-" + std::to_string(step), now, 300ms, 2500ms);
            rare.promptTokens = rare.unreadTokens = longPrompt;
            rare.keys = { { key, record.of(key) } };
            if (queue.offer(rare, ready, Duration(0), now))
                record.unserved(key, now);
        }
        for (const auto& refusal : queue.expire(ready, now)) {
            if (refusal.attempt.str().starts_with("rare"))
                record.unserved(key, now);
        }
        for (const auto& item : queue.grant(ready, now)) {
            queue.started(item.attempt, now);
            queue.release(item.attempt);
            if (!item.attempt.str().starts_with("rare"))
                continue;
            ++served;
            record.served(key, now);
            longest = std::max(longest, now - std::exchange(lastAt, now));
        }
    }
    BOOST_TEST(served >= 4);
    BOOST_TEST(longest / 1ms <= 12000);
}
