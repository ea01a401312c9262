#include "decisions/LoadQueue.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }
auto target(const char* name) -> TargetId { return TargetId(name); }

} // namespace

// Many callers wait at one target, and a single caller waits at another target that requested its load earlier. One
// load runs at a time. In order of arrival, the many callers would wait for the load of the single one; the load for
// the many callers must run first.
BOOST_AUTO_TEST_CASE(the_load_that_most_callers_wait_for_goes_first)
{
    auto queue = LoadQueue();
    queue.enqueue({ target("one"), 4, at(0) });
    queue.enqueue({ target("many"), 40, at(10) });
    const auto first = queue.grants(at(20));
    BOOST_REQUIRE(first.size() == 1);
    BOOST_TEST(first.front().str() == "many");
    BOOST_TEST(queue.grants(at(30)).empty());
    queue.release(target("many"));
    const auto second = queue.grants(at(40));
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(second.front().str() == "one");
}

// Guards against starvation: one caller waits while load requests with a higher weight keep arriving. Its priority must
// grow with its age until its load is granted.
BOOST_AUTO_TEST_CASE(a_load_that_has_waited_long_is_granted)
{
    auto queue = LoadQueue();
    queue.enqueue({ target("patient"), 1, at(0) });
    auto turns = 0;
    for (auto now = 0; queue.waiting() > 0 && now < 60000; now += 500) {
        queue.enqueue({ target("busy"), 8, at(now - 500) });
        const auto granted = queue.grants(at(now)).front();
        queue.release(granted);
        ++turns;
        if (granted == target("patient"))
            break;
    }
    BOOST_TEST(turns < 20);
}

// A target is lost while it holds the grant and never releases it. The other targets must not wait forever.
BOOST_AUTO_TEST_CASE(a_grant_that_is_never_released_expires)
{
    auto queue = LoadQueue();
    queue.enqueue({ target("dead"), 9, at(0) });
    BOOST_TEST(queue.grants(at(0)).size() == 1);
    queue.enqueue({ target("live"), 1, at(0) });
    BOOST_TEST(queue.grants(at(1999)).empty());
    BOOST_TEST(queue.grants(at(2000)).size() == 1);
}

// No load queue can be reached. Nine targets together must stay within the store's rate of two loads per second.
BOOST_AUTO_TEST_CASE(without_a_queue_all_targets_stay_within_the_store_rate)
{
    auto loads = 0;
    auto limiters = std::vector<LoadRateLimiter>(9, LoadRateLimiter(2, 9));
    for (auto now = 0; now < 90000; now += 100) {
        for (auto& limiter : limiters)
            loads += limiter.take(at(now)) ? 1 : 0;
    }
    BOOST_TEST(loads <= 2 * 90 + 2 * 9);
    BOOST_TEST(loads > 2 * 80);
}
