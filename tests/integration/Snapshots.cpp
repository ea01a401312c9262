#include "tests/harness/Deployment.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto patchAdapter(Deployment& deployment, std::uint64_t base) -> void
{
    const auto name = "adapter-" + std::to_string(base % 7);
    const auto adapter = Json { { "base", "base" }, { "in_force", 1 }, { "allow", { "armor-a" } },
        { "versions", { { "1", { { "digest", "d" + std::to_string(base) } } } } } };
    const auto accepted = deployment.patch("e1", base, { { "adapters", { { name, adapter } } } });
    BOOST_REQUIRE(accepted.status == 200);
}

auto platformReads(Deployment& deployment) -> std::uint64_t
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

// All entries of a zone start at once after many patches. If each entry read every accepted patch, the platform's
// capacity of 2,000 reads a second would delay all callers. A starting entry must read only the newest snapshot and one
// or two listings, and must serve the same configuration as the other entries.
BOOST_AUTO_TEST_CASE(a_new_entry_reads_few_rows_regardless_of_the_patch_count)
{
    constexpr auto patches = std::uint64_t(230);
    // The bound is far above the reads that one start needs, because polls continue meanwhile, and far below the number
    // of patches.
    constexpr auto fewReads = std::uint64_t(100);
    auto deployment = Deployment();
    deployment.addEntry("e1");
    for (auto base = std::uint64_t(0); base < patches; ++base)
        patchAdapter(deployment, base);
    const auto before = platformReads(deployment);
    deployment.addEntry("e2");
    deployment.awaitVersion("e2", patches);
    BOOST_TEST(platformReads(deployment) - before < fewReads);
    BOOST_TEST(configText(deployment, "e2") == configText(deployment, "e1"));
}
