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

auto silentHost(int index) -> Json
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

auto counters(Deployment& deployment) -> Json
{
    return deployment.control(deployment.platformUrl() + "/standin/counts", Json::object());
}

/// Sessions and host lists that one entry needs for the same requests, in a fleet with `others` further targets.
auto countsIn(int others) -> Counts
{
    auto deployment = Deployment();
    for (auto index = 0; index < others; ++index)
        deployment.control(deployment.platformUrl() + "/standin/hosts", silentHost(index));
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
    auto counts = Counts { .lists = counters(deployment).at("lists") };
    for (auto index = 0; index < usedTargets; ++index)
        counts.sessions += sessionsOpened(deployment, "t" + std::to_string(index));
    return counts;
}

} // namespace

// An entry that opened a session to each target of the fleet, or read the list of all of them each second, would spend
// its budget for control on targets that it never uses: at 400 entries and 2,200 targets, 880,000 sessions.
// The same requests are sent in a small fleet and in one of two hundred more targets. The sessions are one for each
// target that answered at the most, and the whole list is read once, however many targets stand in it.
BOOST_AUTO_TEST_CASE(sessions_and_lists_grow_with_the_targets_used_not_with_the_fleet)
{
    const auto small = countsIn(0);
    const auto large = countsIn(200);
    BOOST_TEST(small.sessions >= 1U);
    BOOST_TEST(small.sessions <= std::size_t(usedTargets));
    BOOST_TEST(large.sessions <= std::size_t(usedTargets));
    BOOST_TEST(large.lists == 1U);
    BOOST_TEST(small.lists == 1U);
}
