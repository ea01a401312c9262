#include "tests/harness/Answers.h"

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto versionAt(Deployment& deployment, const std::string& entry) -> std::uint64_t
{
    return deployment.status(entry)["config_version"];
}

auto inForce(int version) -> Json { return { { "adapters", { { "life", { { "in_force", version } } } } } }; }

const auto ask = Json { { "model", "life" }, { "prompt", "p" }, { "max_tokens", 3 } };

/// Two entries and an engine, configured; every process reaches the platform through a proxy of its own.
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

// Two operators patch the same version at once at two entries: one is accepted, the other is refused and merged into
// nothing.
BOOST_AUTO_TEST_CASE(of_two_operators_who_race_one_is_refused)
{
    auto deployment = TwoEntries();
    const auto headers
        = std::vector<std::pair<std::string, std::string>> { { "Authorization", std::string("Bearer ") + operatorKey },
              { "If-Match", "\"1\"" } };
    auto one = deployment.callLater("e1", "/admin/v1/config", inForce(1).dump(), headers, "PATCH");
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

// An operator's patch is accepted although the platform's answer to it is lost: the entry reads whose patch it was.
BOOST_AUTO_TEST_CASE(a_patch_whose_answer_was_lost_is_settled_by_reading)
{
    auto deployment = TwoEntries();
    deployment.faults({ { "lose_answers", 1 } });
    const auto accepted = deployment.patch("e1", 1, inForce(1));
    BOOST_TEST(accepted.status == 200);
    deployment.awaitVersion("e2", 2);
    BOOST_TEST(textOf(deployment.complete("e2", ask)) == expected("life@1#aa", "p", 3));
}

// Callers of an entry whose process stood still never get an older configuration than that entry had.
// It is frozen while a patch is accepted elsewhere, wakes with an old answer of the platform in its socket, and moves
// up only.
BOOST_AUTO_TEST_CASE(an_entry_that_stood_still_moves_up_and_never_back)
{
    auto deployment = TwoEntries();
    deployment.entry("e2").signal(SIGSTOP);
    for (auto version = std::uint64_t(1); version < 5; ++version)
        BOOST_TEST(deployment.patch("e1", version, inForce(version % 2 ? 1 : 2)).status == 200);
    deployment.entry("e2").signal(SIGCONT);
    auto seen = std::uint64_t(0);
    while (seen < 5) {
        const auto next = versionAt(deployment, "e2");
        BOOST_REQUIRE(next >= seen);
        seen = next;
        deployment.loop.wait(deployment.loop.sleep(5ms));
    }
    BOOST_TEST(textOf(deployment.complete("e2", ask)) == expected("life@2#bb", "p", 3));
}

// Callers are served on while the platform is down, by the configuration last accepted; operators are told to come
// back. An outage right after acceptance: the entry that accepted keeps the version; no entry goes back, and all are in
// step when the platform returns.
BOOST_AUTO_TEST_CASE(an_outage_right_after_acceptance_reverts_nothing)
{
    auto deployment = TwoEntries();
    // Both versions are loaded: the weight store is part of the platform, and is away with it.
    for (const auto* model : { "life@1", "life@2" })
        BOOST_TEST(
            deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status == 200);
    BOOST_TEST(deployment.patch("e1", 1, inForce(1)).status == 200);
    deployment.faults({ { "down", true } });
    BOOST_TEST(versionAt(deployment, "e1") == 2U);
    BOOST_TEST(textOf(deployment.complete("e1", ask)) == expected("life@1#aa", "p", 3));
    BOOST_TEST(deployment.complete("e2", ask).status == 200);
    const auto refused = deployment.patch("e2", 2, inForce(2));
    BOOST_TEST(refused.status == 503);
    deployment.faults({ { "down", false } });
    deployment.awaitVersion("e2", 2);
    BOOST_TEST(versionAt(deployment, "e1") == 2U);
}

// Callers are answered as ever while every connection to the platform has gone silent, and while it is slow.
BOOST_AUTO_TEST_CASE(serving_goes_on_while_the_platform_is_silent_or_slow)
{
    auto deployment = TwoEntries();
    BOOST_TEST(deployment.complete("e1", ask).status == 200);
    for (const auto* name : { "e1", "e2", "t1" })
        deployment.fault(name, Leg::Platform, { { "half_open", true } });
    for (auto turn = 0; turn < 5; ++turn)
        BOOST_TEST(textOf(deployment.complete("e2", ask)) == expected("life@2#bb", "p", 3));
    // An operator is told to come back while the silent connections are given up, and then finds a new one.
    for (const auto* model : { "life@1", "life@2" })
        BOOST_TEST(
            deployment.complete("e1", { { "model", model }, { "prompt", "p" }, { "max_tokens", 3 } }).status == 200);
    auto accepted = deployment.patch("e1", 1, inForce(1));
    while (accepted.status == 503)
        accepted = deployment.patch("e1", 1, inForce(1));
    BOOST_TEST(accepted.status == 200);
    deployment.awaitVersion("e2", 2);
    deployment.faults({ { "slow_ms", 700 } });
    BOOST_TEST(textOf(deployment.complete("e2", ask)) == expected("life@1#aa", "p", 3));
    BOOST_TEST(deployment.patch("e2", 2, inForce(2)).status == 200);
}

// The caller gets its answer although the weight store fails twice; after three failures it is told when to come back.
BOOST_AUTO_TEST_CASE(a_failing_weight_store_is_tried_again_and_then_told)
{
    auto deployment = TwoEntries();
    deployment.faults({ { "weights_fail", 2 } });
    BOOST_TEST(textOf(deployment.complete("e1", ask)) == expected("life@2#bb", "p", 3));
    deployment.faults({ { "weights_fail", 1000 } });
    const auto refused = deployment.complete("e1", { { "model", "mode" }, { "prompt", "p" }, { "max_tokens", 3 } });
    BOOST_TEST(refused.status == 503);
    BOOST_TEST(errorOf(refused)["run"] == "not_run");
}
