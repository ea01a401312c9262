#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::standins::streamEvents;
using eelgrass::tests::ReceivedAnswer;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Then = ReplicaStandin::Behaviour::Then;

constexpr auto streams = 20;
constexpr auto worlds = 6;
constexpr auto sent = std::uint64_t(3);
constexpr auto whole = std::uint64_t(5);

/// Engines of the software versions given, which stop streams after three events until they recover.
struct Release {
    explicit Release(std::vector<std::string> versions, Then then = Then::Silence)
        : world(versions.size(), 0)
        , engines(versions.size())
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).setSoftware(versions[index]);
        world.publishReplicas();
        stopStreams(then);
    }
    /// `times` is how many streams, if not all.
    auto stopStreams(Then then = Then::Silence, const std::shared_ptr<int>& times = {}) -> void
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).behave({ .sent = sent, .then = then, .times = times });
    }
    auto recover() -> void
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).behave({});
    }
    auto runsOf(const std::string& attempt) -> std::size_t
    {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < engines; ++index) {
            const auto& runs = world.engine(index).runs();
            count += static_cast<std::size_t>(
                std::count_if(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; }));
        }
        return count;
    }
    /// Begins a stream that its client leaves after three events; the version of these.
    auto begin(const std::string& stream, std::size_t gateway = 0) -> std::string
    {
        const auto third = "id: " + std::to_string(sent) + "\n";
        const auto answer = world.receive({ .attempt = stream, .body = stream, .gateway = gateway }, third);
        const auto software = answer.body == streamEvents(1, sent, "v1") ? "v1" : "v1.1";
        BOOST_REQUIRE(answer.body == streamEvents(1, sent, software));
        return software;
    }
    /// The engine that ran the attempt; it is full from now on, so that the stream has to go on elsewhere.
    auto fillEngineOf(const std::string& attempt) -> std::size_t
    {
        const auto ran = [&](std::size_t index) {
            const auto& runs = world.engine(index).runs();
            return std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; });
        };
        auto index = std::size_t(0);
        while (!ran(index))
            ++index;
        world.engine(index).behave({ .status = 503, .notRun = true });
        return index;
    }
    /// The client takes the stream up with a new attempt.
    auto takeUp(const std::string& stream, const std::string& attempt, std::size_t gateway = 0) -> ReceivedAnswer
    {
        auto request = ServingWorld::Request { .attempt = attempt, .body = stream, .gateway = gateway };
        request.more.add(names::resumes, stream);
        request.more.add(names::lastEventId, std::to_string(sent));
        return world.receive(request);
    }

    ServingWorld world;
    std::size_t engines;
};

/// Whether the answer is the rest of a stream that `software` began.
auto isRest(const ReceivedAnswer& answer, const std::string& software) -> bool
{
    return answer.whole && answer.status == 200 && answer.body == streamEvents(sent + 1, whole, software);
}

auto name(int number) -> std::string { return "stream-" + std::to_string(number); }

} // namespace

// Guards against a stream that goes on within one answer at a replica of another software version.
BOOST_AUTO_TEST_CASE(broken_stream_does_not_go_on_at_another_version)
{
    for (auto number = 0; number < worlds; ++number) {
        auto release = Release({ "v1", "v1.1" });
        release.stopStreams(Then::Reset, std::make_shared<int>(1));
        release.world.startGateway();
        const auto answer = release.world.receive({ .attempt = name(number) });
        BOOST_TEST(!answer.whole);
        BOOST_TEST((answer.body == streamEvents(1, sent, "v1") || answer.body == streamEvents(1, sent, "v1.1")));
        BOOST_TEST(release.runsOf(name(number)) == 1U);
    }
}

