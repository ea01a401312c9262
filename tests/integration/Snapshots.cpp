#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto change(Deployment& deployment, std::uint64_t base) -> void
{
    const auto name = "adapter-" + std::to_string(base % 7);
    const auto adapter = Json { { "base", "base" }, { "in_force", 1 }, { "allow", { "armor-a" } },
        { "versions", { { "1", { { "digest", "d" + std::to_string(base) } } } } } };
    const auto accepted = deployment.patch("e1", base, { { "adapters", { { name, adapter } } } });
    BOOST_REQUIRE(accepted.status == 200);
}

auto reads(Deployment& deployment) -> std::uint64_t
{
    return deployment.control(deployment.platformUrl() + "/standin/counts", Json::object()).at("reads");
}

auto configText(Deployment& deployment, const std::string& entry) -> std::string
{
    return deployment
        .call(entry, "/admin/v1/config", "", { { "Authorization", std::string("Bearer ") + operatorKey } }, "GET")
        .body;
}

} // namespace

// A zone comes back and its entries start at once, after many patches.
// If each of them read every patch ever accepted, the platform's two thousand reads a second would hold up all callers.
// A fresh entry reads the newest snapshot and one or two listings, and serves the same configuration as the others.
BOOST_AUTO_TEST_CASE(a_fresh_entry_reads_few_rows_however_many_patches_there_are)
{
    constexpr auto patches = std::uint64_t(230);
    // Far more than one start takes, for the polls that go on meanwhile; far fewer than the patches.
    constexpr auto fewReads = std::uint64_t(100);
    auto deployment = Deployment();
    deployment.addEntry("e1");
    for (auto base = std::uint64_t(0); base < patches; ++base)
        change(deployment, base);
    const auto before = reads(deployment);
    deployment.addEntry("e2");
    deployment.awaitVersion("e2", patches);
    BOOST_TEST(reads(deployment) - before < fewReads);
    BOOST_TEST(configText(deployment, "e2") == configText(deployment, "e1"));
}
