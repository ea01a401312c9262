#include "platform/Names.h"
#include "tests/harness/GatewayProcess.h"
#include "tests/harness/ServingWorld.h"
#include "wire/HttpCaller.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;

namespace {

/// A client of one call at a time, beside the gateway's process.
struct World : tests::GatewayProcess {
    World()
        : caller(std::make_unique<wire::HttpCaller>(loop().timers(), "127.0.0.1", port()))
    {
    }

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

    std::unique_ptr<wire::HttpCaller> caller;
};

} // namespace

// The gateway is told to stop while the replica of a stream is silent. The stream cannot end within the grace period
// and is aborted; the process still exits with 0.
BOOST_AUTO_TEST_CASE(stop_aborts_a_silent_stream_and_exits_with_0)
{
    auto world = World();
    world.engine().behave({ .sent = 2, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
    auto status = world.ask("base");
    world.until([&] { return !world.engine().runs().empty(); });
    world.process().signal(SIGTERM);
    BOOST_TEST(world.loop().wait(kj::mv(status)) == 0);
    world.until([&] { return !world.process().running(); });
    BOOST_TEST(world.process().exitCode() == 0);
}

// The gateway is told to stop while a request waits for an adapter that the replica never finishes loading. Events left
// in the event loop's queue at the end of the stop once made the process exit with an error.
BOOST_AUTO_TEST_CASE(stop_during_a_pending_admission_exits_with_0)
{
    auto world = World();
    world.engine().behave({ .loseOrders = true });
    auto status = world.ask("base/a1");
    world.until([&] { return !world.engine().orders().empty(); });
    world.process().signal(SIGTERM);
    (void)world.loop().wait(kj::mv(status));
    world.until([&] { return !world.process().running(); });
    BOOST_TEST(world.process().exitCode() == 0);
}

// Guards against leaking keys into the logs. A member calls, a client with an unknown key calls, and the member's key
// is removed. The output names the member and contains neither key.
BOOST_AUTO_TEST_CASE(keys_are_never_logged)
{
    constexpr auto key = "key-of-armor-7f3a91c2";
    constexpr auto unknownKey = "key-of-nobody-5c1e07a2";
    auto world = World();
    auto json = nlohmann::json::parse(tests::servingConfiguration(2));
    json["tenants"] = nlohmann::json::array({ { { "name", "armor" }, { "apiKeys", { key } } } });
    world.store().put("op", "config", json.dump());
    // The configuration is in force once an unknown key is rejected.
    auto status = 0;
    while (status != 401)
        status = world.loop().wait(world.ask("base", unknownKey));
    while (status != 200)
        status = world.loop().wait(world.ask("base", key));
    json["version"] = 3;
    json["tenants"][0]["apiKeys"] = nlohmann::json::array();
    world.store().put("op", "config", json.dump());
    while (status != 401)
        status = world.loop().wait(world.ask("base", key));
    world.process().signal(SIGTERM);
    world.until([&] { return !world.process().running(); });
    const auto output = world.process().output();
    BOOST_TEST(output.find("armor") != std::string::npos);
    BOOST_TEST(output.find(key) == std::string::npos);
    BOOST_TEST(output.find(unknownKey) == std::string::npos);
}
