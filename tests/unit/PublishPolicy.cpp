// Tests how often entries receive updates about replicas as the fleet grows.
#include "decisions/PublishPolicy.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Size of a fleet whose entries and agents are spread evenly over the zones.
struct FleetSize {
    std::size_t zones;
    std::size_t entries;
    std::size_t agents;
};

/// Simulates one minute of steady load and returns the updates per second that one entry reads. The state of each agent
/// changes a dozen times per second, its adapters once per second.
auto updatesPerSecond(const FleetSize& fleet, Audience audience, std::size_t audienceSize) -> double
{
    auto random = std::mt19937_64(7);
    auto clock = Duration(0);
    auto figures = ReplicaLoad { .usable = true, .running = 20, .tokensAhead = 2000, .readRate = 40 };
    auto sent = ReplicaLoad();
    auto sentAt = Duration(0);
    auto due = Duration::max();
    auto namesChanged = false;
    auto updates = 0;
    constexpr auto step = Duration(10ms);
    constexpr auto measured = Duration(60s);
    for (; clock < measured; clock += step) {
        if (random() % 8 == 0) {
            figures.running = 15 + random() % 10;
            figures.tokensAhead = random() % 9000;
            namesChanged = namesChanged || random() % 12 == 0;
            if (due == Duration::max())
                due = clock + PublishPolicy::batchingDelay(audience, audienceSize);
        }
        const auto gathered = clock >= due;
        const auto beat = clock - sentAt >= PublishPolicy::heartbeat(audience);
        if (!gathered && !beat)
            continue;
        due = Duration::max();
        if (!beat && !namesChanged && !PublishPolicy::shouldPublish(audience, sent, figures))
            continue;
        sent = figures;
        sentAt = clock;
        namesChanged = false;
        ++updates;
    }
    const auto agents
        = audience == Audience::SameZone ? fleet.agents / fleet.zones : fleet.agents - fleet.agents / fleet.zones;
    return static_cast<double>(updates * agents) / std::chrono::duration<double>(measured).count();
}

auto updatesPerSecond(const FleetSize& fleet) -> double
{
    const auto nearEntries = fleet.entries / fleet.zones;
    return updatesPerSecond(fleet, Audience::SameZone, nearEntries)
        + updatesPerSecond(fleet, Audience::OtherZone, fleet.entries - nearEntries);
}

} // namespace

// Guards against requests that wait at an entry without processor time. The fleet grows to 68 entries and 120 agents,
// each with a dozen changes per second. If every agent published every change to every entry, an entry would read 300
// updates per second: 20 ms of work out of the 90 ms that the smallest entry has per second.
BOOST_AUTO_TEST_CASE(updates_take_at_most_a_tenth_of_the_smallest_entry)
{
    // Cost of an update for an entry, measured by bench/control.sh, and processor time of the smallest entry per
    // second.
    constexpr auto updateCost = Duration(70us);
    constexpr auto smallest = Duration(90ms);
    const auto most = static_cast<double>(smallest / 10 / updateCost);
    BOOST_TEST(updatesPerSecond({ .zones = 5, .entries = 11, .agents = 19 }) <= most);
    BOOST_TEST(updatesPerSecond({ .zones = 4, .entries = 30, .agents = 55 }) <= most);
    BOOST_TEST(updatesPerSecond({ .zones = 5, .entries = 68, .agents = 120 }) <= most);
}

// A frozen agent is detected by its silence, so heartbeats must arrive within the time that an entry allows.
BOOST_AUTO_TEST_CASE(heartbeats_are_on_time_for_any_number_of_entries)
{
    BOOST_TEST((PublishPolicy::heartbeat(Audience::SameZone) * 3 / 2 < Duration(1500ms)));
    BOOST_TEST((PublishPolicy::heartbeat(Audience::OtherZone) * 3 / 2 < Duration(4500ms)));
    for (const auto entries : { 1U, 14U, 68U, 400U })
        BOOST_TEST((PublishPolicy::batchingDelay(Audience::RecentRequester, entries) <= Duration(400ms)));
}

BOOST_AUTO_TEST_CASE(entries_in_the_zone_receive_every_change)
{
    const auto sent = ReplicaLoad { .usable = true, .running = 20 };
    auto now = sent;
    BOOST_TEST(!PublishPolicy::shouldPublish(Audience::SameZone, sent, now));
    ++now.running;
    BOOST_TEST(PublishPolicy::shouldPublish(Audience::SameZone, sent, now));
    BOOST_TEST(PublishPolicy::shouldPublish(Audience::RecentRequester, sent, now));
    BOOST_TEST(!PublishPolicy::shouldPublish(Audience::OtherZone, sent, now));
}

// Guards against requests sent across zones to a replica that has just failed or no longer has a free slot.
BOOST_AUTO_TEST_CASE(entries_of_other_zones_receive_significant_changes)
{
    const auto sent = ReplicaLoad { .usable = true, .running = 20, .tokensAhead = 1000, .spareSlots = 2 };
    const auto published = [&](auto change) {
        auto now = sent;
        change(now);
        return PublishPolicy::shouldPublish(Audience::OtherZone, sent, now);
    };
    BOOST_TEST(published([](auto& now) { now.usable = false; }));
    BOOST_TEST(published([](auto& now) { now.spareSlots = 0; }));
    BOOST_TEST(published([](auto& now) { now.tokensAhead += 9000; }));
    BOOST_TEST(published([](auto& now) { now.running = 64; }));
    BOOST_TEST(published([](auto& now) { now.loadsWaiting = 3; }));
    BOOST_TEST(published([](auto& now) { now.failures = 0.3; }));
    BOOST_TEST(!published([](auto& now) { now.spareSlots = 1; }));
}

// Guards against sessions that end because the agent itself was suspended: two beats of a timer may follow at once
// then.
BOOST_AUTO_TEST_CASE(two_beats_at_once_make_no_entry_silent)
{
    for (const auto audience : { Audience::SameZone, Audience::RecentRequester, Audience::OtherZone })
        BOOST_TEST(PublishPolicy::maxUnansweredHeartbeats(audience) > 2U);
}
