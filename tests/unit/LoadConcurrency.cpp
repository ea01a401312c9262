#include "decisions/LoadConcurrency.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto replicas = std::size_t(9);
constexpr auto wantedPerReplica = 6;
// The weight store serves eight loads at full speed and divides its bandwidth among more.
constexpr auto loadsAtFullSpeed = 8.0;
constexpr auto loadDuration = 250.0;

/// Simulates nine empty replicas that want six adapters each. `limited` limits the loads of each replica by
/// `LoadConcurrency`; otherwise each fetches four at a time. Returns how many adapters arrive within half a second.
auto arrivedInTime(bool limited) -> int
{
    struct Load {
        std::size_t replica = 0;
        double left = loadDuration;
        double began = 0;
    };
    auto loads = std::vector<Load>();
    auto left = std::array<int, replicas>();
    auto loadsInProgress = std::array<std::size_t, replicas>();
    auto limits = std::array<LoadConcurrency, replicas>();
    left.fill(wantedPerReplica);
    auto arrived = 0;
    for (auto now = 0.0; now < 500; now += 5) {
        for (auto index = std::size_t(0); index < replicas; ++index) {
            const auto limit = limited ? limits[index].limit() : std::size_t(4);
            while (left[index] > 0 && loadsInProgress[index] < limit) {
                --left[index];
                ++loadsInProgress[index];
                loads.push_back({ .replica = index, .began = now });
            }
        }
        const auto speed = std::min(1.0, loadsAtFullSpeed / static_cast<double>(loads.size()));
        for (auto& load : loads) {
            load.left -= 5 * speed;
            if (load.left > 0)
                continue;
            ++arrived;
            --loadsInProgress[load.replica];
            limits[load.replica].ended(
                std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(now - load.began)));
        }
        std::erase_if(loads, [](const Load& load) { return load.left <= 0; });
    }
    return arrived;
}

} // namespace

// All replicas are empty after a power loss. With four loads from each replica, no load completes within half a second;
// with one from each at first, nine do.
BOOST_AUTO_TEST_CASE(loads_of_empty_replicas_do_not_all_arrive_late)
{
    BOOST_TEST(arrivedInTime(false) == 0);
    BOOST_TEST(arrivedInTime(true) >= 9);
}

BOOST_AUTO_TEST_CASE(a_slow_load_reduces_the_limit_to_one)
{
    auto concurrency = LoadConcurrency();
    concurrency.ended(250ms);
    concurrency.ended(25ms);
    concurrency.ended(250ms);
    BOOST_TEST(concurrency.limit() == 4U);
    BOOST_TEST(concurrency.limit(true) == 1U);
    concurrency.ended(900ms);
    BOOST_TEST(concurrency.limit() == 1U);
    concurrency.ended(250ms);
    BOOST_TEST(concurrency.limit() == 2U);
}
