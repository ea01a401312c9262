#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

constexpr auto usedTargets = 3;

struct Counts {
    std::size_t sessions = 0;
    std::uint64_t lists = 0;
};

auto unusedHost(int index) -> Json
{
    return { { "target", "silent-" + std::to_string(index) }, { "availability_zone", "zone-2" },
        { "serves", "another-base" }, { "address", "127.0.0.1" }, { "port", 9 }, { "state", "live" } };
}

auto sessionsOpened(Deployment& deployment, const std::string& target) -> std::size_t
{
    const auto log = deployment.target(target).log();
    auto count = std::size_t(0);
    for (auto at = log.find("session opened"); at != std::string::npos; at = log.find("session opened", at + 1))
        ++count;
    return count;
}

auto platformCounts(Deployment& deployment) -> Json
{
    return deployment.control(deployment.platformUrl() + "/standin/counts", Json::object());
}

/// The numbers of sessions and host list reads that one entry needs for the same requests, in a fleet with `others`
/// additional targets.
auto countsInFleet(int others) -> Counts
{
    auto deployment = Deployment();
    for (auto index = 0; index < others; ++index)
        deployment.control(deployment.platformUrl() + "/standin/hosts", unusedHost(index));
    for (auto index = 0; index < usedTargets; ++index)
        deployment.addEngineTarget("t" + std::to_string(index));
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    for (auto index = 0; index < 30; ++index) {
        const auto prompt = "p" + std::to_string(index);
        BOOST_REQUIRE(
            deployment.complete("e1", { { "model", "life" }, { "prompt", prompt }, { "max_tokens", 1 } }).status
            == 200);
    }
    auto counts = Counts { .lists = platformCounts(deployment).at("lists") };
    for (auto index = 0; index < usedTargets; ++index)
        counts.sessions += sessionsOpened(deployment, "t" + std::to_string(index));
    return counts;
}

} // namespace

// An entry must not open a session to each target of the fleet, or read the whole host list every second. Otherwise the
// entry would spend its budget for control traffic on targets that it never uses: with 400 entries and 2,200 targets
// there would be 880,000 sessions. The same requests are sent in a small fleet and in one with 200 more targets. In
// both fleets, there is at most one session for each target that can answer, and the whole list is read once.
BOOST_AUTO_TEST_CASE(sessions_and_list_reads_depend_on_the_targets_used_not_on_the_fleet)
{
    const auto small = countsInFleet(0);
    const auto large = countsInFleet(200);
    BOOST_TEST(small.sessions >= 1U);
    BOOST_TEST(small.sessions <= std::size_t(usedTargets));
    BOOST_TEST(large.sessions <= std::size_t(usedTargets));
    BOOST_TEST(large.lists == 1U);
    BOOST_TEST(small.lists == 1U);
}
