#include "decisions/ReplicaChoice.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <random>
#include <set>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto replica(std::string_view id) -> ReplicaView
{
    return { .id = id, .zone = AvailabilityZone("z"), .batch = 64, .spareSlots = 3 };
}

auto need() -> PlacementNeed
{
    return { .adapter = "a1", .zone = AvailabilityZone("z"), .unreadTokens = 800, .sharedTokens = 6000 };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_holder_is_chosen_before_a_load)
{
    auto views = std::vector { replica("one"), replica("two") };
    views[1].holds = true;
    BOOST_TEST(chooseReplica(views, need()).value() == 1U);
    // A holder that is a second behind is worth a load elsewhere.
    views[1].tokensAhead = 60000;
    BOOST_TEST(chooseReplica(views, need()).value() == 0U);
}

BOOST_AUTO_TEST_CASE(the_holder_that_has_read_the_prompt_is_chosen)
{
    auto views = std::vector { replica("one"), replica("two") };
    views[0].holds = views[1].holds = true;
    views[1].prompt = true;
    BOOST_TEST(chooseReplica(views, need()).value() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_goes_where_nothing_may_go)
{
    auto views = std::vector { replica("one") };
    views[0].usable = false;
    BOOST_TEST(!chooseReplica(views, need()).has_value());
    views[0].usable = true;
    views[0].canLoad = false;
    BOOST_TEST(!chooseReplica(views, need()).has_value());
}

// Two entries see the same and do not know of each other: they ask the same replica for an adapter that nobody holds.
BOOST_AUTO_TEST_CASE(entries_agree_where_an_adapter_is_loaded)
{
    auto views = std::vector { replica("one"), replica("two"), replica("three") };
    const auto first = chooseReplica(views, need());
    std::reverse(views.begin(), views.end());
    const auto second = chooseReplica(views, need());
    BOOST_TEST(first.value() == 2 - second.value());
}

// Demand by Zipf's law over 3,000 adapters, nine replicas of seven slots with 42 adapters at hand each. Loads from the
// store are counted; choosing the least loaded replica, the baseline, fetches several times as many.
BOOST_AUTO_TEST_CASE(adapters_return_to_where_they_are_at_hand)
{
    constexpr auto replicas = std::size_t(9);
    constexpr auto slots = std::size_t(7);
    constexpr auto atHand = std::size_t(42);
    auto weights = std::vector<double>();
    for (auto rank = 1; rank <= 3000; ++rank)
        weights.push_back(std::pow(rank, -1.2));
    auto fetches = [&](bool byName) {
        auto random = std::mt19937(11);
        auto zipf = std::discrete_distribution<int>(weights.begin(), weights.end());
        auto recent = std::vector<std::list<int>>(replicas);
        auto names = std::vector<std::string>();
        for (auto index = std::size_t(0); index < replicas; ++index)
            names.push_back("replica-" + std::to_string(index));
        auto count = 0;
        for (auto request = 0; request < 5000; ++request) {
            const auto adapter = zipf(random);
            const auto name = "a" + std::to_string(adapter);
            auto views = std::vector<ReplicaView>();
            for (auto index = std::size_t(0); index < replicas; ++index) {
                auto view = replica(names[index]);
                const auto place = std::find(recent[index].begin(), recent[index].end(), adapter);
                view.warm = place != recent[index].end();
                view.holds = view.warm && std::distance(recent[index].begin(), place) < std::ptrdiff_t(slots);
                view.running = random() % 20;
                views.push_back(view);
            }
            auto wanted = need();
            wanted.adapter = name;
            auto chosen = std::size_t(random() % replicas);
            if (byName)
                chosen = chooseReplica(views, wanted).value();
            count += views[chosen].warm ? 0 : 1;
            recent[chosen].remove(adapter);
            recent[chosen].push_front(adapter);
            if (recent[chosen].size() > atHand)
                recent[chosen].pop_back();
        }
        return count;
    };
    const auto baseline = fetches(false);
    const auto chosen = fetches(true);
    BOOST_TEST(chosen * 2 < baseline);
    BOOST_TEST_MESSAGE("fetches: " << chosen << " against " << baseline);
}