// Guards against a stream that is given up though a replica of its version is left, or that goes on at another version.
BOOST_AUTO_TEST_CASE(broken_stream_goes_on_at_its_own_version)
{
    for (const auto then : { Then::Reset, Then::Silence }) {
        for (auto number = 0; number < worlds; ++number) {
            auto release = Release({ "v1", "v1", "v1.1", "v1.1" });
            release.stopStreams(then, std::make_shared<int>(1));
            release.world.startGateway();
            const auto answer = release.world.receive({ .attempt = name(number) });
            BOOST_TEST(answer.whole);
            BOOST_TEST((answer.body == streamEvents(1, whole, "v1") || answer.body == streamEvents(1, whole, "v1.1")));
        }
    }
}

// Guards against a stream that its client takes up and that goes on at another version, or is refused: at the entry
// that began it, and at another one.
BOOST_AUTO_TEST_CASE(stream_taken_up_at_any_entry_goes_on_at_its_own_version)
{
    for (auto number = 0; number < worlds; ++number) {
        auto release = Release({ "v1", "v1", "v1.1", "v1.1" });
        release.world.startGateway();
        release.world.startGateway();
        const auto software = release.begin("stream");
        release.recover();
        release.fillEngineOf("stream");
        BOOST_TEST(isRest(release.takeUp("stream", "again", static_cast<std::size_t>(number % 2)), software));
    }
}

// Guards against a stream that is taken up at another version, or is refused, after the entry that began it has died.
BOOST_AUTO_TEST_CASE(stream_of_a_dead_entry_goes_on_at_its_own_version)
{
    for (auto number = 0; number < worlds; ++number) {
        auto release = Release({ "v1", "v1", "v1.1", "v1.1" });
        release.world.startGateway();
        const auto software = release.begin("stream");
        // The entry notices that its client has left; it cannot be destroyed in the middle of a request.
        release.world.wait(200ms);
        release.world.stopGateway(0);
        release.world.startGateway();
        release.recover();
        release.fillEngineOf("stream");
        BOOST_TEST(isRest(release.takeUp("stream", "again"), software));
    }
}

// Guards against a stream that is taken up at another version, or is refused, after the host that began it has died.
BOOST_AUTO_TEST_CASE(stream_of_a_dead_host_goes_on_at_its_own_version)
{
    for (auto number = 0; number < worlds; ++number) {
        auto release = Release({ "v1", "v1", "v1.1", "v1.1" });
        release.world.startGateway();
        release.world.startGateway();
        const auto software = release.begin("stream");
        release.recover();
        const auto host = release.fillEngineOf("stream");
        release.world.stopAgent(host);
        release.world.store().remove("servers", "engine-" + std::to_string(host));
        BOOST_REQUIRE(release.world.until(
            [&] { return release.world.gateway(1).directory().all().size() == release.engines - 1; }));
        BOOST_TEST(isRest(release.takeUp("stream", "again", 1), software));
    }
}

// Guards against a stream that is taken up at another version because none of its own is left, and against a refusal
// that does not promise that the attempt has not run.
BOOST_AUTO_TEST_CASE(stream_without_a_replica_of_its_version_is_refused)
{
    auto release = Release({ "v1", "v1.1" });
    release.world.startGateway();
    release.world.startGateway();
    for (auto number = 0; number < streams; ++number)
        (void)release.begin(name(number));
    release.recover();
    for (const auto index : { std::size_t(0), std::size_t(1) }) {
        auto& engine = release.world.engine(index);
        release.world.store().remove("servers", engine.instance());
        engine.restart(engine.instance() + "-next");
        engine.setSoftware("v1.2");
    }
    release.world.publishReplicas();
    auto asked = 0;
    const auto served = [&](std::size_t gateway) {
        return release.world.receive({ .attempt = "new-" + std::to_string(++asked), .gateway = gateway }).whole;
    };
    BOOST_REQUIRE(release.world.until([&] { return served(0) && served(1); }));
    for (auto number = 0; number < streams; ++number) {
        const auto attempt = name(number) + "-again";
        const auto answer = release.takeUp(name(number), attempt, static_cast<std::size_t>(number % 2));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(release.runsOf(attempt) == 0U);
    }
}
