// Rate limits that replicas name in their answers, which hold for all entries together.
#include "platform/Names.h"
#include "tests/harness/RateLimitRule.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::RateLimitRule;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

// All entries know a limit well before this; on one loop it takes some milliseconds.
constexpr auto contact = Duration(500ms);

struct Limited {
    Limited(std::size_t engines, std::size_t plain, std::size_t entries)
        : world(engines, plain)
    {
        for (auto count = std::size_t(0); count < entries; ++count)
            world.startGateway();
    }
    /// Each entry passes on one answer.
    auto askEachEntry(const std::string& path) -> void
    {
        for (auto entry = std::size_t(0); entry < world.gateways(); ++entry)
            (void)world.ask({ .path = path, .attempt = "first-" + std::to_string(entry), .gateway = entry });
    }
    /// Names the limit, lets each entry pass on an answer with it, and waits until it has to hold.
    auto announce(ReplicaStandin& replica, const std::string& limit, const std::string& path) -> void
    {
        replica.announceLimit(limit);
        askEachEntry(path);
        wait(contact);
    }
    auto wait(Duration time) -> void { world.loop().wait(world.loop().sleep(time)); }
    /// All engines name the limit and hold the adapter, and the list says so: without its agent a replica is sent only
    /// requests for adapters that the list names.
    auto limitAllEngines(const std::string& limit) -> void
    {
        const auto engine = serving::ServiceName("engine");
        const auto knowsAll = [&] {
            const auto& replicas = world.gateway().directory().replicasOf(engine);
            return std::all_of(replicas.begin(), replicas.end(),
                [](const serving::ReplicaPtr& replica) { return replica->rateLimit().perSecond().has_value(); });
        };
        const auto engines = world.gateway().directory().replicasOf(engine).size();
        for (auto index = std::size_t(0); index < engines; ++index)
            world.engine(index).announceLimit(limit);
        constexpr auto mostBursts = 30;
        for (auto count = 0; count < mostBursts && !knowsAll(); ++count)
            (void)burst("/resumable/x", 12);
        BOOST_REQUIRE(knowsAll());
        world.publishReplicas();
    }
    /// Sends requests at the same moment, to the entries in turn or to one of them; returns the answers.
    auto burst(const std::string& path, std::size_t requests, std::optional<std::size_t> entry = {},
        std::uint64_t deadlineMs = 800) -> std::vector<wire::HttpAnswer>
    {
        auto calls = kj::heapArrayBuilder<kj::Promise<wire::HttpAnswer>>(requests);
        for (auto index = std::size_t(0); index < requests; ++index) {
            calls.add(world.begin({ .path = path,
                .attempt = "burst-" + std::to_string(++sent),
                .deadlineMs = deadlineMs,
                .gateway = entry.value_or(index % world.gateways()) }));
        }
        auto answers = std::vector<wire::HttpAnswer>();
        for (auto& answer : world.loop().wait(kj::joinPromises(calls.finish())))
            answers.push_back(std::move(answer));
        return answers;
    }

    ServingWorld world;
    std::size_t sent = 0;
};

auto withStatus(const std::vector<wire::HttpAnswer>& answers, int status) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [&](const auto& answer) { return answer.status == status; }));
}

auto keepsToLimit(const ReplicaStandin& replica) -> bool
{
    const auto found = RateLimitRule { .contact = contact }.violation(replica);
    if (found)
        BOOST_TEST_MESSAGE(found->arrivals << " requests in 4 s, allowed " << found->allowed);
    return !found;
}

} // namespace

// Guards against an overloaded replica that is given more than it can take because nobody counts what all entries send.
BOOST_AUTO_TEST_CASE(engine_gets_no_more_than_its_limit_from_all_entries_together)
{
    for (const auto* limit : { "1", "0.5" }) {
        auto limited = Limited(1, 0, 3);
        limited.announce(limited.world.engine(0), limit, "/resumable/x");
        const auto answers = limited.burst("/resumable/x", 60);
        BOOST_TEST(keepsToLimit(limited.world.engine(0)));
        BOOST_TEST(withStatus(answers, 200) + withStatus(answers, 503) == 60U);
    }
}

// The same where the replica has no agent beside it.
BOOST_AUTO_TEST_CASE(plain_replica_gets_no_more_than_its_limit_from_all_entries_together)
{
    auto limited = Limited(2, 1, 3);
    limited.announce(limited.world.plain(0), "1", "/safe/x");
    const auto answers = limited.burst("/safe/x", 60);
    BOOST_TEST(keepsToLimit(limited.world.plain(0)));
    BOOST_TEST(withStatus(answers, 200) + withStatus(answers, 503) == 60U);
}

// Guards against permits divided among the entries, of which an entry with all the traffic could use only its share.
BOOST_AUTO_TEST_CASE(an_entry_with_all_the_traffic_gets_all_permits)
{
    auto limited = Limited(1, 0, 3);
    limited.announce(limited.world.engine(0), "4", "/resumable/x");
    limited.wait(1s);
    const auto before = limited.world.engine(0).arrivals().size();
    (void)limited.burst("/resumable/x", 60, 1, 2500);
    BOOST_TEST(keepsToLimit(limited.world.engine(0)));
    BOOST_TEST(limited.world.engine(0).arrivals().size() >= before + 8);
}

