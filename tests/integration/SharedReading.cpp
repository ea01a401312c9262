// One entry of a zone reads the store and shares the data with the others.
#include "standins/FaultProxy.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

constexpr auto entries = std::size_t(5);

/// A zone with several entries. Construction waits until one entry reads the store and the others rely on it.
struct Zone {
    Zone()
    {
        for (auto index = std::size_t(0); index < entries; ++index)
            world.startGateway();
        BOOST_REQUIRE(world.until([&] { return settled(); }));
        // The reader has only just started to read for the others, so two further reads are awaited.
        const auto begun = storeReads();
        BOOST_REQUIRE(world.until([&] { return storeReads() >= begun + 2 && settled(); }));
    }
    auto storeReads() -> std::uint64_t
    {
        auto count = std::uint64_t(0);
        for (auto index = std::size_t(0); index < world.gateways(); ++index)
            count += world.gateway(index).directory().storeReads();
        return count;
    }
    /// Whether all entries but one skip their own reads and follow that one. The choice of the reader may change while
    /// entries start.
    auto settled() -> bool
    {
        auto readers = std::set<std::uint16_t>();
        for (auto index = std::size_t(0); index < world.gateways(); ++index) {
            auto& gateway = world.gateway(index);
            const auto& reader = gateway.reader();
            if (reader && !gateway.directory().readsSkipped())
                return false;
            readers.insert(reader ? reader->port : gateway.peerPort());
        }
        return readers.size() == 1;
    }
    auto each(const std::function<bool(serving::GatewayRole&)>& holds) -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < world.gateways(); ++index)
            count += holds(world.gateway(index)) ? 1 : 0;
        return count;
    }
    auto skippingCount() -> std::size_t
    {
        return each([](serving::GatewayRole& gateway) { return gateway.directory().readsSkipped(); });
    }
    auto leaving(serving::GatewayRole& gateway) -> bool
    {
        const auto& all = gateway.directory().all();
        const auto found = all.find(serving::InstanceId("engine-0"));
        return found == all.end() || found->second->leaving();
    }
    auto drainEngine() -> void { world.store().put("servers", "engine-0", world.engine(0).entry("draining")); }

    ServingWorld world { 2, 1 };
};

} // namespace

// Guards against needless calls to the store, each of which is billed. When a replica starts to drain, all five entries
// of the zone learn of it, and only one has read the list from the store.
BOOST_AUTO_TEST_CASE(one_entry_reads_the_list_and_all_learn_of_a_leaving_replica)
{
    auto zone = Zone();
    auto before = std::vector<std::uint64_t>();
    for (auto index = std::size_t(0); index < entries; ++index)
        before.push_back(zone.world.gateway(index).directory().storeReads());
    zone.drainEngine();
    BOOST_TEST(zone.world.until(
        [&] { return zone.each([&](serving::GatewayRole& gateway) { return zone.leaving(gateway); }) == entries; }));
    auto readers = 0;
    for (auto index = std::size_t(0); index < entries; ++index)
        readers += zone.world.gateway(index).directory().storeReads() > before[index] ? 1 : 0;
    BOOST_TEST(readers == 1);
}

// Guards against a reader whose long poll takes longer than the time for which its last answer lets the followers skip
// their own reads.
BOOST_AUTO_TEST_CASE(only_the_reader_long_polls_the_configuration)
{
    auto zone = Zone();
    // Lets polls in progress finish.
    const auto begun = zone.storeReads();
    BOOST_REQUIRE(zone.world.until([&] { return zone.storeReads() >= begun + 4; }));
    auto heardAt = std::vector<std::optional<Moment>>();
    for (auto index = std::size_t(0); index < entries; ++index)
        heardAt.push_back(zone.world.gateway(index).configuration().lastAnswerAt());
    BOOST_REQUIRE(zone.world.until([&] { return zone.storeReads() >= begun + 10; }));
    auto heard = 0;
    for (auto index = std::size_t(0); index < entries; ++index)
        heard += zone.world.gateway(index).configuration().lastAnswerAt() != heardAt[index] ? 1 : 0;
    BOOST_TEST(heard == 1);
}

