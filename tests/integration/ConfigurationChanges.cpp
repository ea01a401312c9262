// Changes of the configuration while a request is open.
#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;
using eelgrass::standins::streamEvents;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Json = nlohmann::json;
using Change = std::function<void(Json&)>;

constexpr auto key = "key-of-armor";
constexpr auto eventGap = Duration(100ms);

auto withKey(Json& json, const std::string& value) -> void
{
    json["tenants"] = Json::array({ { { "name", "armor" }, { "apiKeys", { value } } } });
}

auto forEachRoute(const std::function<void(Json&)>& change) -> Change
{
    return [change](Json& json) {
        for (auto& route : json["routes"])
            change(route);
    };
}

/// Streams on both routes, whose configuration is changed behind their first event.
struct OpenStreams {
    explicit OpenStreams(bool keys)
        : withKeys(keys)
    {
        configure(2, [](Json&) {});
        world.startGateway();
        until(2);
        for (const auto index : { std::size_t(0), std::size_t(1) })
            world.engine(index).behave({ .eventGap = eventGap });
    }
    auto configure(std::uint64_t version, const Change& change) -> void
    {
        auto json = Json::parse(tests::servingConfiguration(version));
        if (withKeys)
            withKey(json, key);
        change(json);
        world.store().put("op", "config", json.dump());
    }
    auto until(std::uint64_t version) -> void
    {
        BOOST_REQUIRE(world.until([&] {
            const auto& configuration = world.gateway().configuration().configuration();
            return configuration && configuration->version.value() == version;
        }));
    }
    auto begin(const std::string& path) -> kj::Promise<wire::HttpAnswer>
    {
        auto request = ServingWorld::Request { .path = path, .attempt = "attempt-of" + path };
        if (withKeys)
            request.more.add(names::apiKey, key);
        return world.begin(request);
    }
    /// What both streams bring when the configuration is changed in their midst.
    auto play(const Change& change) -> void
    {
        auto resumable = begin("/resumable/x");
        auto whole = begin("/whole/x");
        BOOST_REQUIRE(world.until([&] { return world.engine(0).runs().size() + world.engine(1).runs().size() == 2; }));
        configure(3, change);
        until(3);
        for (auto* answer : { &resumable, &whole }) {
            const auto got = world.loop().wait(kj::mv(*answer));
            BOOST_TEST(got.status == 200);
            BOOST_TEST(got.body == streamEvents(1, 5));
        }
        BOOST_TEST(world.engine(0).runs().size() + world.engine(1).runs().size() == 2U);
    }

    bool withKeys;
    ServingWorld world { 2, 1 };
};

} // namespace

// The cases guard against an answer that breaks off because of a change of the configuration.
BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_routes_go)
{
    OpenStreams(false).play([](Json& json) { json["routes"] = Json::array({ json["routes"].back() }); });
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_routes_move_to_another_service)
{
    OpenStreams(false).play(forEachRoute([](Json& route) { route["service"] = "plain"; }));
}

// The events take longer than the new limit.
BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_routes_timeout_is_shortened)
{
    OpenStreams(false).play(forEachRoute([](Json& route) { route["timeoutMs"] = 100; }));
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_routes_allow_fewer_attempts)
{
    OpenStreams(false).play(forEachRoute([](Json& route) {
        route["maxAttempts"] = 1;
        route["resumable"] = false;
    }));
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_service_has_another_health_path_and_fewer_connections)
{
    OpenStreams(false).play([](Json& json) {
        for (auto& service : json["services"]) {
            service["healthPath"] = "/elsewhere";
            service["maxConns"] = 1;
        }
    });
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_service_goes)
{
    OpenStreams(false).play([](Json& json) {
        json["routes"] = Json::array({ json["routes"].back() });
        json["services"] = Json::array({ json["services"].back() });
    });
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_limits_on_clients_are_lowered)
{
    OpenStreams(false).play([](Json& json) {
        json["limits"]
            = { { "maxHeaderBytes", 64 }, { "maxBodyBytes", 1 }, { "headerTimeoutMs", 1 }, { "idleTimeoutMs", 1 } };
    });
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_their_key_goes)
{
    OpenStreams(true).play([](Json& json) { withKey(json, "another"); });
}

BOOST_AUTO_TEST_CASE(open_streams_are_whole_when_keys_are_asked_for)
{
    OpenStreams(false).play([](Json& json) { withKey(json, key); });
}
