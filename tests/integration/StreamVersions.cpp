#include "standins/FaultProxy.h"
#include "tests/harness/StreamRelease.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::standins::streamEvents;
using eelgrass::tests::isRest;
using Release = eelgrass::tests::StreamRelease;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Then = ReplicaStandin::Behaviour::Then;

constexpr auto streams = 20;
constexpr auto worlds = 6;
constexpr auto sent = tests::eventsBeforeBreak;
constexpr auto whole = tests::eventsOfStream;

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
        release.killEntry(0);
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
        release.removeHost(release.fillEngineOf("stream"), 1);
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

// Guards against a take-up that is refused though the service has had one version all along, after both the entry and
// the host that began the stream have died.
BOOST_AUTO_TEST_CASE(stream_that_nobody_knows_goes_on_where_one_version_served)
{
    auto release = Release({ "v1", "v1" });
    release.world.startGateway();
    release.world.startGateway();
    // As long as a stream of the route can last.
    release.world.wait(6500ms);
    (void)release.begin("stream");
    release.recover();
    release.removeHost(release.fillEngineOf("stream"), 1);
    release.killEntry(0);
    BOOST_TEST(isRest(release.takeUp("stream", "again"), "v1"));
}

// Guards against a stream that goes on where nobody knows its version, because a single one is seen by an entry that
// has just started, or that cannot read the list.
BOOST_AUTO_TEST_CASE(one_visible_version_is_no_proof)
{
    auto release = Release({ "v1", "v1" });
    auto proxy = standins::FaultProxy(release.world.loop(), { .upstream = release.world.store().port() });
    release.world.startGateway();
    release.world.settings().host.store = { "127.0.0.1", proxy.port() };
    release.world.startGateway();
    auto justStarted = release.takeUp("unknown", "first", 1);
    BOOST_TEST(justStarted.status == 503);
    release.world.wait(6500ms);
    BOOST_TEST(release.takeUp("unknown", "second", 1).whole);
    proxy.apply({ { "silent", "both" } });
    BOOST_TEST(release.takeUp("unknown", "third", 1).status == 503);
    BOOST_TEST(release.runsOf("first") + release.runsOf("third") == 0U);
}

// Guards against a stream that goes on at the only version that an entry sees, because its list lacks the replica of
// another version that began the stream.
BOOST_AUTO_TEST_CASE(entry_with_an_old_list_learns_where_a_stream_began)
{
    auto release = Release({ "v1", "v1.1" });
    auto proxy = standins::FaultProxy(release.world.loop(), { .upstream = release.world.store().port() });
    release.world.store().remove("servers", "engine-1");
    release.world.startGateway(false);
    BOOST_REQUIRE(release.world.until([&] { return release.world.gateway(0).ready(); }));
    release.world.settings().host.store = { "127.0.0.1", proxy.port() };
    release.world.startGateway(false);
    BOOST_REQUIRE(release.world.until([&] { return release.world.gateway(1).ready(); }));
    proxy.apply({ { "silent", "both" } });
    release.world.publishReplicas();
    BOOST_REQUIRE(release.world.until([&] { return release.world.gateway(0).directory().all().size() == 2; }));
    release.world.engine(0).behave({ .status = 503, .notRun = true });
    BOOST_TEST(release.begin("stream") == "v1.1");
    release.recover();
    BOOST_TEST(release.takeUp("stream", "again", 1).status == 503);
    BOOST_TEST(release.runsOf("again") == 0U);
}

// Guards against a stream that goes on where its client doesn't say which one it is, or names one that never began.
BOOST_AUTO_TEST_CASE(streams_that_are_not_named_are_refused)
{
    auto release = Release({ "v1", "v1.1" });
    release.world.startGateway();
    (void)release.begin("one");
    (void)release.begin("two");
    release.recover();
    auto number = 0;
    for (const auto& named : std::vector<std::vector<std::string>> { {}, { "one", "two" }, { "never-began" } }) {
        const auto attempt = "again-" + std::to_string(++number);
        const auto answer = release.takeUpAs(named, "one", attempt);
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(answer.fields.get(names::retryAfter).empty());
        BOOST_TEST(release.runsOf(attempt) == 0U);
    }
}