// Guards against sending the whole list on every change, which overloads entries with little bandwidth.
BOOST_AUTO_TEST_CASE(followers_receive_only_changed_rows)
{
    auto zone = Zone();
    const auto& directory = zone.world.gateway(0).directory();
    const auto before = directory.knownVersion();
    BOOST_TEST(directory.changesSince(0).whole);
    BOOST_TEST(directory.changesSince(0).listed.size() == 3U);
    BOOST_TEST(directory.changesSince(before).listed.empty());
    zone.drainEngine();
    BOOST_REQUIRE(zone.world.until([&] { return zone.leaving(zone.world.gateway(0)); }));
    const auto difference = directory.changesSince(before);
    BOOST_TEST(!difference.whole);
    BOOST_REQUIRE(difference.listed.size() == 1U);
    BOOST_TEST(difference.listed.front().instance.str() == "engine-0");
    zone.world.store().remove("servers", "engine-0");
    BOOST_REQUIRE(zone.world.until(
        [&] { return !zone.world.gateway(0).directory().all().contains(serving::InstanceId("engine-0")); }));
    BOOST_TEST(directory.changesSince(before).removed.size() == 1U);
}

// Guards against a reader with too little processor time to answer its followers before its data is too old.
BOOST_AUTO_TEST_CASE(the_entry_with_the_largest_processor_share_is_the_reader)
{
    auto world = ServingWorld(2, 1);
    for (auto index = std::size_t(0); index < entries; ++index) {
        world.settings().processorShare = index == 2 ? 1 : 0.1;
        world.startGateway();
    }
    const auto reader = Endpoint { "127.0.0.1", world.gateway(2).peerPort() };
    const auto followed = [&] {
        for (auto index = std::size_t(0); index < entries; ++index) {
            if (index != 2 && world.gateway(index).reader() != reader)
                return false;
        }
        return true;
    };
    BOOST_TEST(world.until(followed));
}

// Guards against a zone that keeps a reader that the store refuses, so that every entry reads for itself. The entry
// with the largest processor share reads until the store refuses this entry alone; another entry then becomes the
// reader, and the refused one follows it.
BOOST_AUTO_TEST_CASE(a_reader_that_the_store_refuses_is_replaced)
{
    auto world = ServingWorld(2, 1);
    auto proxy = standins::FaultProxy(world.loop(), { .upstream = world.store().endpoint().port });
    for (auto index = std::size_t(0); index < entries; ++index) {
        world.settings().processorShare = index == 0 ? 1 : 0.1;
        world.settings().host.store = { "127.0.0.1", index == 0 ? proxy.port() : world.store().endpoint().port };
        world.startGateway();
    }
    const auto first = Endpoint { "127.0.0.1", world.gateway(0).peerPort() };
    BOOST_REQUIRE(world.until([&] { return world.gateway(1).reader() == first; }));
    proxy.apply({ { "cut", true }, { "refuse", true } });
    BOOST_TEST(world.until([&] {
        const auto& second = world.gateway(0).reader();
        return second && world.gateway(1).reader() != first && world.gateway(0).directory().readsSkipped();
    }));
}

// All entries of a zone also get a new configuration and new adapter versions when only one entry reads the store.
BOOST_AUTO_TEST_CASE(all_entries_get_a_new_configuration_and_adapter_version)
{
    auto zone = Zone();
    zone.world.configure(2);
    zone.world.store().put("op", "version/base.a1", R"({"model":"base","adapter":"a1","version":7})");
    const auto has = [](serving::GatewayRole& gateway) {
        const auto& follower = gateway.configuration();
        return follower.configuration()->version == ConfigVersion(2)
            && follower.versions().of(serving::BaseModel("base"), AdapterId("a1")).version == AdapterVersion(7);
    };
    BOOST_TEST(zone.world.until([&] { return zone.each(has) == entries; }));
}

// Guards against entries that keep sending requests to a leaving replica because their reader is gone. The reader of
// the zone is killed and a replica starts to drain. The other entries read the list themselves or from the next reader.
BOOST_AUTO_TEST_CASE(stopped_reader_is_replaced)
{
    auto zone = Zone();
    for (auto index = std::size_t(0); index < zone.world.gateways(); ++index) {
        if (!zone.world.gateway(index).directory().readsSkipped()) {
            zone.world.stopGateway(index);
            break;
        }
    }
    BOOST_REQUIRE(zone.world.gateways() == entries - 1);
    zone.drainEngine();
    BOOST_TEST(zone.world.until([&] {
        return zone.each([&](serving::GatewayRole& gateway) { return zone.leaving(gateway); }) == entries - 1;
    }));
    BOOST_TEST(zone.world.until([&] { return zone.settled(); }));
}

