#include "decisions/LoadQueue.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }
auto target(const char* name) -> TargetId { return TargetId(name); }

} // namespace

// Many callers wait at one target, one at another who asked first.
// In order of arrival the many would wait behind the one. One load runs at a time; the many go first.
BOOST_AUTO_TEST_CASE(the_load_that_most_callers_wait_for_goes_first)
{
    auto queue = LoadQueue();
    queue.ask({ target("one"), 4, at(0) });
    queue.ask({ target("many"), 40, at(10) });
    const auto first = queue.grants(at(20));
    BOOST_REQUIRE(first.size() == 1);
    BOOST_TEST(first.front().str() == "many");
    BOOST_TEST(queue.grants(at(30)).empty());
    queue.release(target("many"));
    const auto second = queue.grants(at(40));
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(second.front().str() == "one");
}

// One caller waits while others with more weight keep coming; its age must bring it its turn.
BOOST_AUTO_TEST_CASE(a_caller_that_waits_long_gets_its_turn)
{
    auto queue = LoadQueue();
    queue.ask({ target("patient"), 1, at(0) });
    auto turns = 0;
    for (auto now = 0; queue.waiting() > 0 && now < 60000; now += 500) {
        queue.ask({ target("busy"), 8, at(now - 500) });
        const auto granted = queue.grants(at(now)).front();
        queue.release(granted);
        ++turns;
        if (granted == target("patient"))
            break;
    }
    BOOST_TEST(turns < 20);
}

// A target dies with its turn and never releases it. The others must not wait for ever.
BOOST_AUTO_TEST_CASE(a_turn_that_is_never_released_ends_by_itself)
{
    auto queue = LoadQueue();
    queue.ask({ target("dead"), 9, at(0) });
    BOOST_TEST(queue.grants(at(0)).size() == 1);
    queue.ask({ target("live"), 1, at(0) });
    BOOST_TEST(queue.grants(at(1999)).empty());
    BOOST_TEST(queue.grants(at(2000)).size() == 1);
}

// No queue can be reached. Nine targets together must stay within the two loads a second of the store.
BOOST_AUTO_TEST_CASE(without_a_queue_the_loads_of_all_targets_stay_within_the_rate)
{
    auto loads = 0;
    auto pacers = std::vector<LoadRateLimiter>(9, LoadRateLimiter(2, 9));
    for (auto now = 0; now < 90000; now += 100) {
        for (auto& pacer : pacers)
            loads += pacer.take(at(now)) ? 1 : 0;
    }
    BOOST_TEST(loads <= 2 * 90 + 2 * 9);
    BOOST_TEST(loads > 2 * 80);
}