// Guards against refusing at a limited replica what another one could have taken.
BOOST_AUTO_TEST_CASE(other_replicas_take_what_they_can)
{
    auto limited = Limited(2, 2, 3);
    limited.announce(limited.world.plain(0), "0.5", "/safe/x");
    BOOST_TEST(withStatus(limited.burst("/safe/x", 30), 200) == 30U);
    BOOST_TEST(keepsToLimit(limited.world.plain(0)));
    limited.announce(limited.world.engine(0), "0.5", "/resumable/x");
    BOOST_TEST(withStatus(limited.burst("/resumable/x", 30, {}, 2500), 200) == 30U);
    BOOST_TEST(keepsToLimit(limited.world.engine(0)));
}

// Guards against callers that wait for a permit which comes too late, or that all return at the same moment.
BOOST_AUTO_TEST_CASE(what_cannot_be_served_in_time_is_refused_at_once_with_different_retry_delays)
{
    for (const auto* path : { "/resumable/x", "/safe/x" }) {
        auto limited = Limited(1, 1, 2);
        auto& replica = path == std::string("/safe/x") ? limited.world.plain(0) : limited.world.engine(0);
        limited.announce(replica, "0.5", path);
        auto delays = std::set<std::string>();
        auto refused = std::size_t(0);
        for (const auto& answer : limited.burst(path, 20)) {
            if (answer.status != 503)
                continue;
            ++refused;
            delays.emplace(answer.fields.get(names::retryAfter));
        }
        BOOST_TEST(refused >= 15U);
        BOOST_TEST(delays.size() >= 4U);
        BOOST_TEST(!delays.contains(""));
    }
}

// Guards against an entry that learns of a limit only by sending to the replica: agents tell all entries.
BOOST_AUTO_TEST_CASE(entries_learn_of_a_limit_that_another_one_has_heard)
{
    auto limited = Limited(2, 2, 3);
    limited.world.plain(0).announceLimit("1");
    limited.world.plain(1).announceLimit("1");
    limited.world.engine(0).announceLimit("1");
    limited.world.engine(1).announceLimit("1");
    const auto known = [&](const char* service) {
        for (auto entry = std::size_t(0); entry < 3; ++entry) {
            for (const auto& replica :
                limited.world.gateway(entry).directory().replicasOf(serving::ServiceName(service))) {
                if (!replica->rateLimit().perSecond())
                    return false;
            }
        }
        return true;
    };
    BOOST_TEST(limited.world.until([&] {
        (void)limited.world.ask({ .path = "/safe/x", .attempt = "p" + std::to_string(++limited.sent), .gateway = 0 });
        (void)limited.world.ask(
            { .path = "/resumable/x", .attempt = "e" + std::to_string(++limited.sent), .gateway = 0 });
        return known("plain") && known("engine");
    }));
}

// Guards against a limit that outlives the replica's need.
BOOST_AUTO_TEST_CASE(a_limit_ends_with_an_answer_that_names_none)
{
    for (const auto* path : { "/resumable/x", "/safe/x" }) {
        auto limited = Limited(1, 1, 3);
        auto& replica = path == std::string("/safe/x") ? limited.world.plain(0) : limited.world.engine(0);
        limited.announce(replica, "4", path);
        replica.announceLimit({});
        BOOST_TEST(limited.world.until([&] {
            const auto answers = limited.burst(path, 6);
            return withStatus(answers, 200) == 6U;
        }));
        BOOST_TEST(withStatus(limited.burst(path, 30, {}, 2500), 200) == 30U);
    }
}

// Guards against a limit that ends with the process which counts: the entries tell the next process of it.
BOOST_AUTO_TEST_CASE(a_restarted_agent_keeps_the_limit)
{
    auto limited = Limited(1, 0, 3);
    limited.announce(limited.world.engine(0), "1", "/resumable/x");
    limited.world.stopAgent(0);
    limited.world.startAgent(0);
    const auto attached = [&] {
        for (auto entry = std::size_t(0); entry < 3; ++entry) {
            const auto* agent = limited.world.gateway(entry).directory().all().begin()->second->agent();
            if (!agent->alive() || !agent->state().usable)
                return false;
        }
        return true;
    };
    BOOST_REQUIRE(limited.world.until(attached));
    (void)limited.burst("/resumable/x", 60);
    BOOST_TEST(keepsToLimit(limited.world.engine(0)));
}

// Guards against a limit that nobody keeps while the replica's agent is gone, and against permits that nobody gives
// out: the agent of another replica is the stand-in.
BOOST_AUTO_TEST_CASE(another_agent_stands_in_for_one_that_is_gone)
{
    auto limited = Limited(2, 0, 3);
    limited.limitAllEngines("3");
    limited.world.stopAgent(0);
    limited.wait(1s);
    const auto before = limited.world.engine(0).arrivals().size();
    for (auto count = 0; count < 4; ++count) {
        (void)limited.burst("/resumable/x", 30);
        limited.wait(200ms);
    }
    BOOST_TEST(keepsToLimit(limited.world.engine(0)));
    BOOST_TEST(keepsToLimit(limited.world.engine(1)));
    BOOST_TEST(limited.world.engine(0).arrivals().size() > before);
}

