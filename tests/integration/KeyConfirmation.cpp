// How old an entry believes its configuration to be, with entries and the store as processes that are paused.
#include "tests/harness/KeyWorld.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <cstdlib>
#include <random>

using namespace eelgrass;
using eelgrass::tests::KeyWorld;

namespace {

auto setting(const char* name, int usual) -> int
{
    const auto* text = std::getenv(name);
    return text ? std::atoi(text) : usual;
}

} // namespace

// Guards against running a request whose key is gone because the entry was suspended right after it had asked the
// store, when the woken store takes its processor.
BOOST_AUTO_TEST_CASE(a_removed_key_is_out_of_use_in_time_at_an_entry_that_was_suspended_while_asking)
{
    constexpr auto keyBound = std::chrono::milliseconds(2000);
    auto world = KeyWorld({ .gateways = 1, .keyBound = keyBound, .cores = 1 });
    world.store.suspendAsker(world.gateway(0).pid(), 1200ms, 6);
    world.wait(14s);
    world.store.refuseWith(503);
    const auto removedAt = world.configure({ "another" });
    auto latest = Duration(0);
    for (auto sentAt = removedAt; sentAt - removedAt < keyBound + 1500ms; sentAt = world.loop.timers().now()) {
        if (world.askNow(0, "key") == 200)
            latest = sentAt - removedAt;
        world.wait(10ms);
    }
    BOOST_TEST(latest / 1ms <= keyBound.count());
    BOOST_TEST(latest / 1ms > keyBound.count() / 4);
}

// Guards against running a request whose key is gone because the store's clock has moved.
BOOST_AUTO_TEST_CASE(a_removed_key_is_out_of_use_in_time_beside_a_store_with_another_clock)
{
    constexpr auto keyBound = std::chrono::milliseconds(2000);
    auto world = KeyWorld({ .gateways = 2, .keyBound = keyBound });
    world.wait(1s);
    world.store.shiftClock(60s);
    world.wait(1s);
    world.store.refuseWith(503);
    const auto removedAt = world.configure({ "another" });
    world.wait(keyBound + 200ms);
    BOOST_TEST((world.loop.timers().now() - removedAt > keyBound));
    for (auto index = std::size_t(0); index < world.gateways(); ++index)
        BOOST_TEST(world.askNow(index, "key") != 200);
    world.store.refuseWith(0);
    world.wait(1s);
    for (auto index = std::size_t(0); index < world.gateways(); ++index)
        BOOST_TEST(world.askNow(index, "another") == 200);
}

// Guards against an entry that takes its configuration for newer than the store's last answer, after pauses of it.
BOOST_AUTO_TEST_CASE(a_stopped_store_confirms_nothing)
{
    const auto rounds = setting("EELGRASS_ROUNDS", 3);
    auto world = KeyWorld({ .gateways = 6, .cores = static_cast<std::size_t>(setting("EELGRASS_CORES", 0)) });
    auto random = std::mt19937_64(static_cast<std::uint64_t>(setting("EELGRASS_SEED", 1)));
    for (auto round = 0; round < rounds; ++round) {
        for (auto count = 0; count < 4; ++count) {
            for (auto index = std::size_t(0); index < world.gateways(); ++index) {
                world.gateway(index).signal(SIGSTOP);
                world.wait(std::chrono::milliseconds(random() % 60));
            }
            world.wait(std::chrono::milliseconds(20 + random() % 700));
            for (auto index = std::size_t(0); index < world.gateways(); ++index)
                world.gateway(index).signal(SIGCONT);
            world.wait(std::chrono::milliseconds(100 + random() % 400));
        }
        world.wait(1500ms);
        world.store.process().signal(SIGSTOP);
        const auto stoppedAt = world.loop.timers().now();
        world.wait(1200ms);
        for (auto index = std::size_t(0); index < world.gateways(); ++index) {
            const auto attempt = world.nextAttempt();
            const auto asked = world.loop.timers().now();
            const auto status = world.loop.wait(world.ask(index, "key", attempt));
            if (status != 200)
                continue;
            const auto least = asked - stoppedAt;
            const auto told = Duration(world.ageToldFor(index, attempt));
            BOOST_TEST((told + 2ms >= least),
                "gateway-" << index << " in round " << round << " told " << told / 1ms << " ms, at least "
                           << least / 1ms);
        }
        world.store.process().signal(SIGCONT);
    }
}

// Guards against refusing callers for want of a confirmation that another entry has: the store turns most entries away,
// and some of those that could be asked are suspended.
BOOST_AUTO_TEST_CASE(an_entry_that_the_store_turns_away_serves_living_keys_beside_suspended_peers)
{
    constexpr auto count = std::size_t(6);
    auto world = KeyWorld({ .gateways = count, .separateStores = true });
    for (auto index = std::size_t(1); index < count; ++index)
        world.turnAway(index);
    for (auto index = std::size_t(1); index < count - 1; ++index)
        world.gateway(index).signal(SIGSTOP);
    const auto until = world.loop.timers().now() + 12s;
    auto asked = 0;
    auto served = 0;
    while (world.loop.timers().now() < until) {
        ++asked;
        served += world.askNow(count - 1, "key") == 200 ? 1 : 0;
        world.wait(20ms);
    }
    BOOST_TEST(served == asked);
    for (auto index = std::size_t(1); index < count - 1; ++index)
        world.gateway(index).signal(SIGCONT);
}
