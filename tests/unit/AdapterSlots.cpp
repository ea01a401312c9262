#include "decisions/AdapterSlots.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto model(const char* name) -> ModelName { return ModelName(name); }

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }

auto loaded(AdapterSlots& slots, const char* name, int when) -> void
{
    slots.loadStarted(model(name), at(when));
    slots.loadEnded(model(name), true, at(when));
}

template <typename T> auto is(const SlotDecision& answer) -> bool { return std::holds_alternative<T>(answer); }

} // namespace

BOOST_AUTO_TEST_CASE(a_free_slot_is_loaded_and_then_used)
{
    auto slots = AdapterSlots(1);
    BOOST_TEST(is<LoadNow>(slots.request(model("a"), at(0))));
    slots.loadStarted(model("a"), at(0));
    BOOST_TEST(is<AwaitTransition>(slots.request(model("a"), at(1))));
    slots.loadEnded(model("a"), true, at(2));
    BOOST_TEST(is<UseNow>(slots.request(model("a"), at(3))));
}

// Guards against evicting the adapter of a running request, whose answer would then be generated with other weights.
// Both slots are pinned by running requests; a request for a third adapter must wait until one is released.
BOOST_AUTO_TEST_CASE(a_pinned_adapter_is_never_a_victim)
{
    auto slots = AdapterSlots(2);
    loaded(slots, "a", 0);
    loaded(slots, "b", 1);
    slots.pin(model("a"), at(2));
    slots.pin(model("b"), at(3));
    BOOST_TEST(is<NoSlot>(slots.request(model("c"), at(4))));
    slots.unpin(model("b"));
    const auto answer = slots.request(model("c"), at(5));
    BOOST_REQUIRE(is<EvictFirst>(answer));
    BOOST_TEST(std::get<EvictFirst>(answer).victim.str() == "b");
}

// An adapter is requested while it is being unloaded. The unload could overtake a load sent at the same time, and the
// request would find no weights, so the load must wait until the unload has ended.
BOOST_AUTO_TEST_CASE(a_request_during_an_unload_waits_and_loads_again)
{
    auto slots = AdapterSlots(1);
    loaded(slots, "a", 0);
    slots.unloadStarted(model("a"));
    BOOST_TEST(is<AwaitTransition>(slots.request(model("a"), at(1))));
    slots.unloadEnded(model("a"), true);
    BOOST_TEST(is<LoadNow>(slots.request(model("a"), at(2))));
}

// Guards against a series of requests for rare adapters evicting a popular one, whose many callers would then wait for
// a load. By time of last use the popular adapter would be evicted.
BOOST_AUTO_TEST_CASE(a_popular_adapter_is_kept_during_requests_for_rare_ones)
{
    auto slots = AdapterSlots(2);
    for (auto request = 0; request < 5; ++request)
        slots.asked(model("popular"), at(request));
    slots.asked(model("rare"), at(10));
    loaded(slots, "popular", 20);
    loaded(slots, "rare", 30);
    for (const auto* name : { "popular", "rare" }) {
        slots.pin(model(name), at(40));
        slots.unpin(model(name));
    }
    const auto answer = slots.request(model("other"), at(50));
    BOOST_REQUIRE(is<EvictFirst>(answer));
    BOOST_TEST(std::get<EvictFirst>(answer).victim.str() == "rare");
}

// An adapter was loaded for a request that has not started yet, and another adapter is requested. Evicting the first
// would waste its load and make its caller wait for another.
BOOST_AUTO_TEST_CASE(an_adapter_is_not_evicted_before_its_first_use)
{
    auto slots = AdapterSlots(1);
    loaded(slots, "a", 0);
    BOOST_TEST(is<NoSlot>(slots.request(model("b"), at(1))));
    slots.pin(model("a"), at(2));
    slots.unpin(model("a"));
    BOOST_TEST(is<EvictFirst>(slots.request(model("b"), at(3))));
}

// All adapters of one member are requested at once. The member may take half of the slots and must then evict its own
// adapters, so that adapters of other members stay loaded.
BOOST_AUTO_TEST_CASE(a_surge_of_one_member_leaves_half_of_the_slots)
{
    const auto shifted = MemberId("shifted");
    auto slots = AdapterSlots(4);
    for (const auto* name : { "other1", "other2", "other3", "other4" }) {
        slots.loadStarted(model(name), at(0), MemberId("other"));
        slots.loadEnded(model(name), true, at(0));
        slots.pin(model(name), at(0));
        slots.unpin(model(name));
    }
    for (auto number = 0; number < 10; ++number) {
        const auto name = ModelName("shifted" + std::to_string(number));
        slots.asked(name, at(number));
        const auto answer = slots.request(name, at(number), shifted);
        BOOST_REQUIRE(is<EvictFirst>(answer));
        slots.unloadStarted(std::get<EvictFirst>(answer).victim);
        slots.unloadEnded(std::get<EvictFirst>(answer).victim, true);
        slots.loadStarted(name, at(number), shifted);
        slots.loadEnded(name, true, at(number));
        slots.pin(name, at(number));
        slots.unpin(name);
    }
    const auto resident = slots.resident();
    BOOST_TEST(std::count_if(resident.begin(), resident.end(), [](const auto& name) {
        return name.view().starts_with("other");
    }) == 2);
}
