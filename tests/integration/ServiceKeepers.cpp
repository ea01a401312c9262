#include "base/TextHash.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;

namespace {

const auto adapter = AdapterId("rare");
const auto key = decisions::ServiceKey { decisions::ServiceKey::Kind::Adapter, "rare" };

/// The requests for the adapter that this entry takes to have gone without service.
auto unservedAt(ServingWorld& world, std::size_t gateway) -> std::size_t
{
    auto& keepers = world.gateway(gateway).serviceKeepers();
    return world.loop().wait(keepers.find(adapter, { key })).front().known.unserved.count;
}

auto askForRare(ServingWorld& world, const std::string& attempt, std::size_t gateway) -> int
{
    return world.ask({ .attempt = attempt, .adapter = adapter.str(), .gateway = gateway }).status;
}

} // namespace

// Guards against a rare adapter that nobody serves since its requests come to different entries, of which each has seen
// too few to know.
BOOST_AUTO_TEST_CASE(an_entry_knows_of_the_requests_that_others_did_not_serve)
{
    auto world = ServingWorld(2, 0);
    world.startGateway();
    world.startGateway();
    for (auto engine = std::size_t(0); engine < 2; ++engine)
        world.engine(engine).behave({ .status = 503, .notRun = true });
    BOOST_TEST(askForRare(world, "first", 0) == 503);
    BOOST_TEST(askForRare(world, "second", 0) == 503);
    BOOST_TEST(world.until([&] { return unservedAt(world, 1) == 2; }));
    // An entry that serves all of its clients asks nobody.
    BOOST_TEST(world.ask({ .attempt = "another", .adapter = "another", .gateway = 1 }).status == 503);
    for (auto engine = std::size_t(0); engine < 2; ++engine)
        world.engine(engine).behave({});
    BOOST_TEST(askForRare(world, "third", 1) == 200);
    BOOST_TEST(world.until([&] { return unservedAt(world, 0) == 0; }));
}

// Guards against subjects that nobody serves since their clients ask through many adapters, and were refused too seldom
// with each of them to be owed anything.
BOOST_AUTO_TEST_CASE(a_shared_part_is_one_subject_whatever_adapter_and_entry_it_is_asked_through)
{
    const auto subject = decisions::ServiceKey { decisions::ServiceKey::Kind::Prefix,
        "resumable " + std::to_string(hashText(0, "bb")) };
    auto world = ServingWorld(2, 0);
    world.startGateway();
    world.startGateway();
    for (auto engine = std::size_t(0); engine < 2; ++engine)
        world.engine(engine).behave({ .status = 503, .notRun = true });
    const auto unserved = [&](std::size_t gateway) {
        auto& keepers = world.gateway(gateway).serviceKeepers();
        return world.loop().wait(keepers.find(AdapterId("a9"), { subject })).front().known.unserved.count;
    };
    for (auto index = std::size_t(0); index < 3; ++index) {
        const auto number = std::to_string(index + 1);
        const auto status = world
                                .ask({ .attempt = "attempt-" + number,
                                    .adapter = "a" + number,
                                    .prefix = "c" + number + ":60,bb:40,e" + number + ":10",
                                    .gateway = 0 })
                                .status;
        BOOST_TEST(status == 503);
    }
    BOOST_TEST(unserved(0) == 3U);
    BOOST_TEST(world.until([&] { return unserved(1) == 3; }));
}

// Guards against entries that know nothing any more of who went without service when a keeper goes.
BOOST_AUTO_TEST_CASE(an_entry_knows_its_own_requests_without_a_keeper)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .status = 503, .notRun = true });
    BOOST_TEST(askForRare(world, "first", 0) == 503);
    BOOST_TEST(askForRare(world, "second", 0) == 503);
    world.stopAgent(0);
    BOOST_TEST(unservedAt(world, 0) == 2U);
}
