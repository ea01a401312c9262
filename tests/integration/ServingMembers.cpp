// Who asks, by its key, and what each may have.
#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Json = nlohmann::json;

constexpr auto armorsKey = "key-of-armor";
constexpr auto othersKey = "key-of-another";

auto member(const std::string& name, const std::string& key) -> Json
{
    return { { "name", name }, { "apiKeys", { key } }, { "priority", 2 } };
}

/// A world in which callers need a key; `/safe/` is open to all.
struct Members {
    explicit Members(std::size_t engines = 0)
        : world(engines, 1)
    {
        configure(2, { member("armor", armorsKey), member("another", othersKey) });
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

BOOST_AUTO_TEST_CASE(a_key_tells_the_member_and_goes_no_further)
{
    auto members = Members(1);
    members.world.startGateway();
    BOOST_TEST(members.ask(armorsKey).status == 200);
    BOOST_TEST(members.ask(othersKey, "a2", "/resumable/x").status == 200);
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

// A caller is taken for another member.
// 1. It names that member itself, beside its own key. 2. What it says of itself is dropped.
BOOST_AUTO_TEST_CASE(nobody_names_its_member_itself)
{
    auto members = Members();
    members.world.startGateway();
    auto request = ServingWorld::Request { .path = "/once/x" };
    request.more.add(names::apiKey, armorsKey);
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

BOOST_AUTO_TEST_CASE(without_a_known_key_nothing_runs_but_what_is_open)
{
    auto members = Members();
    members.world.startGateway();
    BOOST_TEST(members.ask("").status == 401);
    BOOST_TEST(members.ask("key-of-nobody").status == 401);
    BOOST_TEST(members.ask(std::string(3000, 'k')).status == 401);
    auto twice = ServingWorld::Request { .path = "/once/x" };
    twice.more.add(names::apiKey, armorsKey);
    twice.more.add(names::apiKey, othersKey);
    BOOST_TEST(members.world.ask(twice).status == 401);
    BOOST_TEST(members.world.plain(0).runs().empty());
    BOOST_TEST(members.ask("", "a5", "/safe/x").status == 200);
    BOOST_TEST(members.ask("key-of-nobody", "a6", "/safe/x").status == 200);
}

// An entry that knows nothing yet says so: a caller that hears that its key is wrong does not come back.
BOOST_AUTO_TEST_CASE(an_entry_without_a_configuration_refuses_nobodys_key)
{
    auto members = Members();
    members.world.store().refuseWith(503);
    members.world.startGateway(false);
    BOOST_TEST(members.ask(armorsKey).status == 503);
}

// A member that has left goes on being served.
// 1. A request with a key waits for an adapter that comes late. 2. The key is taken away. 3. The request is granted.
// 4. It is not sent: what was true when it came does not count.
BOOST_AUTO_TEST_CASE(a_key_is_looked_at_again_before_the_request_is_sent)
{
    auto members = Members(1);
    members.world.startGateway();
    auto& engine = members.world.engine(0);
    engine.behave({ .status = 503, .notRun = true });
    auto request = ServingWorld::Request { .path = "/resumable/x", .attempt = "waits" };
    request.more.add(names::apiKey, armorsKey);
    auto waiting = members.world.begin(request);
    BOOST_REQUIRE(members.world.until([&] { return !engine.orders().empty(); }));
    members.configure(3, Json::array({ member("another", othersKey) }));
    BOOST_REQUIRE(members.inForce(3));
    const auto status = members.world.loop().wait(kj::mv(waiting)).status;
    BOOST_TEST((status == 401 || status == 503));
    BOOST_TEST(engine.runs().empty());
    BOOST_TEST(members.ask(armorsKey, "a2").status == 401);
    BOOST_TEST(members.ask(othersKey, "a3").status == 200);
}

// A key is used that was taken away while nobody could tell.
// 1. The store does not answer any more. 2. After the bound no request with a key is sent, and the entry is not ready.
// 3. The store answers again, and requests are served.
BOOST_AUTO_TEST_CASE(an_entry_that_hears_nothing_uses_no_key)
{
    auto members = Members();
    members.world.settings().keyBound = std::chrono::milliseconds(1500);
    auto& gateway = members.world.startGateway();
    BOOST_REQUIRE(members.ask(armorsKey).status == 200);
    members.world.store().refuseWith(503);
    BOOST_REQUIRE(members.world.until([&] { return !gateway.configuration().keysHold(); }));
    BOOST_TEST(!gateway.ready());
    const auto answer = members.ask(armorsKey, "a2");
    BOOST_TEST(answer.status == 503);
    BOOST_TEST(!answer.fields.get(names::retryAfter).empty());
    // Nothing is said against a key that is not known either.
    BOOST_TEST(members.ask("key-of-nobody", "a3").status == 503);
    BOOST_TEST(members.ask("", "a4", "/safe/x").status == 200);
    BOOST_TEST(members.world.plain(0).runs().size() == 2U);
    members.world.store().refuseWith(0);
    BOOST_REQUIRE(members.world.until([&] { return gateway.ready(); }));
    BOOST_TEST(members.ask(armorsKey, "a5").status == 200);
}

// Callers of an entry that the store turns away are served all the same.
// 1. The store is closed to one entry. 2. It asks the other one, and goes by what that one knows. 3. The other one is
// killed: from then on what was known gets old.
BOOST_AUTO_TEST_CASE(an_entry_that_is_turned_away_goes_by_what_a_peer_knows)
{
    auto members = Members();
    members.world.settings().keyBound = std::chrono::milliseconds(1500);
    members.world.startGateway();
    members.world.settings().host.store = { "127.0.0.1", 1 };
    auto& cut = members.world.startGateway();
    BOOST_REQUIRE(cut.ready());
    const auto begun = members.world.loop().timers().now();
    BOOST_TEST(members.world.until([&] {
        BOOST_REQUIRE(cut.configuration().keysHold());
        return members.world.loop().timers().now() - begun > 2s;
    }));
    members.configure(3, Json::array({ member("another", othersKey) }));
    BOOST_TEST(members.inForce(3, 1));
    members.world.stopGateway(0);
    BOOST_TEST(members.world.until([&] { return !cut.configuration().keysHold(); }));
}

namespace {

auto limited(const std::string& name, const std::string& key, double rate, double burst) -> Json
{
    auto json = member(name, key);
    json.update({ { "unit", "tokens" }, { "plainTokens", 100 }, { "ratePerS", rate }, { "burst", burst } });
    return json;
}

} // namespace

// Everybody waits for replicas that one member takes up.
// 1. A member sends more than its limit, to two entries in turn. 2. Both together grant it its limit. 3. The rest is
// refused at once, has not run, and is told when to come back; others are served.
BOOST_AUTO_TEST_CASE(a_limit_holds_over_all_entries)
{
    auto members = Members(2);
    members.configure(2, { limited("armor", armorsKey, 100, 1000), member("another", othersKey) });
    // The count begins empty; what a limit may be passed by is granted at once.
    members.world.settings().quotas.slack = 2000;
    members.world.startGateway();
    members.world.startGateway();
    auto granted = std::size_t(0);
    auto refused = std::size_t(0);
    for (auto count = std::size_t(0); count < 60; ++count) {
        auto request
            = ServingWorld::Request { .path = "/once/x", .attempt = "b" + std::to_string(count), .gateway = count % 2 };
        request.more.add(names::apiKey, armorsKey);
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
    BOOST_TEST(members.ask(othersKey, "c").status == 200);
    auto again = false;
    BOOST_TEST(members.world.until([&] { return again = again || members.ask(armorsKey, "d").status == 200; }));
}