// Guards against the stand-in's few permits for ever, where a replica of an engine service has no agent that comes
// back.
BOOST_AUTO_TEST_CASE(a_replica_without_its_agent_gets_its_whole_limit_in_the_end)
{
    auto limited = Limited(2, 0, 2);
    auto& engine = limited.world.engine(0);
    limited.limitAllEngines("3");
    limited.world.stopAgent(0);
    limited.wait(7s);
    const auto before = engine.arrivals().size();
    const auto began = limited.world.loop().timers().now();
    while (limited.world.loop().timers().now() - began < 4s)
        (void)limited.burst("/resumable/x", 4, {}, 600);
    BOOST_TEST(keepsToLimit(engine));
    BOOST_TEST(engine.arrivals().size() >= before + 8);
}

// The same where no agent is left at all: each entry keeps to its own slots.
BOOST_AUTO_TEST_CASE(entries_without_any_agent_keep_to_a_limit)
{
    auto limited = Limited(0, 1, 3);
    limited.announce(limited.world.plain(0), "1", "/safe/x");
    (void)limited.burst("/safe/x", 60);
    BOOST_TEST(keepsToLimit(limited.world.plain(0)));
}

// Guards against a new start of a replica, under the same name, that inherits the limit of the one before.
BOOST_AUTO_TEST_CASE(a_new_start_under_the_same_name_has_no_limit)
{
    auto limited = Limited(1, 0, 2);
    auto& engine = limited.world.engine(0);
    limited.announce(engine, "0.5", "/resumable/x");
    engine.restart("engine-0");
    limited.world.publishReplicas();
    BOOST_TEST(limited.world.until([&] {
        const auto answers = limited.burst("/resumable/x", 6);
        return withStatus(answers, 200) == 6U;
    }));
}

BOOST_AUTO_TEST_CASE(a_limit_that_is_not_a_number_changes_nothing)
{
    auto limited = Limited(1, 0, 2);
    auto& engine = limited.world.engine(0);
    for (const auto* text : { "many", "-1", "1e3x", "nan", "inf" }) {
        engine.announceLimit(text);
        BOOST_TEST(withStatus(limited.burst("/resumable/x", 10, {}, 2500), 200) == 10U);
    }
    limited.announce(engine, "1", "/resumable/x");
    engine.announceLimit("many");
    limited.askEachEntry("/resumable/x");
    const auto before = engine.arrivals().size();
    (void)limited.burst("/resumable/x", 30);
    BOOST_TEST(engine.arrivals().size() <= before + 4);
}

// Guards against permits that are lost with requests which are not sent after all: the agent that counts for a replica
// without one gets them back.
BOOST_AUTO_TEST_CASE(permit_of_a_request_that_is_not_sent_goes_to_another)
{
    auto world = ServingWorld(1, 1);
    (void)world.startGateway();
    auto link = serving::AgentLink(world.loop(), world.gateway().directory().all().begin()->second->agent()->endpoint(),
        { .entry = "entry", .zone = AvailabilityZone("zone-1") },
        { .onState = [] {},
            .onFigures = [] {},
            .onNames = [] {},
            .onRateLimits = [](const auto&) {},
            .knownRateLimit = [] { return std::optional<serving::ReplicaRateLimit>(); } });
    link.setSessionPolicy(decisions::SessionPolicy::Hub);
    BOOST_REQUIRE(world.until([&] { return link.alive(); }));
    const auto now = world.loop().timers().now();
    const auto limit = serving::ReplicaRateLimit { { serving::InstanceId("plain-0") }, { 0.5, now, now } };
    const auto granted = [&] { return world.loop().wait(link.takePermit(limit, 1, false)).granted; };
    BOOST_TEST(!granted());
    world.wait(2100ms);
    BOOST_TEST(granted());
    BOOST_TEST(!granted());
    link.returnPermit(limit, false);
    BOOST_TEST(granted());
    BOOST_TEST(!granted());
}

// Guards against an entry that waits for its share of the limit, which may be a minute away, although an agent that
// keeps permits for all entries is back.
BOOST_AUTO_TEST_CASE(an_entry_asks_for_permits_again_once_an_agent_is_back)
{
    auto limited = Limited(1, 1, 6);
    limited.announce(limited.world.plain(0), "0.2", "/safe/x");
    limited.world.stopAgent(0);
    for (auto count = 0; count < 3; ++count)
        (void)limited.burst("/safe/x", 4, 0);
    limited.world.startAgent(0);
    const auto served = [&] { return withStatus(limited.burst("/safe/x", 1, 0), 200) == 1U; };
    // Five seconds for the first permit of an agent that has just started.
    constexpr auto mostTries = 30;
    auto found = false;
    for (auto count = 0; count < mostTries && !found; ++count) {
        limited.wait(500ms);
        found = served();
    }
    BOOST_TEST(found);
}
