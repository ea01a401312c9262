#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto ask(Deployment& deployment, const char* model = "life") -> int
{
    return deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status;
}

} // namespace

// Regions lose each other for minutes, and with it an entry loses the platform. Its callers must not notice.
// The platform goes away, and with it the weight store. Adapters that an engine holds are served on, since nothing on
// a request's way is read from the platform; one that must be loaded is refused. A patch can't be agreed on and is
// refused, not kept for later. When the platform is back, all of it works again by itself.
BOOST_AUTO_TEST_CASE(an_entry_serves_on_while_its_platform_is_away)
{
    auto deployment = Deployment();
    deployment.addEngineTarget("t1");
    deployment.addEntry("e1");
    deployment.configure({ "e1" });
    BOOST_REQUIRE(ask(deployment) == 200);
    deployment.control(deployment.platformUrl() + "/standin/faults", { { "down", true } });
    deployment.entry("e1").waitForLog("configuration not read");
    deployment.entry("e1").waitForLog("host list not read");
    for (auto count = 0; count < 5; ++count)
        BOOST_TEST(ask(deployment) == 200);
    BOOST_TEST(ask(deployment, "mode") == 503);
    BOOST_TEST(deployment.patch("e1", 1, { { "note", "x" } }).status == 503);
    deployment.control(deployment.platformUrl() + "/standin/faults", { { "down", false } });
    BOOST_TEST(deployment.patch("e1", 1, { { "note", "x" } }).status == 200);
    deployment.awaitVersion("e1", 2);
    while (ask(deployment, "mode") != 200)
        deployment.loop.wait(deployment.loop.sleep(100ms));
}

// A zone is lost: the list, which lags, still names its targets as live, and connections to them are refused.
// A fresh entry that tried them one after another would spend its three attempts on dead targets and refuse its caller.
// Connections that fail mark a target unreachable, so that every later request goes where somebody answers.
BOOST_AUTO_TEST_CASE(a_fresh_entry_with_a_lost_zone_comes_to_the_targets_that_answer)
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
        BOOST_TEST(ask(deployment) == 200);
}
