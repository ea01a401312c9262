// Requests that are open, or come, while an entry's stop runs out. The entry is a process of its own and gets a real
// SIGTERM, and a SIGKILL when its grace period is over.
#include "tests/harness/ByteCaller.h"
#include "tests/harness/GatewayProcess.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;
using Behaviour = standins::ReplicaStandin::Behaviour;

namespace {

using Json = nlohmann::json;

/// Longer than any stop.
constexpr auto forGood = Duration(100s);
/// A request that is whole by then may be cut at work by the end of the stop.
constexpr auto lateInStop = Duration(3500ms);
constexpr auto unfinishedBytes = std::size_t(3);

/// Routes that allow more time than a stop has.
auto patientRoutes(Json& configuration) -> void
{
    for (auto& route : configuration["routes"]) {
        route["timeoutMs"] = 12000;
        route["targetLatencyMs"] = 6000;
    }
}

struct World : GatewayProcess {
    explicit World(std::chrono::milliseconds graceTime = std::chrono::milliseconds(4500))
        : GatewayProcess({ .grace = graceTime, .configure = patientRoutes })
    {
        until([&] { return ask({ .path = "/once/x", .attempt = "first" }).status == 200; });
        until([&] { return ask({ .path = "/whole/x", .attempt = "first" }).status == 200; });
    }

    auto ask(const RawCall& call) -> ReceivedAnswer
    {
        auto caller = ByteCaller(port());
        caller.send(call.text());
        return answerOf(caller);
    }
    /// The first answer, whole, or what has come of it when the connection ends.
    auto answerOf(ByteCaller& caller) -> ReceivedAnswer
    {
        until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
        return caller.answers().empty() ? ReceivedAnswer() : caller.answers().front();
    }
};

auto isRefusal(const ReceivedAnswer& answer) -> bool
{
    return answer.whole && answer.status == 503 && answer.fields.get("Connection") == "close";
}

} // namespace

// Guards against a request that gets no byte because its entry ends while it waits for a replica.
BOOST_AUTO_TEST_CASE(a_request_that_waits_when_the_stop_ends_is_refused)
{
    auto world = World();
    world.engine().behave({ .loseOrders = true });
    auto caller = ByteCaller(world.port());
    caller.send(RawCall { .path = "/whole/x", .adapter = "a1" }.text());
    world.until([&] { return !world.engine().orders().empty(); });
    world.beginStop();
    const auto answer = world.answerOf(caller);
    BOOST_TEST(isRefusal(answer));
    BOOST_TEST(!answer.fields.get("Retry-After").empty());
    BOOST_TEST(world.awaitEnd() == 0);
}

// Guards against a request that gets no byte because its entry ends while a replica works on it.
BOOST_AUTO_TEST_CASE(a_request_at_work_without_an_answer_when_the_stop_ends_fails_completely)
{
    for (const auto* path : { "/once/x", "/whole/x" }) {
        auto world = World();
        world.plain().behave(
            { .silence = { .at = standins::ReplicaStandin::Silence::At::BeforeHead, .time = forGood } });
        world.engine().behave(
            { .silence = { .at = standins::ReplicaStandin::Silence::At::BeforeHead, .time = forGood } });
        const auto before = world.plain().runs().size() + world.engine().runs().size();
        auto caller = ByteCaller(world.port());
        caller.send(RawCall { .path = path }.text());
        world.until([&] { return world.plain().runs().size() + world.engine().runs().size() > before; });
        world.beginStop();
        const auto answer = world.answerOf(caller);
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.status == 504);
        BOOST_TEST(world.awaitEnd() == 0);
    }
}

// Guards against a request that is read whole late in a stop, is passed on and cut by the end of the process.
BOOST_AUTO_TEST_CASE(a_request_that_is_whole_too_late_in_a_stop_is_refused)
{
    for (const auto* path : { "/once/x", "/safe/x", "/whole/x", "/resumable/x" }) {
        auto world = World();
        world.plain().behave(
            { .silence = { .at = standins::ReplicaStandin::Silence::At::BeforeHead, .time = forGood } });
        world.engine().behave({ .eventGap = 1s });
        const auto runs = world.plain().runs().size() + world.engine().runs().size();
        const auto text = RawCall { .path = path }.text();
        auto caller = ByteCaller(world.port());
        caller.send(text.substr(0, text.size() - unfinishedBytes));
        world.wait(50ms);
        world.beginStop();
        world.waitUntilAfterStop(lateInStop);
        caller.send(text.substr(text.size() - unfinishedBytes));
        BOOST_TEST_CONTEXT(path)
        {
            BOOST_TEST(isRefusal(world.answerOf(caller)));
            BOOST_TEST(world.plain().runs().size() + world.engine().runs().size() == runs);
        }
        BOOST_TEST(world.awaitEnd() == 0);
    }
}

