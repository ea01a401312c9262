// Until when an entry believes its configuration to be the newest, beside a store in a process of its own, while the
// entry is suspended between any two steps, and with what the store's clock and its answers may be like.
#include "serving/ConfigurationFollower.h"
#include "serving/GatewayRole.h"
#include "tests/harness/KeyWorld.h"
#include "tests/harness/ServingWorld.h"
#include "tests/harness/SuspendingClock.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <csignal>

using namespace eelgrass;
using Json = nlohmann::json;

namespace {

constexpr auto suspension = Duration(250ms);
// Enough for some calls to the store, or to an entry, from their first step to their last.
constexpr auto mostReadings = 30;

auto configurationWithKeys(std::uint64_t version) -> std::string
{
    auto json = Json::parse(tests::servingConfiguration(version));
    json["tenants"] = Json::array({ { { "name", "armor" }, { "apiKeys", { "key" } } } });
    return json.dump();
}

/// An entry's configuration, followed in this process, and the store as a process.
struct Bed {
    explicit Bed(std::chrono::milliseconds keyBound, Duration inForce = 2s)
        : bounds({ inForce, keyBound })
    {
        configure();
    }
    auto configure() -> void { acknowledgedAt = store.putNow("op", "config", configurationWithKeys(++version)); }
    /// A new follower that has learned of the newest configuration and waits in a long poll.
    auto follow() -> void
    {
        follower.reset();
        client = std::make_unique<hosting::Store>(loop.timers(), store.endpoint());
        follower = std::make_unique<serving::ConfigurationFollower>(
            loop, *client, bounds, serving::ConfigurationFollower::Hooks { .onChange = [] {} });
        follower->start();
        while (!upToDate())
            wait(5ms);
    }
    [[nodiscard]] auto upToDate() const -> bool
    {
        return follower->configuration() && follower->configuration()->version == ConfigVersion(version);
    }
    /// Until when the follower takes its configuration for the newest.
    [[nodiscard]] auto confirmedUntil() -> Moment { return loop.timers().now() - follower->age(); }
    auto wait(Duration time) -> void { loop.wait(loop.sleep(time)); }

    tests::SuspendingClock clock { suspension };
    wire::MainLoop loop { clock.clock() };
    tests::StoreProcess store { loop };
    serving::ConfigurationFollower::Bounds bounds;
    std::unique_ptr<hosting::Store> client;
    std::unique_ptr<serving::ConfigurationFollower> follower;
    std::uint64_t version = 0;
    Moment acknowledgedAt {};
};

} // namespace

// Guards against an entry that is suspended while it asks the store and takes an older answer for a newer one.
BOOST_AUTO_TEST_CASE(a_suspension_at_any_reading_of_the_clock_makes_no_answer_of_the_store_newer)
{
    auto bed = Bed(350ms, 200ms);
    for (auto reading = 1; reading <= mostReadings; ++reading) {
        bed.follow();
        bed.wait(60ms);
        bed.clock.suspendAt(reading);
        while (!bed.clock.suspended())
            bed.wait(200ms);
        // The answer to what was asked then comes in.
        bed.wait(100ms);
        bed.store.process().signal(SIGSTOP);
        const auto stoppedAt = eelgrass::now();
        bed.wait(10ms);
        BOOST_TEST((bed.confirmedUntil() <= stoppedAt),
            "suspended at reading " << reading << ", confirmed " << (bed.confirmedUntil() - stoppedAt) / 1ms
                                    << " ms beyond the last answer");
        bed.store.process().signal(SIGCONT);
    }
}

// Guards against an entry that takes its configuration for newer than it is because the store's clock is further on, as
// that of another process of the store may be.
BOOST_AUTO_TEST_CASE(a_step_of_the_stores_clock_makes_no_answer_newer)
{
    auto bed = Bed(1000ms);
    bed.follow();
    bed.wait(500ms);
    bed.store.shiftClock(500s);
    bed.wait(700ms);
    bed.store.process().signal(SIGSTOP);
    const auto stoppedAt = eelgrass::now();
    bed.wait(20ms);
    BOOST_TEST((bed.confirmedUntil() <= stoppedAt));
    bed.wait(1s);
    BOOST_TEST(!bed.follower->keysUsable());
    bed.store.process().signal(SIGCONT);
}

// Guards against an entry that confirms an older configuration after the acknowledgement of a newer one, because the
// store is slow to send what it has read.
BOOST_AUTO_TEST_CASE(a_slow_answer_confirms_nothing_that_was_written_while_it_was_sent)
{
    auto bed = Bed(2000ms);
    bed.follow();
    bed.wait(600ms);
    bed.store.answerAfter(300ms);
    bed.store.settle();
    auto longest = Duration(0);
    const auto until = eelgrass::now() + 4s;
    while (eelgrass::now() < until) {
        bed.configure();
        for (auto count = 0; count < 20 && !bed.upToDate(); ++count) {
            bed.wait(5ms);
            if (!bed.upToDate())
                longest = std::max(longest, bed.confirmedUntil() - bed.acknowledgedAt);
        }
    }
    BOOST_TEST(longest / 1ms <= 0);
}

// Guards against an entry that is suspended while it asks another entry and takes an older answer for a newer one.
BOOST_AUTO_TEST_CASE(a_suspension_at_any_reading_of_the_clock_makes_no_answer_of_a_peer_newer)
{
    auto clock = tests::SuspendingClock(suspension);
    auto world = tests::KeyWorld({ .gateways = 1, .keyBound = std::chrono::milliseconds(1000) }, clock.clock());
    for (auto reading = 1; reading <= mostReadings; ++reading) {
        auto settings = serving::GatewaySettings();
        settings.host = { .name = "cut", .zone = AvailabilityZone("zone-1"), .store = { "127.0.0.1", 1 } };
        settings.host.address = "127.0.0.1";
        settings.host.agentPort = 1;
        settings.clients = settings.readiness = settings.peers = { "127.0.0.1", 0 };
        settings.seeds = { world.peerOf(0) };
        settings.keyBound = std::chrono::milliseconds(1000);
        auto cut = serving::GatewayRole(world.loop, settings);
        cut.start();
        while (!cut.ready())
            world.wait(5ms);
        clock.suspendAt(reading);
        while (!clock.suspended())
            world.wait(200ms);
        world.wait(50ms);
        world.gateway(0).signal(SIGSTOP);
        const auto stoppedAt = eelgrass::now();
        world.wait(20ms);
        const auto confirmedUntil = world.loop.timers().now() - cut.configuration().age();
        BOOST_TEST((confirmedUntil <= stoppedAt),
            "suspended at reading " << reading << ", confirmed " << (confirmedUntil - stoppedAt) / 1ms
                                    << " ms beyond the last answer");
        world.gateway(0).signal(SIGCONT);
    }
}
