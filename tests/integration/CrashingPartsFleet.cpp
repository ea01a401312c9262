#include "tests/harness/PartCrashes.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::CrashWorld;
using eelgrass::tests::PartCrashes;

namespace {

constexpr auto part = PartCrashes::part;

auto judge(PartCrashes::Options options) -> void { PartCrashes(std::move(options)).judge(); }

} // namespace

// Guards against entries that each know of their own crashes alone.
BOOST_AUTO_TEST_CASE(part_that_crashes_nearly_all_replicas_of_a_site_is_refused_by_all_entries)
{
    judge({ .world = { .engines = 8, .gateways = 4, .crash = { .part = part }, .downFor = 3s } });
}

// Guards against forgetting crashes with the agents that were told of them.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_with_their_agents_is_refused)
{
    judge({ .world = { .engines = 6, .crash = { .part = part }, .downFor = 1s, .withAgents = true } });
}

// Guards against forgetting runs whose replicas have left the list.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_which_leave_the_list_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s, .listed = CrashWorld::Listed::NotAtAll } });
}

// Guards against blaming what runs beside the part, which is much more than the part itself.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_under_many_other_runs_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s }, .soundEach = 4, .eventGap = 100ms });
}

// Guards against counting only what comes at short intervals.
BOOST_AUTO_TEST_CASE(part_of_rare_requests_that_crashes_replicas_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s }, .interval = 1200ms });
}

// Guards against an entry that starts later and knows nothing.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_is_refused_by_an_entry_that_starts_later)
{
    auto crashes = PartCrashes({ .world = { .gateways = 1, .crash = { .part = part }, .downFor = 1s } });
    auto& crashing = crashes.crashing();
    while (crashing.crashes() < PartCrashes::crashesBefore)
        crashes.sendFor(150ms);
    crashes.sendFor(4s);
    const auto before = crashing.crashes();
    for (auto count = 0; count < 3; ++count) {
        crashing.world().startGateway();
        crashes.sendFor(2s);
    }
    BOOST_TEST(crashing.crashes() <= before + PartCrashes::maxLateSends);
    BOOST_TEST(crashes.lateSends() <= PartCrashes::maxLateSends);
}

// Guards against refusing what every request holds because all replicas were killed within a second, before any run of
// it was whole.
BOOST_AUTO_TEST_CASE(part_of_all_requests_at_replicas_killed_within_a_second_is_not_refused)
{
    auto crashing = CrashWorld({ .engines = 5, .crash = { .part = part }, .downFor = 1s, .slots = 4 });
    auto& world = crashing.world();
    const auto behave = [&](const standins::ReplicaStandin::Behaviour& behaviour) {
        for (auto index = std::size_t(0); index < crashing.replicas(); ++index)
            world.engine(index).behave(behaviour);
    };
    behave({ .sent = 0, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
    auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
    const auto runs = [&] {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < crashing.replicas(); ++index)
            count += world.engine(index).runs().empty() ? 0 : 1;
        return count;
    };
    for (auto number = std::size_t(0); number < 20; ++number) {
        running.push_back(world.begin({ .path = "/whole/x",
            .attempt = "first-" + std::to_string(number),
            .body = "prompt " + std::to_string(number),
            .prefix = "c0:60,f" + std::to_string(number) + ":10",
            .gateway = number % 2 }));
    }
    BOOST_REQUIRE(world.until([&] { return runs() == crashing.replicas(); }));
    for (auto index = std::size_t(0); index < crashing.replicas(); ++index) {
        crashing.crash(index);
        world.wait(150ms);
    }
    for (auto& answer : running)
        (void)world.loop().wait(kj::mv(answer));
    behave({});
    world.wait(3s);
    for (auto number = std::size_t(0); number < 8; ++number) {
        const auto answer = world.ask({ .path = "/whole/x",
            .attempt = "after-" + std::to_string(number),
            .body = "later " + std::to_string(number),
            .prefix = "c0:60,a" + std::to_string(number) + ":10",
            .gateway = number % 2 });
        BOOST_TEST(answer.status == 200);
    }
}