// Guards against late requests that are refused although their time ends before the stop does.
BOOST_AUTO_TEST_CASE(a_request_that_is_whole_late_in_a_stop_is_served_if_its_time_ends_before)
{
    auto world = World(std::chrono::milliseconds(8000));
    for (const auto* path : { "/once/x", "/whole/x" }) {
        const auto text = RawCall { .path = path, .deadlineMs = 4500 }.text();
        auto caller = ByteCaller(world.port());
        caller.send(text.substr(0, text.size() - unfinishedBytes));
        world.wait(50ms);
        if (!world.process().logged("stopping"))
            world.beginStop();
        world.waitUntilAfterStop(path == std::string("/once/x") ? Duration(2s) : lateInStop);
        caller.send(text.substr(text.size() - unfinishedBytes));
        const auto answer = world.answerOf(caller);
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.status == 200);
    }
    BOOST_TEST(world.awaitEnd() == 0);
}

// Guards against a client that sends its request half and is reset when the stop ends.
BOOST_AUTO_TEST_CASE(a_request_that_is_half_read_when_the_stop_ends_is_refused)
{
    auto world = World();
    const auto text = RawCall { .path = "/whole/x" }.text();
    auto caller = ByteCaller(world.port());
    caller.send(text.substr(0, text.size() - unfinishedBytes));
    world.wait(50ms);
    world.beginStop();
    BOOST_TEST(isRefusal(world.answerOf(caller)));
    BOOST_TEST(world.awaitEnd() == 0);
}

// Guards against a kept connection that is closed without notice, although its client has sent its next request.
BOOST_AUTO_TEST_CASE(a_connection_whose_answer_announced_no_close_serves_one_more_request)
{
    auto world = World();
    world.engine().behave({ .eventGap = 150ms });
    auto caller = ByteCaller(world.port());
    caller.send(RawCall { .path = "/whole/x" }.text());
    world.until([&] { return caller.received().find("id:") != std::string::npos; });
    world.beginStop();
    caller.send(RawCall { .path = "/once/x", .attempt = "next" }.text());
    world.until([&] { return caller.ended(); });
    const auto answers = caller.answers();
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST(answers[0].whole);
    BOOST_TEST(answers[0].body == standins::streamEvents(1, 5));
    BOOST_TEST(answers[1].whole);
    BOOST_TEST(answers[1].status == 200);
    BOOST_TEST(answers[1].fields.get("Connection") == "close");
    BOOST_TEST(world.awaitEnd() == 0);
}

// Guards against a stop that is killed with requests open because the grace period is shorter than the balancer's
// delay.
BOOST_AUTO_TEST_CASE(a_stop_with_a_short_grace_period_ends_its_requests_in_time)
{
    auto world = World(std::chrono::milliseconds(1500));
    world.plain().behave({ .silence = { .at = standins::ReplicaStandin::Silence::At::BeforeHead, .time = forGood } });
    const auto before = world.plain().runs().size();
    auto caller = ByteCaller(world.port());
    caller.send(RawCall { .path = "/once/x" }.text());
    world.until([&] { return world.plain().runs().size() > before; });
    world.beginStop();
    const auto answer = world.answerOf(caller);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.status == 504);
    BOOST_TEST(world.awaitEnd() == 0);
}

// Guards against a stop that is killed with all that it holds, because its last steps take as long as they may: a
// client that closes late, and a log that nobody reads.
BOOST_AUTO_TEST_CASE(a_stop_ends_in_its_grace_period_though_its_last_steps_are_slow)
{
    constexpr auto linesOfLog = 300;
    constexpr auto graceTime = std::chrono::milliseconds(1510);
    auto world = World(graceTime);
    auto kept = ByteCaller(world.port());
    kept.send(RawCall { .path = "/once/x", .attempt = "kept" }.text());
    BOOST_TEST(world.answerOf(kept).status == 200);
    world.process().pauseReading();
    for (auto count = 0; count < linesOfLog; ++count)
        BOOST_REQUIRE(world.ask({ .path = "/once/x", .attempt = "fill-" + std::to_string(count) }).status == 200);
    world.process().signal(SIGTERM);
    const auto killer = world.loop().timers().after(Duration(graceTime), [&world] { world.process().signal(SIGKILL); });
    world.until([&] { return !world.process().running(); });
    BOOST_TEST(world.process().exitCode() == 0);
}
