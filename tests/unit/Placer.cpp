#include "decisions/Placer.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

auto at(int milliseconds) -> Moment { return Moment(std::chrono::milliseconds(milliseconds)); }

auto fleetOf(std::size_t targets) -> Fleet
{
    auto fleet = Fleet();
    for (auto index = std::size_t(0); index < targets; ++index)
        fleet.put({ .id = TargetId("t" + std::to_string(index)), .serves = "base", .batchLimit = 8, .slots = 4 });
    return fleet;
}

auto request(const char* model) -> PlacementRequest { return { .model = ModelName(model), .serves = "base" }; }

auto holding(const char* model, std::size_t running = 0) -> TargetReport
{
    return { .running = running, .batchLimit = 8, .slots = 4, .resident = { ModelName(model) } };
}

/// Chooses a target for one request and records the request as sent.
auto place(Placer& placer, Fleet& fleet, const char* model, Moment now) -> TargetId
{
    const auto chosen = placer.choose(request(model), fleet, now).value();
    fleet.sent(chosen, ModelName(model), now);
    return fleet.views()[chosen].id;
}

} // namespace

// Guards against loading an adapter at several targets when its first requests arrive at several entries at once.
// Each entry knows only its own requests; all must choose the same target, where one load serves them all.
BOOST_AUTO_TEST_CASE(a_burst_for_a_new_adapter_loads_it_once)
{
    auto chosen = std::set<TargetId>();
    for (auto entry = 0; entry < 3; ++entry) {
        auto fleet = fleetOf(9);
        auto placer = Placer(static_cast<std::uint64_t>(entry));
        for (auto call = 0; call < 6; ++call)
            chosen.insert(place(placer, fleet, "new", at(call)));
    }
    BOOST_TEST(chosen.size() == 1);
}

// Guards against refusing a request although a target that holds its adapter could take it. The wait at the only target
// exceeds the cost of a load, so another holder is wanted, but every target that serves the base model already holds
// the adapter. The request must go to a holder, however long it waits there.
BOOST_AUTO_TEST_CASE(a_request_goes_to_a_busy_holder_when_no_target_can_load)
{
    auto fleet = fleetOf(1);
    auto placer = Placer(1);
    auto busy = holding("hot", 8);
    busy.queued = 40;
    fleet.report(TargetId("t0"), std::move(busy), at(0));
    for (auto call = 0; call < 30; ++call)
        BOOST_TEST(place(placer, fleet, "hot", at(call)).str() == "t0");
}

// All users of one member request the same adapter, more than its target can run. The wait there exceeds the cost of a
// load, so a second holder is added. After the demand has ended, requests use a single holder again.
BOOST_AUTO_TEST_CASE(holders_grow_and_shrink_with_the_demand)
{
    auto fleet = fleetOf(9);
    auto placer = Placer(1);
    fleet.report(TargetId("t3"), holding("hot"), at(0));
    auto used = std::set<TargetId>();
    for (auto call = 0; call < 60; ++call)
        used.insert(place(placer, fleet, "hot", at(call)));
    BOOST_TEST(used.size() > 1);
    BOOST_TEST(placer.wantedHolders(ModelName("hot")) > 1);
    for (const auto& target : used)
        fleet.report(target, holding("hot"), at(1000));
    used.clear();
    for (auto now = 2000; now < 400000; now += 1000) {
        const auto target = place(placer, fleet, "hot", at(now));
        fleet.report(target, holding("hot"), at(now));
        if (now > 390000)
            used.insert(target);
    }
    BOOST_TEST(placer.wantedHolders(ModelName("hot")) == 1);
    BOOST_TEST(used.size() == 1);
}

// Reports are delayed. A target that was idle at its last report must not receive every request until the next one.
BOOST_AUTO_TEST_CASE(requests_sent_since_the_report_count_as_load)
{
    auto fleet = fleetOf(2);
    auto placer = Placer(1);
    auto calls = std::map<TargetId, int>();
    for (auto call = 0; call < 40; ++call) {
        const auto chosen = placer.choose({ .serves = "base" }, fleet, at(0)).value();
        fleet.sent(chosen, {}, at(0));
        ++calls[fleet.views()[chosen].id];
    }
    BOOST_TEST(calls.size() == 2);
    for (const auto& [target, count] : calls)
        BOOST_TEST(count > 10);
}

// One target answers five times as slowly as its peers. The adapter is loaded at another target, and the slow one
// receives fewer than half of the requests.
BOOST_AUTO_TEST_CASE(a_slow_target_receives_fewer_requests)
{
    auto fleet = fleetOf(3);
    auto placer = Placer(1);
    fleet.report(TargetId("t0"), holding("a"), at(0));
    fleet.setSlowness(TargetId("t0"), 5);
    auto there = 0;
    for (auto call = 0; call < 20; ++call)
        there += place(placer, fleet, "a", at(call)) == TargetId("t0") ? 1 : 0;
    BOOST_TEST(there < 10);
}

// A target that refused the request, is leaving or is not reachable is never chosen, even if it holds the adapter.
BOOST_AUTO_TEST_CASE(ineligible_targets_are_not_chosen)
{
    auto fleet = fleetOf(4);
    auto placer = Placer(1);
    for (const auto* target : { "t0", "t1", "t2" })
        fleet.report(TargetId(target), holding("a"), at(0));
    fleet.setLeaving(TargetId("t0"), true);
    fleet.setReachable(TargetId("t1"), false);
    auto asked = request("a");
    asked.tried = { TargetId("t2") };
    BOOST_TEST(fleet.views()[placer.choose(asked, fleet, at(1)).value()].id.str() == "t3");
    const auto explained = placer.explain(asked, fleet);
    BOOST_REQUIRE(explained.size() == 4);
    BOOST_TEST(explained.front().target.str() == "t3");
    asked.tried.emplace_back("t3");
    BOOST_TEST(!placer.choose(asked, fleet, at(1)).has_value());
}

// Removing a target moves the last one to its index. The state of the remaining targets must follow them.
BOOST_AUTO_TEST_CASE(removing_a_target_keeps_the_others_indexed)
{
    auto fleet = fleetOf(4);
    auto placer = Placer(1);
    fleet.report(TargetId("t3"), holding("a"), at(0));
    fleet.remove(TargetId("t0"));
    BOOST_REQUIRE(fleet.holders(ModelName("a")).size() == 1);
    BOOST_TEST(fleet.views()[fleet.holders(ModelName("a")).front()].id.str() == "t3");
    BOOST_TEST(place(placer, fleet, "a", at(1)).str() == "t3");
    fleet.remove(TargetId("t3"));
    BOOST_TEST(fleet.holders(ModelName("a")).empty());
    BOOST_TEST(fleet.serving("base").targets.size() == 2);
}
