// Streams that clients take up after all entries were killed, while two software versions serve or the old one has just
// left: none may go on with text of the other version.
#include "tests/harness/StreamRelease.h"

#include <array>

using namespace eelgrass;
using eelgrass::tests::isRest;
using eelgrass::tests::StreamRelease;

namespace {

constexpr auto streams = 12;

auto name(int number) -> std::string { return "stream-" + std::to_string(number); }

/// Two entries with streams that have broken off; `began` has the version of each.
struct BrokenStreams {
    explicit BrokenStreams(std::vector<std::string> versions)
        : release(std::move(versions))
    {
        release.world.startGateway();
        release.world.startGateway();
        for (auto number = 0; number < streams; ++number)
            began.push_back(release.begin(name(number), static_cast<std::size_t>(number % 2)));
        release.recover();
    }
    auto killAllEntries() -> void
    {
        release.killEntry(1);
        release.killEntry(0);
    }
    auto startEntries() -> void
    {
        for (auto count = 0; count < 2; ++count) {
            release.world.startGateway(false);
            const auto index = release.world.gateways() - 1;
            BOOST_REQUIRE(release.world.until([&] { return release.world.gateway(index).ready(); }));
        }
    }
    /// The host of each replica with this version is gone, and so is its agent.
    auto removeHostsOf(const std::string& software) -> void
    {
        for (auto index = std::size_t(0); index < release.engines; ++index) {
            if (release.world.engine(index).software() != software)
                continue;
            release.world.stopAgent(index);
            release.world.store().remove("servers", release.world.engine(index).instance());
        }
    }
    /// Takes all streams up once; how many went on.
    auto takeUpAll(const std::string& suffix) -> int
    {
        auto wentOn = 0;
        for (auto number = 0; number < streams; ++number) {
            const auto index = static_cast<std::size_t>(number);
            const auto attempt = name(number) + suffix;
            const auto answer = release.takeUp(name(number), attempt, index % 2);
            if (answer.status == 503) {
                BOOST_TEST(release.runsOf(attempt) == 0U);
                continue;
            }
            BOOST_TEST(isRest(answer, began[index]));
            ++wentOn;
        }
        return wentOn;
    }

    StreamRelease release;
    std::vector<std::string> began;
};

} // namespace

// Guards against a stream that goes on at another version because every entry that knew its own has been killed.
BOOST_AUTO_TEST_CASE(streams_go_on_at_their_versions_after_all_entries_were_killed)
{
    auto broken = BrokenStreams({ "v1", "v1", "v1.1", "v1.1" });
    broken.killAllEntries();
    broken.startEntries();
    BOOST_TEST(broken.takeUpAll("-again") == streams);
}

// Guards against taking the only version that new entries see for the one that began a stream, when the hosts of the
// old version, whose agents knew, are gone as well.
BOOST_AUTO_TEST_CASE(streams_of_a_version_that_has_left_are_refused_by_entries_that_have_just_started)
{
    for (const auto first : { true, false }) {
        auto broken = BrokenStreams({ "v1", "v1", "v1.1", "v1.1" });
        if (first)
            broken.removeHostsOf("v1");
        broken.killAllEntries();
        if (!first)
            broken.removeHostsOf("v1");
        broken.startEntries();
        const auto ofNewVersion = std::count(broken.began.begin(), broken.began.end(), "v1.1");
        BOOST_TEST(broken.takeUpAll("-at-once") == ofNewVersion);
        broken.release.world.wait(2s);
        BOOST_TEST(broken.takeUpAll("-later") == ofNewVersion);
    }
}

// Guards against a proof of a single version by an entry that counts the time before its own start, or before its list
// showed that the other one has left.
BOOST_AUTO_TEST_CASE(streams_that_nobody_knows_are_refused_while_a_second_version_was_listed_lately)
{
    auto broken = BrokenStreams({ "v1", "v1.1" });
    for (auto index = std::size_t(0); index < 2; ++index)
        broken.release.world.stopAgent(index);
    broken.killAllEntries();
    broken.startEntries();
    broken.release.world.store().remove("servers", broken.release.world.engine(0).instance());
    BOOST_REQUIRE(
        broken.release.world.until([&] { return broken.release.world.gateway(0).directory().all().size() == 1; }));
    broken.release.world.startAgent(1);
    BOOST_TEST(broken.takeUpAll("-at-once") == 0);
    broken.release.world.wait(3s);
    BOOST_TEST(broken.takeUpAll("-later") == 0);
}

// Guards against joining text of two versions when replicas of the old one are replaced at their own addresses while no
// entry runs.
BOOST_AUTO_TEST_CASE(streams_are_refused_when_their_replicas_start_again_with_another_version)
{
    auto broken = BrokenStreams({ "v1", "v1" });
    broken.killAllEntries();
    for (auto index = std::size_t(0); index < 2; ++index) {
        auto& engine = broken.release.world.engine(index);
        broken.release.world.store().remove("servers", engine.instance());
        engine.restart(engine.instance() + "-next");
        engine.setSoftware("v1.1");
    }
    broken.release.world.publishReplicas();
    broken.startEntries();
    broken.release.world.wait(500ms);
    BOOST_TEST(broken.takeUpAll("-at-once") == 0);
    broken.release.world.wait(2s);
    BOOST_TEST(broken.takeUpAll("-later") == 0);
}