// An outage of the store removes no replica from the list.
BOOST_AUTO_TEST_CASE(store_outage_removes_no_replica)
{
    auto zone = Zone();
    zone.world.store().refuseWith(503);
    BOOST_TEST(zone.world.until([&] { return zone.skippingCount() == 0; }));
    zone.world.store().refuseWith(0);
    BOOST_TEST(zone.world.until([&] { return zone.settled(); }));
    BOOST_TEST(zone.each([&](serving::GatewayRole& gateway) { return !zone.leaving(gateway); }) == entries);
}

// A new reader must read the table at once. If it waited for its pending long poll, every other entry of the zone would
// poll the store itself meanwhile.
BOOST_AUTO_TEST_CASE(a_new_reader_reads_the_table_while_its_long_poll_is_pending)
{
    auto world = ServingWorld(1, 1);
    auto store = hosting::Store(world.loop().timers(), world.store().endpoint());
    auto follower = serving::ConfigurationFollower(world.loop(), store, { 8s, std::nullopt }, { .onChange = [] {} });
    follower.start();
    BOOST_REQUIRE(world.until([&] { return follower.configuration() && world.store().waitingPolls() > 0; }));
    const auto before = world.store().readCount("op");
    follower.setReadingRole(decisions::SharedReading::Role::Reader);
    BOOST_TEST(world.until([&] { return world.store().readCount("op") > before; }));
}

// Guards against confirming an older configuration while the newest is not understood, because a reading that runs
// beside the long poll brings the older row late.
BOOST_AUTO_TEST_CASE(an_older_row_that_comes_late_confirms_nothing)
{
    auto world = ServingWorld(1, 1);
    auto store = hosting::Store(world.loop().timers(), world.store().endpoint());
    auto follower = serving::ConfigurationFollower(world.loop(), store, { 400ms, std::nullopt }, { .onChange = [] {} });
    follower.start();
    BOOST_REQUIRE(world.until([&] { return follower.configuration() && world.store().waitingPolls() > 0; }));
    world.wait(180ms);
    const auto before = world.store().readCount("op");
    world.store().answerAfter(200ms);
    follower.setReadingRole(decisions::SharedReading::Role::Reader);
    BOOST_REQUIRE(world.until([&] { return world.store().readCount("op") > before; }));
    world.store().answerAfter(0ms);
    world.store().put("op", "config", "not understood");
    world.wait(1s);
    BOOST_TEST((follower.age() > 900ms));
}

// Guards against followers that keep an old list of replicas for a new one, because their reader took long to get it.
BOOST_AUTO_TEST_CASE(the_age_of_the_list_counts_from_its_asking)
{
    constexpr auto slowness = Duration(300ms);
    auto world = ServingWorld(1, 1);
    auto& gateway = world.startGateway();
    world.store().answerAfter(slowness);
    const auto before = gateway.directory().storeReads();
    BOOST_REQUIRE(world.until([&] { return gateway.directory().storeReads() > before + 1; }));
    BOOST_TEST((gateway.directory().listAge() >= slowness));
}

// Guards against polls without a wait, one after the other, for a configuration that is never confirmed.
BOOST_AUTO_TEST_CASE(a_configuration_that_is_not_understood_costs_no_more_polls)
{
    auto world = ServingWorld(1, 1);
    auto store = hosting::Store(world.loop().timers(), world.store().endpoint());
    auto follower = serving::ConfigurationFollower(world.loop(), store, { 400ms, std::nullopt }, { .onChange = [] {} });
    follower.start();
    follower.setReadingRole(decisions::SharedReading::Role::Reader);
    BOOST_REQUIRE(world.until([&] { return follower.configuration() && world.store().waitingPolls() > 0; }));
    world.store().put("op", "config", "not understood");
    const auto before = world.store().pollCount();
    world.wait(1s);
    // One for each wait of 100 ms, and one for the change.
    BOOST_TEST(world.store().pollCount() - before <= 12U);
    BOOST_TEST(world.store().pollCount() - before >= 5U);
}
