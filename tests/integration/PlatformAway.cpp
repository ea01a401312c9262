#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto completionStatus(Deployment& deployment, const char* model = "life") -> int
{
    return deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status;
}

} // namespace

// An entry loses the platform, and with it the weight store, as when regions are disconnected for minutes. Requests for
// loaded adapters must be served, because a request reads nothing from the platform; a request that needs a load is
// refused. Patches are refused rather than queued. Everything must recover when the platform is back.
BOOST_AUTO_TEST_CASE(an_entry_serves_requests_during_a_platform_outage)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    BOOST_REQUIRE(completionStatus(deployment) == 200);
    deployment.control(deployment.platformUrl() + "/standin/faults", { { "down", true } });
    deployment.entry("e1").waitForLog("configuration not read");
    deployment.entry("e1").waitForLog("host list not read");
    for (auto count = 0; count < 5; ++count)
        BOOST_TEST(completionStatus(deployment) == 200);
    BOOST_TEST(completionStatus(deployment, "mode") == 503);
    BOOST_TEST(deployment.patch("e1", 1, { { "note", "x" } }).status == 503);
    deployment.control(deployment.platformUrl() + "/standin/faults", { { "down", false } });
    BOOST_TEST(deployment.patch("e1", 1, { { "note", "x" } }).status == 200);
    deployment.awaitVersion("e1", 2);
    while (completionStatus(deployment, "mode") != 200)
        deployment.loop.wait(deployment.loop.sleep(100ms));
}

// A zone is lost, but the delayed host list still shows its targets as live, and connections to them are refused. If a
// new entry tried them one after another, it would use up its three attempts on dead targets and refuse the request. A
// failed connection must mark the target unreachable, so that later requests go to targets that answer.
BOOST_AUTO_TEST_CASE(a_new_entry_avoids_the_unreachable_targets_of_a_lost_zone)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    for (auto index = 0; index < 2; ++index) {
        deployment.control(deployment.platformUrl() + "/standin/hosts",
            { { "target", "lost-" + std::to_string(index) }, { "availability_zone", "zone-2" }, { "serves", "base" },
                { "address", "127.0.0.1" }, { "port", 9 }, { "state", "live" } });
    }
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    for (auto count = 0; count < 5; ++count)
        BOOST_TEST(completionStatus(deployment) == 200);
}
