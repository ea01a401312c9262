// Requests on connections of each kind at several times of a stop: new, kept, half sent, pipelined. The
// entry is a process of its own and gets a real SIGTERM, and a SIGKILL when its grace period is over.
#include "tests/harness/StopTraffic.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace eelgrass;
using namespace eelgrass::tests;
using Silence = standins::ReplicaStandin::Silence;

namespace {

using Json = nlohmann::json;

constexpr auto grace = std::chrono::milliseconds(8000);
constexpr auto routeTime = std::chrono::milliseconds(12000);
constexpr auto paths = std::array { "/once/x", "/safe/x", "/whole/x", "/resumable/x" };
/// Bytes of the body, and of the body and a part of the head.
constexpr auto inBody = std::size_t(3);
constexpr auto inHead = std::size_t(40);

auto patientLimits(Json& configuration) -> void
{
    for (auto& route : configuration["routes"]) {
        route["timeoutMs"] = routeTime.count();
        route["targetLatencyMs"] = 6000;
    }
    configuration["limits"]["headerTimeoutMs"] = 20000;
    configuration["limits"]["idleTimeoutMs"] = 20000;
}

struct World : GatewayProcess {
    World()
        : GatewayProcess({ .grace = grace, .configure = patientLimits })
        , traffic(*this, { &engine(), &plain() }, routeTime)
    {
        for (const auto* path : paths) {
            auto served = false;
            while (!served) {
                auto caller = ByteCaller(port());
                caller.send(RawCall { .path = path, .attempt = "first" }.text());
                until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
                served = !caller.answers().empty() && caller.answers().front().status == 200;
            }
        }
    }
    /// From now on requests take a while.
    auto slowDown() -> void
    {
        plain().behave({ .silence = { .at = Silence::At::BeforeHead, .time = 300ms } });
        engine().behave({ .eventGap = 100ms });
    }
    auto judge() -> void
    {
        traffic.finish();
        for (const auto& violation : traffic.violations())
            BOOST_ERROR(violation);
        for (const auto& [end, count] : traffic.ends())
            BOOST_TEST_MESSAGE(count << " x " << end);
        BOOST_TEST(process().exitCode() == 0);
    }

    StopTraffic traffic;
};

} // namespace

// Guards against a connection that the entry's kernel has taken, and whose request is read and left without an answer.
BOOST_AUTO_TEST_CASE(requests_on_new_and_kept_connections_have_whole_answers_throughout_a_stop)
{
    auto world = World();
    auto& traffic = world.traffic;
    const auto kept = traffic.openKept(160);
    world.slowDown();
    for (const auto connection : kept) {
        traffic.at(connection * 50ms, [&traffic, connection, path = paths[connection % paths.size()]] {
            traffic.send(connection, { .path = path });
        });
    }
    for (auto time = Duration(0); time < Duration(grace); time += 100ms) {
        for (const auto* path : paths)
            traffic.at(time + 30ms, [&traffic, path] { traffic.ask({ .path = path }); });
    }
    traffic.stop();
    world.judge();
    BOOST_TEST(traffic.ends()["200"] > 100);
}

// Guards against an entry that takes the last bytes of a request and ends without a word about it.
BOOST_AUTO_TEST_CASE(half_sent_requests_that_become_whole_in_a_stop_have_whole_answers)
{
    auto world = World();
    auto& traffic = world.traffic;
    world.slowDown();
    for (auto time = Duration(0); time < Duration(grace); time += 100ms) {
        for (const auto heldBack : { inBody, inHead }) {
            const auto connection = traffic.open();
            const auto* path = paths[connection / 2 % paths.size()];
            traffic.send(connection, { .path = path, .deadlineMs = connection % 3 == 0 ? 1500U : 20000U }, heldBack);
            traffic.at(time, [&traffic, connection] { traffic.complete(connection); });
        }
    }
    world.wait(100ms);
    traffic.stop();
    world.judge();
    BOOST_TEST(traffic.ends()["200"] > 30);
    BOOST_TEST(traffic.ends()["503"] > 20);
}

// Guards against the second of two requests, sent together, that is discarded although the answer to the first has not
// announced the close.
BOOST_AUTO_TEST_CASE(pipelined_requests_have_whole_answers_or_are_told_of_the_close)
{
    auto world = World();
    auto& traffic = world.traffic;
    world.slowDown();
    const auto sendThree = [&traffic](std::size_t first) {
        const auto connection = traffic.open();
        for (auto index = first; index < first + 3; ++index)
            traffic.send(connection, { .path = paths[index % paths.size()] });
    };
    for (auto number = std::size_t(0); number < 60; ++number)
        traffic.at(number * 50ms, [sendThree, number] { sendThree(number); });
    for (auto number = std::size_t(0); number < 12; ++number) {
        sendThree(number);
        world.wait(40ms);
    }
    traffic.stop();
    world.judge();
    BOOST_TEST(traffic.ends()["200"] > 30);
}
