#include "platform/Names.h"
#include "serving/Serving.h"
#include "standins/ReplicaStandin.h"
#include "standins/StoreStandin.h"
#include "tests/harness/Process.h"
#include "tests/harness/ServingWorld.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <functional>
#include <unistd.h>

using namespace eelgrass;

namespace {

/// A gateway as a process of its own, before a store and a replica that this test plays.
struct World {
    World()
    {
        store.put("op", "config", tests::servingConfiguration(1));
        store.put("servers", replica.instance(), replica.entry());
        agent.start();
        std::ofstream(settings) << "name: gateway\navailability_zone: zone-1\naddress: 127.0.0.1\nstore: \""
                                << store.endpoint().str()
                                << "\"\nclients: \"127.0.0.1:0\"\nreadiness: \"127.0.0.1:0\"\npeers: "
                                   "\"127.0.0.1:0\"\nseeds: []\nmetrics_port: 0\ngrace_ms: 3500\nagent_port: "
                                << agent.port() << "\n";
        gateway = std::make_unique<tests::Process>(
            "gateway", "eelgrassrouterd", std::vector<std::string> { "--role=gateway", "--settings=" + settings });
        caller = std::make_unique<wire::HttpCaller>(loop.timers(), "127.0.0.1", gateway->listeningPort());
    }
    ~World() { std::remove(settings.c_str()); }
    World(const World&) = delete;
    auto operator=(const World&) -> World& = delete;

    /// A stream of the base model, or of an adapter.
    auto ask(const std::string& model, const std::string& key = {}) -> kj::Promise<int>
    {
        auto call = wire::HttpCall { .method = "POST", .target = "/whole/x", .body = "prompt", .timeout = 20s };
        call.fields.add("Host", "users.example");
        call.fields.add(hosting::names::attemptId, "attempt-1");
        call.fields.add(hosting::names::deadline, "20000");
        call.fields.add(hosting::names::model, model);
        call.fields.add(hosting::names::tokenCount, "100,20");
        if (!key.empty())
            call.fields.add(hosting::names::apiKey, key);
        return caller->call(std::move(call))
            .then([](wire::HttpAnswer&& answer) { return answer.status; }, [](kj::Exception&&) { return 0; });
    }

    auto until(const std::function<bool()>& done) -> void
    {
        while (!done())
            loop.wait(loop.sleep(5ms));
    }

    wire::MainLoop loop;
    standins::StoreStandin store { loop.timers() };
    standins::ReplicaStandin replica { loop.timers(), "127.0.0.1", "engine-0", "engine" };
    serving::AgentRole agent { loop,
        { .host = { .name = "agent",
              .zone = AvailabilityZone("zone-1"),
              .store = store.endpoint(),
              .address = "127.0.0.1" },
            .replica = replica.endpoint(),
            .service = serving::ServiceName("engine") } };
    std::string settings = "/tmp/eelgrass-serving-process-" + std::to_string(getpid()) + ".yaml";
    std::unique_ptr<tests::Process> gateway;
    std::unique_ptr<wire::HttpCaller> caller;
};

} // namespace

// A planned stop of a gateway, while a stream's replica has fallen silent. The stream cannot end in the time for the
// stop and is broken off; the stop itself went well and says so by its exit code.
BOOST_AUTO_TEST_CASE(a_stop_that_breaks_off_a_silent_stream_ends_well)
{
    auto world = World();
    world.replica.behave({ .sent = 2, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
    auto status = world.ask("base");
    world.until([&] { return !world.replica.runs().empty(); });
    world.gateway->signal(SIGTERM);
    BOOST_TEST(world.loop.wait(kj::mv(status)) == 0);
    world.until([&] { return !world.gateway->running(); });
    BOOST_TEST(world.gateway->exitCode() == 0);
}

// The same while a request waits for its adapter, whose load the replica never answers. What was open at the end of the
// stop were events in the loop's queue, and the process ended with an error.
BOOST_AUTO_TEST_CASE(a_stop_while_a_request_waits_for_admission_ends_well)
{
    auto world = World();
    world.replica.behave({ .loseOrders = true });
    auto status = world.ask("base/a1");
    world.until([&] { return !world.replica.orders().empty(); });
    world.gateway->signal(SIGTERM);
    (void)world.loop.wait(kj::mv(status));
    world.until([&] { return !world.gateway->running(); });
    BOOST_TEST(world.gateway->exitCode() == 0);
}

// Whoever reads the logs could call in a member's name.
// 1. A member calls, a stranger calls, and the member's key is taken away. 2. All that the process wrote names the
// member, and neither key.
BOOST_AUTO_TEST_CASE(no_key_is_in_the_output)
{
    constexpr auto key = "key-of-armor-7f3a91c2";
    constexpr auto strangersKey = "key-of-nobody-5c1e07a2";
    auto world = World();
    auto json = nlohmann::json::parse(tests::servingConfiguration(2));
    json["tenants"] = nlohmann::json::array({ { { "name", "armor" }, { "apiKeys", { key } } } });
    world.store.put("op", "config", json.dump());
    // In force once a stranger is refused.
    auto status = 0;
    while (status != 401)
        status = world.loop.wait(world.ask("base", strangersKey));
    while (status != 200)
        status = world.loop.wait(world.ask("base", key));
    json["version"] = 3;
    json["tenants"][0]["apiKeys"] = nlohmann::json::array();
    world.store.put("op", "config", json.dump());
    while (status != 401)
        status = world.loop.wait(world.ask("base", key));
    world.gateway->signal(SIGTERM);
    world.until([&] { return !world.gateway->running(); });
    const auto output = world.gateway->output();
    BOOST_TEST(output.find("armor") != std::string::npos);
    BOOST_TEST(output.find(key) == std::string::npos);
    BOOST_TEST(output.find(strangersKey) == std::string::npos);
}
