// Stops of several entries one after the other and at once, of an entry that is told twice, and stops beside other
// planned work: an agent that is stopped, a pause of a replica, a change of the configuration, a reload. Entries and
// agent are processes and get a real SIGTERM, and entries a SIGKILL when their grace period is over.
#include "tests/harness/ServingWorld.h"
#include "tests/harness/StopTraffic.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace eelgrass;
using namespace eelgrass::tests;
using Silence = standins::ReplicaStandin::Silence;

namespace {

using Json = nlohmann::json;

constexpr auto grace = std::chrono::milliseconds(8000);
constexpr auto routeTime = std::chrono::milliseconds(9000);
constexpr auto paths = std::array { "/once/x", "/safe/x", "/whole/x", "/resumable/x" };

auto patientRoutes(Json& configuration) -> void
{
    for (auto& route : configuration["routes"]) {
        route["timeoutMs"] = routeTime.count();
        route["targetLatencyMs"] = 6000;
    }
    configuration["limits"]["headerTimeoutMs"] = 20000;
    configuration["limits"]["idleTimeoutMs"] = 20000;
}

struct World : GatewayProcess {
    explicit World(std::size_t gateways = 1)
        : GatewayProcess({ .grace = grace, .configure = patientRoutes })
        , traffic(*this, { &engine(), &plain() }, routeTime)
    {
        processes.push_back(&process());
        for (auto number = std::size_t(1); number < gateways; ++number) {
            processes.push_back(&addGateway("gateway-" + std::to_string(number)));
            traffic.addGateway(*processes.back());
        }
        for (auto* one : processes) {
            for (const auto* path : paths)
                until([&] { return ask(*one, path) == 200; });
        }
        plain().behave({ .silence = { .at = Silence::At::BeforeHead, .time = 900ms } });
        engine().behave({ .eventGap = 200ms });
    }
    auto ask(Process& at, const std::string& path) -> int
    {
        auto caller = ByteCaller(at.listeningPort());
        caller.send(RawCall { .path = path, .attempt = "first" }.text());
        until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
        return caller.answers().empty() ? 0 : caller.answers().front().status;
    }
    /// Requests of each kind at an entry from the first SIGTERM on, new ones and half-sent ones.
    auto plan(std::size_t gateway, Duration until, Duration interval) -> void
    {
        constexpr auto heldBack = std::size_t(3);
        for (auto time = Duration(0); time < until; time += interval) {
            for (const auto* path : paths) {
                const auto call = RawCall { .path = path };
                const auto connection = traffic.open(gateway);
                traffic.send(connection, call, heldBack);
                traffic.at(time, [this, connection] { traffic.complete(connection); });
                traffic.at(time, [this, call, gateway] { traffic.ask(call, gateway); });
            }
        }
        wait(100ms);
    }
    auto judge() -> void
    {
        traffic.finish();
        for (const auto& violation : traffic.violations())
            BOOST_ERROR(violation);
        for (const auto& [end, count] : traffic.ends())
            BOOST_TEST_MESSAGE(count << " x " << end);
        for (const auto* one : processes)
            BOOST_TEST(one->exitCode() == 0);
        BOOST_TEST(traffic.ends()["200"] > 10);
    }

    std::vector<Process*> processes;
    StopTraffic traffic;
};

} // namespace

// Guards against requests that two entries drop because each takes the other for one that serves.
BOOST_AUTO_TEST_CASE(entries_stopped_one_after_the_other_answer_what_they_read)
{
    auto world = World(3);
    for (auto gateway = std::size_t(0); gateway < 3; ++gateway) {
        world.plan(gateway, Duration(grace) + 6s, 700ms);
        if (gateway > 0)
            world.traffic.at(gateway * 3s, [&world, gateway] { world.traffic.stop(gateway); });
    }
    world.traffic.stop();
    world.judge();
}

// Guards against requests that are lost because no entry is left that does not stop.
BOOST_AUTO_TEST_CASE(entries_stopped_at_once_answer_what_they_read)
{
    auto world = World(3);
    for (auto gateway = std::size_t(0); gateway < 3; ++gateway)
        world.plan(gateway, Duration(grace), 500ms);
    for (auto gateway = std::size_t(0); gateway < 3; ++gateway)
        world.traffic.stop(gateway);
    world.judge();
}

// Guards against a second SIGTERM that begins the stop again or cuts it short.
BOOST_AUTO_TEST_CASE(a_second_sigterm_changes_nothing)
{
    auto world = World();
    world.plan(0, Duration(grace), 400ms);
    for (const auto time : { Duration(100ms), Duration(1s), Duration(4s) })
        world.traffic.at(time, [&world] { world.process().signal(SIGTERM); });
    world.traffic.stop();
    world.judge();
}

// Guards against a reload in a stop that opens the listener again or drops connections.
BOOST_AUTO_TEST_CASE(a_reload_in_a_stop_drops_no_request)
{
    auto world = World();
    world.plan(0, Duration(grace), 400ms);
    for (const auto time : { Duration(50ms), Duration(1s), Duration(5s) })
        world.traffic.at(time, [&world] { world.process().signal(SIGHUP); });
    world.traffic.stop();
    world.judge();
}

// Guards against requests under way that a change of their route ends in a stop.
BOOST_AUTO_TEST_CASE(a_change_of_the_configuration_in_a_stop_drops_no_request)
{
    auto world = World();
    world.plan(0, Duration(grace), 400ms);
    auto version = std::uint64_t(1);
    for (const auto time : { Duration(200ms), Duration(1500ms), Duration(4s) }) {
        world.traffic.at(time, [&world, &version] {
            auto json = Json::parse(servingConfiguration(++version));
            patientRoutes(json);
            json["services"][0]["maxConns"] = 20 + version;
            world.store().put("op", "config", json.dump());
        });
    }
    world.traffic.stop();
    world.judge();
}

// Guards against a replica's pause that a stop takes for a failure.
BOOST_AUTO_TEST_CASE(a_pause_of_the_replicas_in_a_stop_drops_no_request)
{
    auto world = World();
    world.plan(0, Duration(grace), 400ms);
    for (const auto time : { Duration(500ms), Duration(4s) }) {
        world.traffic.at(time, [&world] {
            world.plain().pauseFor(1200ms);
            world.engine().pauseFor(1200ms);
        });
    }
    world.traffic.stop();
    world.judge();
}
