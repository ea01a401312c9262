#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto versionAt(Deployment& deployment, const std::string& entry) -> std::uint64_t
{
    return deployment.status(entry)["config_version"];
}

auto inForcePatch(int version) -> Json { return { { "adapters", { { "life", { { "in_force", version } } } } } }; }

const auto lifeRequest = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };

/// A configured deployment with two entries and an engine. Each process reaches the platform through its own proxy.
class TwoEntries : public Deployment {
public:
    TwoEntries()
        : Deployment({ Leg::Platform })
    {
        addEngineTarget("t1");
        addEntry("e1");
        addEntry("e2");
        configure({ "e1", "e2" });
    }
    auto faults(const Json& faults) -> void { control(platformUrl() + "/standin/faults", faults); }
};

} // namespace

// Two operators patch the same version at the same time at two entries. One patch must be accepted; the other must be
// refused and have no effect.
BOOST_AUTO_TEST_CASE(one_of_two_concurrent_patches_is_refused)
{
    auto deployment = TwoEntries();
    const auto headers
        = std::vector<std::pair<std::string, std::string>> { { "Authorization", std::string("Bearer ") + operatorKey },
              { "If-Match", "\"1\"" } };
    auto one = deployment.callLater("e1", "/admin/v1/config", inForcePatch(1).dump(), headers, "PATCH");
    auto two = deployment.callLater("e2", "/admin/v1/config",
        Json { { "classes", { { "draft", { { "weight", 2 } } } } } }.dump(), headers, "PATCH");
    const auto first = deployment.loop.wait(kj::mv(one)).status;
    const auto second = deployment.loop.wait(kj::mv(two)).status;
    BOOST_TEST(std::min(first, second) == 200);
    BOOST_TEST(std::max(first, second) == 412);
    deployment.awaitVersion("e1", 2);
    deployment.awaitVersion("e2", 2);
    BOOST_TEST(versionAt(deployment, "e1") == 2U);
}

// The platform commits a patch but its reply is lost. The entry reads the row, finds its own patch, and reports it as
// accepted.
BOOST_AUTO_TEST_CASE(a_patch_whose_reply_was_lost_is_read_back)
{
    auto deployment = TwoEntries();
    deployment.faults({ { "lose_answers", 1 } });
    const auto accepted = deployment.patch("e1", 1, inForcePatch(1));
    BOOST_TEST(accepted.status == 200);
    deployment.awaitVersion("e2", 2);
    BOOST_TEST(textOf(deployment.complete("e2", lifeRequest)) == expected("life@1#aa", "p", 3));
}

// An entry is suspended while patches are accepted elsewhere, and resumes with a stale answer of the platform in its
// socket. Its configuration version must never decrease.
BOOST_AUTO_TEST_CASE(a_resumed_entry_never_returns_to_an_older_version)
{
    auto deployment = TwoEntries();
    deployment.entry("e2").signal(SIGSTOP);
    for (auto version = std::uint64_t(1); version < 5; ++version)
        BOOST_TEST(deployment.patch("e1", version, inForcePatch(version % 2 ? 1 : 2)).status == 200);
    deployment.entry("e2").signal(SIGCONT);
    auto seen = std::uint64_t(0);
    while (seen < 5) {
        const auto next = versionAt(deployment, "e2");
        BOOST_REQUIRE(next >= seen);
        seen = next;
        deployment.loop.wait(deployment.loop.sleep(5ms));
    }
    BOOST_TEST(textOf(deployment.complete("e2", lifeRequest)) == expected("life@2#bb", "p", 3));
}

// The platform goes down right after a patch was accepted. The entry that accepted the patch keeps the new version, no
// entry returns to an older one, requests are served with the last known configuration, and operators' patches get a
// 503. When the platform is back, all entries reach the same version.
BOOST_AUTO_TEST_CASE(a_platform_outage_after_acceptance_reverts_nothing)
{
    auto deployment = TwoEntries();
    // Loads both adapter versions first, because the weight store is part of the platform and goes down with it.
    for (const auto* model : { "life@1", "life@2" })
        BOOST_TEST(
            deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status == 200);
    BOOST_TEST(deployment.patch("e1", 1, inForcePatch(1)).status == 200);
    deployment.faults({ { "down", true } });
    BOOST_TEST(versionAt(deployment, "e1") == 2U);
    BOOST_TEST(textOf(deployment.complete("e1", lifeRequest)) == expected("life@1#aa", "p", 3));
    BOOST_TEST(deployment.complete("e2", lifeRequest).status == 200);
    const auto refused = deployment.patch("e2", 2, inForcePatch(2));
    BOOST_TEST(refused.status == 503);
    deployment.faults({ { "down", false } });
    deployment.awaitVersion("e2", 2);
    BOOST_TEST(versionAt(deployment, "e1") == 2U);
}

// Requests must be answered while all connections to the platform are half-open, and while the platform is slow.
BOOST_AUTO_TEST_CASE(requests_are_served_while_the_platform_is_silent_or_slow)
{
    auto deployment = TwoEntries();
    BOOST_TEST(deployment.complete("e1", lifeRequest).status == 200);
    for (const auto* name : { "e1", "e2", "t1" })
        deployment.fault(name, Leg::Platform, { { "half_open", true } });
    for (auto turn = 0; turn < 5; ++turn)
        BOOST_TEST(textOf(deployment.complete("e2", lifeRequest)) == expected("life@2#bb", "p", 3));
    // A patch gets a 503 until the silent connections have timed out and a new one is open.
    for (const auto* model : { "life@1", "life@2" })
        BOOST_TEST(
            deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status == 200);
    auto accepted = deployment.patch("e1", 1, inForcePatch(1));
    while (accepted.status == 503)
        accepted = deployment.patch("e1", 1, inForcePatch(1));
    BOOST_TEST(accepted.status == 200);
    deployment.awaitVersion("e2", 2);
    deployment.faults({ { "slow_ms", 700 } });
    BOOST_TEST(textOf(deployment.complete("e2", lifeRequest)) == expected("life@1#aa", "p", 3));
    BOOST_TEST(deployment.patch("e2", 2, inForcePatch(2)).status == 200);
}

// The weight store fails twice, and the request must still be answered. After three failed loads, the request is
// refused as "not run", with a retry delay.
BOOST_AUTO_TEST_CASE(a_failing_weight_store_is_retried_and_then_reported)
{
    auto deployment = TwoEntries();
    deployment.faults({ { "weights_fail", 2 } });
    BOOST_TEST(textOf(deployment.complete("e1", lifeRequest)) == expected("life@2#bb", "p", 3));
    deployment.faults({ { "weights_fail", 1000 } });
    const auto refused = deployment.complete("e1", { { "model", "mode" }, { "prompt", "p" }, { "max_tokens", 3 } });
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(errorOf(refused)["run"] == "not_run");
}
