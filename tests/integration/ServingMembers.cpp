// API keys and member quotas.
#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Json = nlohmann::json;

constexpr auto armorKey = "key-of-armor";
constexpr auto otherKey = "key-of-another";

auto member(const std::string& name, const std::string& key) -> Json
{
    return { { "name", name }, { "apiKeys", { key } }, { "priority", 2 } };
}

/// A test deployment in which callers need a key, except for the path `/safe/`.
struct Members {
    explicit Members(std::size_t engines = 0)
        : world(engines, 1)
    {
        configure(2, { member("armor", armorKey), member("another", otherKey) });
    }
    auto configure(std::uint64_t version, const Json& list) -> void
    {
        auto json = Json::parse(tests::servingConfiguration(version));
        json["tenants"] = list;
        for (auto& route : json["routes"])
            route["public"] = route["name"] == "safe";
        world.store().put("op", "config", json.dump());
    }
    auto ask(const std::string& key, const std::string& attempt = "a1", const std::string& path = "/once/x")
        -> wire::HttpAnswer
    {
        auto request = ServingWorld::Request { .path = path, .attempt = attempt };
        if (!key.empty())
            request.more.add(names::apiKey, key);
        return world.ask(request);
    }
    auto inForce(std::uint64_t version, std::size_t gateway = 0) -> bool
    {
        return world.until([&] {
            const auto& configuration = world.gateway(gateway).configuration().configuration();
            return configuration && configuration->version == ConfigVersion(version);
        });
    }

    ServingWorld world;
};

} // namespace

BOOST_AUTO_TEST_CASE(key_identifies_the_member_and_is_not_forwarded)
{
    auto members = Members(1);
    members.world.startGateway();
    BOOST_TEST(members.ask(armorKey).status == 200);
    BOOST_TEST(members.ask(otherKey, "a2", "/resumable/x").status == 200);
    BOOST_REQUIRE(members.world.plain(0).runs().size() == 1U);
    BOOST_REQUIRE(members.world.engine(0).runs().size() == 1U);
    const auto& plain = members.world.plain(0).runs()[0].fields;
    const auto& engine = members.world.engine(0).runs()[0].fields;
    BOOST_TEST(plain.get(names::member) == "armor");
    BOOST_TEST(engine.get(names::member) == "another");
    BOOST_TEST(plain.count(names::apiKey) == 0U);
    BOOST_TEST(engine.count(names::apiKey) == 0U);
    BOOST_TEST(engine.get(names::priority) == "2");
}

// Guards against a client that impersonates a member: a member header sent by the client is dropped.
BOOST_AUTO_TEST_CASE(client_cannot_choose_its_member)
{
    auto members = Members();
    members.world.startGateway();
    auto request = ServingWorld::Request { .path = "/once/x" };
    request.more.add(names::apiKey, armorKey);
    request.more.add(names::member, "another");
    BOOST_TEST(members.world.ask(request).status == 200);
    request.more.remove(names::apiKey);
    request.path = "/safe/x";
    BOOST_TEST(members.world.ask(request).status == 200);
    const auto& runs = members.world.plain(0).runs();
    BOOST_REQUIRE(runs.size() == 2U);
    BOOST_TEST(runs[0].fields.get(names::member) == "armor");
    BOOST_TEST(runs[0].fields.count(names::member) == 1U);
    BOOST_TEST(runs[1].fields.count(names::member) == 0U);
}

BOOST_AUTO_TEST_CASE(unknown_key_is_rejected_except_on_open_routes)
{
    auto members = Members();
    members.world.startGateway();
    BOOST_TEST(members.ask("").status == 401);
    BOOST_TEST(members.ask("key-of-nobody").status == 401);
    BOOST_TEST(members.ask(std::string(3000, 'k')).status == 401);
    auto twice = ServingWorld::Request { .path = "/once/x" };
    twice.more.add(names::apiKey, armorKey);
    twice.more.add(names::apiKey, otherKey);
    BOOST_TEST(members.world.ask(twice).status == 401);
    BOOST_TEST(members.world.plain(0).runs().empty());
    BOOST_TEST(members.ask("", "a5", "/safe/x").status == 200);
    BOOST_TEST(members.ask("key-of-nobody", "a6", "/safe/x").status == 200);
}

// An entry without a configuration answers 503, not 401: a client whose key is rejected does not retry.
BOOST_AUTO_TEST_CASE(entry_without_a_configuration_rejects_no_key)
{
    auto members = Members();
    members.world.store().refuseWith(503);
    members.world.startGateway(false);
    BOOST_TEST(members.ask(armorKey).status == 503);
}