// Guards against a stream that goes on at another version in the third attempt of its client, which names the first
// one.
BOOST_AUTO_TEST_CASE(stream_taken_up_again_and_again_stays_at_its_version)
{
    auto release = Release({ "v1", "v1", "v1.1", "v1.1" });
    release.world.startGateway();
    release.world.startGateway();
    const auto software = release.begin("stream");
    for (const auto* attempt : { "second", "third" }) {
        auto request = ServingWorld::Request { .attempt = attempt, .body = "stream", .gateway = 1 };
        request.more.add(names::resumes, "stream");
        request.more.add(names::lastEventId, "1");
        const auto answer = release.world.receive(request, "id: 3\n");
        BOOST_TEST(answer.body == streamEvents(2, sent, software));
    }
    release.recover();
    BOOST_TEST(isRest(release.takeUp("stream", "fourth", 0), software));
}

// Guards against events that come twice because the replica begins a stream anew that a client takes up.
BOOST_AUTO_TEST_CASE(stream_taken_up_brings_no_event_twice)
{
    auto release = Release({ "v1" });
    release.world.startGateway();
    (void)release.begin("stream");
    release.world.engine(0).behave({ .beginsAnew = true });
    BOOST_TEST(isRest(release.takeUp("stream", "again"), "v1"));
}

// Guards against streams that are taken for requests that crash replicas, because resets broke them off again and
// again.
BOOST_AUTO_TEST_CASE(stream_broken_by_resets_is_not_blocked)
{
    auto release = Release({ "v1", "v1" }, Then::Reset);
    release.world.startGateway();
    (void)release.world.receive({ .attempt = "stream", .body = "stream" });
    BOOST_REQUIRE(release.world.until([&] {
        (void)release.takeUp("stream", "broken-" + std::to_string(release.runsOfAll()));
        return release.runsOfAll() >= 4;
    }));
    release.recover();
    auto asked = 0;
    BOOST_TEST(release.world.until(
        [&] { return isRest(release.takeUp("stream", "again-" + std::to_string(++asked)), "v1"); }));
}

// Guards against a request that brings events before it crashes each replica, and goes on to the next one.
BOOST_AUTO_TEST_CASE(stream_that_crashes_replicas_is_blocked)
{
    auto release = Release({ "v1", "v1", "v1" });
    release.world.startGateway();
    auto starts = 0;
    auto over = false;
    // A replica crashes as soon as it has written its events, and is back under another name.
    const auto crash = [&](auto& self) -> kj::Promise<void> {
        if (over)
            return kj::READY_NOW;
        for (auto index = std::size_t(0); index < release.engines; ++index) {
            auto& engine = release.world.engine(index);
            const auto& runs = engine.runs();
            if (runs.empty() || runs.back().at < engine.startedAt())
                continue;
            release.world.store().remove("servers", engine.instance());
            engine.restart("engine-" + std::to_string(index) + "-" + std::to_string(++starts));
            release.world.publishReplicas();
        }
        return release.world.loop().sleep(20ms).then([&] { return self(self); });
    };
    auto crashing = crash(crash).eagerlyEvaluate(nullptr);
    auto status = 0;
    for (auto attempt = 0; attempt < 10 && status != 502; ++attempt) {
        status = release.world.receive({ .attempt = name(attempt), .body = "poison" }).status;
        release.world.wait(1500ms);
    }
    over = true;
    release.world.loop().wait(kj::mv(crashing));
    BOOST_TEST(status == 502);
    // Three count; a fourth may be under way before the third has been noticed.
    BOOST_TEST(release.runsOfAll() >= 3U);
    BOOST_TEST(release.runsOfAll() <= 4U);
}
