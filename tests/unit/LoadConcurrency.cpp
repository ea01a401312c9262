#include "decisions/LoadConcurrency.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto replicas = std::size_t(9);
constexpr auto wantedByEach = 6;
// The weight store carries eight loads at full speed and divides itself among more.
constexpr auto atFullSpeed = 8.0;
constexpr auto alone = 250.0;

/// Nine empty replicas that want six adapters each; `limitOf` says how many one of them fetches at a time. Returns how
/// many adapters were there after half a second.
auto arrivedInTime(bool paced) -> int
{
    struct Load {
        std::size_t replica = 0;
        double left = alone;
        double began = 0;
    };
    auto loads = std::vector<Load>();
    auto left = std::array<int, replicas>();
    auto coming = std::array<std::size_t, replicas>();
    auto paces = std::array<LoadConcurrency, replicas>();
    left.fill(wantedByEach);
    auto arrived = 0;
    for (auto now = 0.0; now < 500; now += 5) {
        for (auto index = std::size_t(0); index < replicas; ++index) {
            const auto limit = paced ? paces[index].limit() : std::size_t(4);
            while (left[index] > 0 && coming[index] < limit) {
                --left[index];
                ++coming[index];
                loads.push_back({ .replica = index, .began = now });
            }
        }
        const auto speed = std::min(1.0, atFullSpeed / static_cast<double>(loads.size()));
        for (auto& load : loads) {
            load.left -= 5 * speed;
            if (load.left > 0)
                continue;
            ++arrived;
            --coming[load.replica];
            paces[load.replica].ended(
                std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(now - load.began)));
        }
        std::erase_if(loads, [](const Load& load) { return load.left <= 0; });
    }
    return arrived;
}

} // namespace

// All replicas are empty after a loss of power. With four loads from each, none has arrived when the first callers are
// late; with one from each at first, nine have.
BOOST_AUTO_TEST_CASE(loads_of_empty_replicas_do_not_all_arrive_late)
{
    BOOST_TEST(arrivedInTime(false) == 0);
    BOOST_TEST(arrivedInTime(true) >= 9);
}

BOOST_AUTO_TEST_CASE(a_load_that_took_long_leaves_one_at_a_time)
{
    auto pace = LoadConcurrency();
    pace.ended(250ms);
    pace.ended(25ms);
    pace.ended(250ms);
    BOOST_TEST(pace.limit() == 4U);
    BOOST_TEST(pace.limit(true) == 1U);
    pace.ended(900ms);
    BOOST_TEST(pace.limit() == 1U);
    pace.ended(250ms);
    BOOST_TEST(pace.limit() == 2U);
}