// Guards against serving a member whose key was removed while its request waited for admission. The request waits for
// an adapter that loads slowly, the key is removed, and the request is admitted. The request must not be sent to the
// replica.
BOOST_AUTO_TEST_CASE(key_is_checked_again_before_sending)
{
    auto members = Members(1);
    members.world.startGateway();
    auto& engine = members.world.engine(0);
    engine.behave({ .status = 503, .notRun = true });
    auto request = ServingWorld::Request { .path = "/resumable/x", .attempt = "waits" };
    request.more.add(names::apiKey, armorKey);
    auto waiting = members.world.begin(request);
    BOOST_REQUIRE(members.world.until([&] { return !engine.orders().empty(); }));
    members.configure(3, Json::array({ member("another", otherKey) }));
    BOOST_REQUIRE(members.inForce(3));
    const auto status = members.world.loop().wait(kj::mv(waiting)).status;
    BOOST_TEST((status == 401 || status == 503));
    BOOST_TEST(engine.runs().empty());
    BOOST_TEST(members.ask(armorKey, "a2").status == 401);
    BOOST_TEST(members.ask(otherKey, "a3").status == 200);
}

// Guards against accepting a key that may have been removed while the store was unreachable. Once `keyBound` has passed
// without a confirmation of the configuration, no request with a key is sent to a replica and the entry is not ready.
// Once the store answers again, requests are served.
BOOST_AUTO_TEST_CASE(entry_cut_off_from_the_store_accepts_no_key)
{
    auto members = Members();
    members.world.settings().keyBound = std::chrono::milliseconds(1500);
    auto& gateway = members.world.startGateway();
    BOOST_REQUIRE(members.ask(armorKey).status == 200);
    members.world.store().refuseWith(503);
    BOOST_REQUIRE(members.world.until([&] { return !gateway.configuration().keysUsable(); }));
    BOOST_TEST(!gateway.ready());
    const auto answer = members.ask(armorKey, "a2");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.fields.get(names::retryAfter).empty());
    // An unknown key is not rejected either: it may be in a newer configuration.
    BOOST_TEST(members.ask("key-of-nobody", "a3").status == 503);
    BOOST_TEST(members.ask("", "a4", "/safe/x").status == 200);
    BOOST_TEST(members.world.plain(0).runs().size() == 2U);
    members.world.store().refuseWith(0);
    BOOST_REQUIRE(members.world.until([&] { return gateway.ready(); }));
    BOOST_TEST(members.ask(armorKey, "a5").status == 200);
}

// An entry that the store refuses serves requests with the configuration of another entry. Once that entry is killed,
// the configuration gets too old to accept keys.
BOOST_AUTO_TEST_CASE(entry_refused_by_the_store_uses_a_peers_configuration)
{
    auto members = Members();
    members.world.settings().keyBound = std::chrono::milliseconds(1500);
    members.world.startGateway();
    members.world.settings().host.store = { "127.0.0.1", 1 };
    auto& cut = members.world.startGateway();
    BOOST_REQUIRE(cut.ready());
    const auto begun = members.world.loop().timers().now();
    BOOST_TEST(members.world.until([&] {
        BOOST_REQUIRE(cut.configuration().keysUsable());
        return members.world.loop().timers().now() - begun > 2s;
    }));
    members.configure(3, Json::array({ member("another", otherKey) }));
    BOOST_TEST(members.inForce(3, 1));
    members.world.stopGateway(0);
    BOOST_TEST(members.world.until([&] { return !cut.configuration().keysUsable(); }));
}

namespace {

auto limited(const std::string& name, const std::string& key, double rate, double burst) -> Json
{
    auto json = member(name, key);
    json.update({ { "unit", "tokens" }, { "plainTokens", 100 }, { "ratePerS", rate }, { "burst", burst } });
    return json;
}

} // namespace

// Guards against one member occupying all replicas. A member sends more than its limit to two entries in turn. Together
// they grant the limit. The other requests are refused at once without running, with a Retry-After, and other members
// are served.
BOOST_AUTO_TEST_CASE(quota_is_shared_by_all_entries)
{
    auto members = Members(2);
    members.configure(2, { limited("armor", armorKey, 100, 1000), member("another", otherKey) });
    // The quota bucket starts empty; only the allowed overage is granted at once.
    members.world.settings().quotas.slack = 2000;
    members.world.startGateway();
    members.world.startGateway();
    auto granted = std::size_t(0);
    auto refused = std::size_t(0);
    for (auto count = std::size_t(0); count < 60; ++count) {
        auto request
            = ServingWorld::Request { .path = "/once/x", .attempt = "b" + std::to_string(count), .gateway = count % 2 };
        request.more.add(names::apiKey, armorKey);
        const auto answer = members.world.ask(request);
        granted += answer.status == 200 ? 1 : 0;
        refused += answer.status == 429 ? 1 : 0;
        if (answer.status == 429)
            BOOST_TEST(!answer.fields.get(names::retryAfter).empty());
    }
    BOOST_TEST(granted >= 6U);
    BOOST_TEST(granted + refused == 60U);
    BOOST_TEST(refused > 0U);
    BOOST_TEST(members.world.plain(0).runs().size() == granted);
    BOOST_TEST(members.ask(otherKey, "c").status == 200);
    auto again = false;
    BOOST_TEST(members.world.until([&] { return again = again || members.ask(armorKey, "d").status == 200; }));
}
