// Tests the record of the prompt prefixes that a replica has processed.
#include "decisions/KnownPrefixes.h"
#include "decisions/ReplicaChoice.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto first = SharedPrefix { .id = 1, .tokens = 2500 };
constexpr auto one = std::array { first, SharedPrefix { .id = 2, .tokens = 6300 } };
constexpr auto another = std::array { first, SharedPrefix { .id = 3, .tokens = 5000 } };

} // namespace

BOOST_AUTO_TEST_CASE(a_prefix_counts_only_if_all_shorter_ones_are_known)
{
    auto known = KnownPrefixes(8);
    BOOST_TEST(known.tokens(one) == 0U);
    known.remember(one);
    BOOST_TEST(known.tokens(one) == 6300U);
    BOOST_TEST(known.tokens(another) == 2500U);
    BOOST_TEST(known.tokens(std::array { SharedPrefix { .id = 9, .tokens = 10 }, one[1] }) == 0U);
}

BOOST_AUTO_TEST_CASE(the_latest_prefixes_are_remembered_and_the_memory_is_bounded)
{
    auto known = KnownPrefixes(8);
    for (auto id = std::uint64_t(10); id < 1000; ++id)
        known.remember(std::array { SharedPrefix { .id = id, .tokens = 1 } });
    auto remembered = 0;
    for (auto id = std::uint64_t(10); id < 1000; ++id)
        remembered += known.tokens(std::array { SharedPrefix { .id = id, .tokens = 1 } }) > 0 ? 1 : 0;
    BOOST_TEST(remembered >= 8);
    BOOST_TEST(remembered <= 17);
    for (auto id = std::uint64_t(992); id < 1000; ++id)
        BOOST_TEST(known.tokens(std::array { SharedPrefix { .id = id, .tokens = 1 } }) == 1U);
}

// Guards against processing a prompt from its start although a replica has its first part cached. A replica that holds
// the adapter has processed the part that nearly all prompts start with, followed by a different second part. If both
// parts had a common id, this replica would not be preferred.
BOOST_AUTO_TEST_CASE(a_replica_that_knows_the_first_prefix_starts_sooner)
{
    auto known = KnownPrefixes(8);
    known.remember(another);
    auto views = std::vector<ReplicaView>(2);
    views[0].id = "replica-0";
    views[1].id = "replica-1";
    for (auto& view : views) {
        view.holds = true;
        view.batch = 64;
    }
    for (auto id = std::uint64_t(0); id < 20; ++id) {
        const auto need
            = PlacementQuery { .adapter = "a", .unreadTokens = 800, .sharedTokens = one.back().tokens, .sharedId = id };
        for (auto& view : views) {
            view.cachedTokens = 0;
            const auto before = expectedStart(view, need);
            view.cachedTokens = known.tokens(one);
            BOOST_TEST((expectedStart(view, need) < before));
            view.cachedTokens = one.back().tokens;
            BOOST_TEST((expectedStart(view, need) < before));
        }
    }
}
