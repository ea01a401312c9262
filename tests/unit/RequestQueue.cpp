#include "decisions/RequestQueue.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto batch = std::size_t(8);

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }

const auto everywhere = [](const ModelName&) { return true; };
const auto nowhere = [](const ModelName&) { return false; };

auto request(const std::string& id, const char* member, const char* requestClass, int arrived, int deadline = 1000000)
    -> QueuedRequest
{
    return { AttemptId(id), MemberId(member), ModelName("a"), RequestClass(requestClass), at(arrived), at(deadline) };
}

auto admitted(const Admission& admission) -> bool { return std::holds_alternative<Admitted>(admission); }

} // namespace

// A burst fills the queue. A request that cannot be answered before its deadline must be refused on arrival, with a
// retry delay, and not at its deadline.
BOOST_AUTO_TEST_CASE(a_request_that_cannot_start_in_time_is_refused_at_once)
{
    auto queue = RequestQueue(256, batch);
    queue.recordRunTime(RequestClass("interactive"), 2s);
    auto refused = std::optional<Refused>();
    auto accepted = 0;
    for (auto number = 0; number < 100 && !refused; ++number) {
        const auto answer
            = queue.offer(request(std::to_string(number), "m", "interactive", 0, 10000), everywhere, batch, at(0));
        if (admitted(answer))
            ++accepted;
        else
            refused = std::get<Refused>(answer);
    }
    BOOST_REQUIRE(refused.has_value());
    // Eight places of two seconds each free one place every 250 ms, so 8 s of waiting admit 32 requests.
    BOOST_TEST(accepted == 32);
    BOOST_TEST((refused->reason == Refused::Reason::TooLate));
    BOOST_TEST(refused->retryAfter.count() >= Duration(1s).count());
}

// One member sends many times as many requests as another, whose requests must not wait behind all of them.
BOOST_AUTO_TEST_CASE(members_share_the_places_for_any_number_of_requests)
{
    auto queue = RequestQueue(256, batch);
    for (auto number = 0; number < 100; ++number)
        BOOST_TEST(
            admitted(queue.offer(request("g" + std::to_string(number), "greedy", "report", 0), everywhere, 0, at(0))));
    for (auto number = 0; number < 3; ++number)
        BOOST_TEST(
            admitted(queue.offer(request("s" + std::to_string(number), "small", "report", 1), everywhere, 0, at(1))));
    auto small = 0;
    for (auto number = 0; number < 6; ++number)
        small += queue.next(0, everywhere, at(2))->member.view() == "small" ? 1 : 0;
    BOOST_TEST(small == 3);
}

// While interactive calls arrive, drafts fill all places but one; a draft that has waited long may take that one too.
BOOST_AUTO_TEST_CASE(drafts_leave_a_place_to_interactive_calls_unless_they_waited_long)
{
    auto queue = RequestQueue(256, batch);
    BOOST_TEST(admitted(queue.offer(request("chat", "m", "interactive", 0), everywhere, 0, at(0))));
    BOOST_TEST(queue.next(0, everywhere, at(0))->attempt.view() == "chat");
    BOOST_TEST(admitted(queue.offer(request("draft", "m", "draft", 0), everywhere, 0, at(0))));
    BOOST_TEST(!queue.next(batch - 1, everywhere, at(1)).has_value());
    BOOST_TEST(queue.next(batch - 2, everywhere, at(1)).has_value());
    BOOST_TEST(admitted(queue.offer(request("old", "m", "draft", 0), everywhere, 0, at(0))));
    queue.remove(AttemptId("draft"));
    BOOST_TEST(admitted(queue.offer(request("chat2", "m", "interactive", 29000), nowhere, 0, at(29000))));
    BOOST_TEST(queue.next(batch - 1, everywhere, at(30000)).has_value());
}

// Without recent interactive calls no place is reserved, so drafts fill the whole batch.
BOOST_AUTO_TEST_CASE(drafts_fill_the_whole_batch_without_interactive_calls)
{
    auto queue = RequestQueue(256, batch);
    BOOST_TEST(admitted(queue.offer(request("draft", "m", "draft", 0), everywhere, 0, at(0))));
    BOOST_TEST(queue.next(batch - 1, everywhere, at(1)).has_value());
}

// Requests whose adapter is resident overtake those that wait for a load, and the adapter with the most waiting
// requests is the first candidate for a load.
BOOST_AUTO_TEST_CASE(requests_with_a_resident_adapter_overtake_and_the_most_wanted_is_loaded_first)
{
    auto queue = RequestQueue(256, batch);
    const auto offer = [&](const char* id, const char* model) {
        auto one = request(id, "m", "interactive", 0);
        one.model = ModelName(model);
        BOOST_TEST(admitted(queue.offer(one, nowhere, 0, at(0))));
    };
    offer("1", "rare");
    offer("2", "wanted");
    offer("3", "wanted");
    offer("4", "here");
    const auto here = [](const ModelName& model) { return model.view() == "here"; };
    BOOST_TEST(queue.next(0, here, at(1))->attempt.view() == "4");
    BOOST_TEST(!queue.next(0, here, at(1)).has_value());
    const auto candidates = queue.loadCandidates(here, at(1));
    BOOST_REQUIRE(candidates.size() == 2);
    BOOST_TEST(candidates.front().model.view() == "wanted");
}

// A request waits for a load that does not complete. It must be refused as soon as it can no longer be answered in
// time, not when its deadline has passed.
BOOST_AUTO_TEST_CASE(a_waiting_request_expires_when_it_can_no_longer_be_answered)
{
    auto queue = RequestQueue(256, batch);
    queue.recordRunTime(RequestClass("interactive"), 2s);
    BOOST_TEST(admitted(queue.offer(request("late", "m", "interactive", 0, 10000), nowhere, 0, at(0))));
    BOOST_TEST(queue.expire(nowhere, at(7999)).empty());
    const auto expired = queue.expire(nowhere, at(8001));
    BOOST_REQUIRE(expired.size() == 1);
    BOOST_TEST(expired.front().retryAfter.count() > 0);
    BOOST_TEST(queue.size() == 0U);
}
