#include "decisions/ReportThrottle.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using decisions::ReportThrottle;

namespace {

auto busy(std::size_t work) -> ReportThrottle::Summary { return { .work = work, .batchLimit = 64 }; }

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }

/// Returns the number of pushes; `work` returns the load at a given millisecond.
auto pushes(const std::function<std::size_t(int)>& work, int milliseconds) -> int
{
    auto throttle = ReportThrottle();
    auto count = 0;
    auto due = std::optional<Moment>();
    for (auto time = 0; time < milliseconds; ++time) {
        const auto delay = throttle.due(busy(work(time)), at(time));
        if (!delay)
            due.reset();
        else if (!due)
            due = at(time) + *delay;
        if (!due || at(time) < *due)
            continue;
        throttle.sent(busy(work(time)), at(time));
        due.reset();
        ++count;
    }
    return count;
}

} // namespace

// A target starts and ends a dozen requests per second and is never more than half full. Pushing these changes would
// cost messages on every session, and none of them affects where an entry sends its requests.
BOOST_AUTO_TEST_CASE(small_changes_of_the_load_are_not_pushed)
{
    BOOST_TEST(pushes([](int time) { return std::size_t(20 + time / 80 % 3); }, 60000) == 0);
}

// A target alternates between full and free, as at saturation. Each session must receive at most one message per
// second.
BOOST_AUTO_TEST_CASE(a_target_that_alternates_is_pushed_once_a_second)
{
    BOOST_TEST(pushes([](int time) { return std::size_t(time / 200 % 2 ? 70 : 40); }, 60000) <= 61);
}

BOOST_AUTO_TEST_CASE(a_target_that_fills_up_leaves_or_loads_is_pushed)
{
    BOOST_TEST(pushes([](int time) { return std::size_t(time < 500 ? 1 : 64); }, 2000) == 1);
    BOOST_TEST((ReportThrottle().due({ .leaving = true }, at(0)) == 50ms));
    BOOST_TEST((ReportThrottle().due({ .resident = { ModelName("a@1#x") } }, at(0)) == 50ms));
    BOOST_TEST(!ReportThrottle().due(busy(3), at(0)).has_value());
}
