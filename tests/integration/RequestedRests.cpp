// Replicas that turn a host's requests away and ask it for rest.
#include "platform/Names.h"
#include "tests/harness/AvailabilityRules.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::RestRule;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

struct Resting {
    Resting(std::size_t engines, std::size_t plain, std::size_t gateways)
        : world(engines, plain)
    {
        for (auto count = std::size_t(0); count < gateways; ++count)
            world.startGateway();
    }
    auto now() -> Moment { return world.loop().timers().now(); }
    auto ask(const std::string& path, std::size_t gateway = 0, std::uint64_t deadlineMs = 4000) -> wire::HttpAnswer
    {
        return world.ask({ .path = path,
            .attempt = nextAttempt(),
            .adapter = adapter(),
            .deadlineMs = deadlineMs,
            .gateway = gateway });
    }
    auto nextAttempt() -> std::string { return "attempt-" + std::to_string(++sent); }
    /// Different ones, so that each engine is preferred for some.
    [[nodiscard]] auto adapter() const -> std::string { return "a" + std::to_string(sent % 4); }
    /// Sends requests at the same moment to one gateway; returns the answers.
    auto burst(const std::string& path, std::size_t requests, std::size_t gateway = 0, std::uint64_t deadlineMs = 2000)
        -> std::vector<wire::HttpAnswer>
    {
        auto calls = kj::heapArrayBuilder<kj::Promise<wire::HttpAnswer>>(requests);
        for (auto index = std::size_t(0); index < requests; ++index) {
            calls.add(world.begin({ .path = path,
                .attempt = nextAttempt(),
                .adapter = adapter(),
                .deadlineMs = deadlineMs,
                .gateway = gateway }));
        }
        auto answers = std::vector<wire::HttpAnswer>();
        for (auto& answer : world.loop().wait(kj::joinPromises(calls.finish())))
            answers.push_back(std::move(answer));
        return answers;
    }
    /// Lets one gateway hear the replica's request for rest, once; the replica serves again right after.
    auto letRest(ReplicaStandin& replica, const std::string& seconds, const std::string& path, std::size_t gateway = 0)
        -> void
    {
        replica.askForRest(seconds);
        const auto before = replica.arrivals().size();
        BOOST_REQUIRE(world.until([&] {
            (void)ask(path, gateway);
            return replica.arrivals().size() > before;
        }));
        replica.askForRest({});
    }
    /// Asks until the time is over; returns how many requests the replica got.
    auto arrivalsWhileAsking(ReplicaStandin& replica, const std::string& path, Duration time, std::size_t gateway = 0)
        -> std::size_t
    {
        const auto before = replica.arrivals().size();
        const auto until = now() + time;
        while (now() < until) {
            (void)burst(path, 4, gateway, 300);
            leave();
        }
        return replica.arrivals().size() - before;
    }
    /// Closes the clients' connections, and lets some time pass.
    auto leave() -> void
    {
        world.leave();
        world.wait(20ms);
    }
    auto keepsToRests(const ReplicaStandin& replica, std::size_t allowed = 0) -> bool
    {
        const auto found = RestRule { .allowed = allowed }.violation(replica, world.origins());
        if (found)
            BOOST_TEST_MESSAGE(found->arrivals << " requests from gateway " << found->host);
        return !found;
    }

    ServingWorld world;
    std::size_t sent = 0;
};

auto withStatus(const std::vector<wire::HttpAnswer>& answers, int status) -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(), [&](const auto& answer) { return answer.status == status; }));
}

} // namespace

// Guards against a replica that asks for rest and is sent requests all the same, while others could take them.
BOOST_AUTO_TEST_CASE(replica_that_asked_for_rest_gets_nothing_until_the_end)
{
    for (const auto* path : { "/resumable/x", "/whole/x", "/safe/x", "/once/x" }) {
        auto resting = Resting(2, 2, 2);
        auto& replica = path[1] == 'r' || path[1] == 'w' ? resting.world.engine(0) : resting.world.plain(0);
        replica.askForRest("1.5");
        const auto until = resting.now() + 1200ms;
        while (resting.now() < until) {
            BOOST_TEST(withStatus(resting.burst(path, 6, 0, 3000), 200) == 6U);
            BOOST_TEST(withStatus(resting.burst(path, 6, 1, 3000), 200) == 6U);
            resting.leave();
        }
        BOOST_TEST(!replica.arrivals().empty());
        BOOST_TEST(resting.keepsToRests(replica));
    }
}

// Guards against a rest that is forgotten because the replica answers well, fails or asks for less afterwards.
BOOST_AUTO_TEST_CASE(no_later_answer_ends_a_rest)
{
    auto resting = Resting(1, 2, 1);
    auto& replica = resting.world.plain(0);
    const auto hear = [&](ReplicaStandin::Behaviour behaviour, const std::string& rest) {
        replica.behave(behaviour);
        replica.askForRest(rest);
        return resting.burst("/safe/x", 12);
    };
    // All of one burst are under way before the first answer arrives.
    (void)hear({}, "1.5");
    const auto heard = resting.now();
    const auto known = resting.world.gateway().directory().replicasOf(serving::ServiceName("plain"));
    const auto found = std::find_if(known.begin(), known.end(),
        [&](const serving::ReplicaPtr& each) { return each->id().str() == replica.instance(); });
    BOOST_REQUIRE(found != known.end());
    (*found)->succeeded(1ms);
    (*found)->failed(heard);
    (*found)->failed(heard);
    (*found)->succeeded(1ms);
    (*found)->noteRest(100ms, 0ms, heard);
    replica.askForRest({});
    BOOST_TEST(resting.arrivalsWhileAsking(replica, "/safe/x", 1s) == 0U);
    BOOST_TEST(resting.world.until([&] { return resting.arrivalsWhileAsking(replica, "/safe/x", 50ms) > 0; }));
}

// Guards against requests that were admitted, or wait for admission, before the replica asked for rest: they hold its
// places, and are sent when they get one.
BOOST_AUTO_TEST_CASE(requests_that_wait_at_the_agent_leave_it_at_once)
{
    auto resting = Resting(1, 0, 2);
    auto& engine = resting.world.engine(0);
    // The batch is full, with running streams of one gateway, and requests of both wait behind it.
    engine.behave({ .sent = 2, .then = ReplicaStandin::Behaviour::Then::Silence });
    auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
    constexpr auto batch = std::size_t(8);
    // The first one gives up its place when its client's time is up.
    for (auto count = std::size_t(0); count < batch; ++count) {
        running.push_back(resting.world.begin({ .path = "/whole/x",
            .attempt = resting.nextAttempt(),
            .deadlineMs = count == 0 ? 1000U : 4000U,
            .gateway = 1 }));
    }
    BOOST_REQUIRE(resting.world.until([&] { return engine.runs().size() == batch; }));
    auto waiting = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto count = 0; count < 4; ++count)
        waiting.push_back(resting.world.begin({ .path = "/whole/x", .attempt = resting.nextAttempt(), .gateway = 0 }));
    auto other = resting.world.begin({ .path = "/whole/x", .attempt = resting.nextAttempt(), .gateway = 1 });
    const auto& replica = resting.world.gateway(0).directory().all().begin()->second;
    BOOST_REQUIRE(resting.world.until([&] { return replica->agent()->state().queued >= 5; }));
    (void)replica->noteRest(3s, 0ms, resting.now());
    engine.behave({});
    // They are refused, as no other replica is left for them, and the other gateway's request gets the next place.
    for (auto& promise : waiting) {
        const auto answer = resting.world.loop().wait(kj::mv(promise));
        BOOST_TEST(answer.status == 503);
        BOOST_TEST(std::stod(std::string(answer.fields.get(names::retryAfter))) > 1);
    }
    BOOST_TEST(resting.world.loop().wait(kj::mv(other)).status == 200);
    BOOST_TEST(engine.arrivals().size() == batch + 1);
    running.clear();
    resting.leave();
}

// Guards against a request that was sent off to a connection which stands only after the replica asked for rest.
BOOST_AUTO_TEST_CASE(request_that_waits_for_a_connection_is_not_written)
{
    auto loop = wire::MainLoop();
    auto accepted = std::vector<std::unique_ptr<wire::TcpConnection>>();
    auto listener = wire::TcpListener("127.0.0.1", 0, [&](wire::ObjectPtr<GSocket> socket) {
        accepted.push_back(std::make_unique<wire::TcpConnection>(std::move(socket)));
        accepted.back()->start();
    });
    auto connection = serving::ReplicaConnection(loop.timers(), { "127.0.0.1", listener.port() });
    auto faults = std::vector<serving::ReplicaFault>();
    connection.send("POST / HTTP/1.1\r\n\r\n", "body", [](const auto&) { return true; },
        { .onHead = [](const auto&) {},
            .onBody = [](auto) {},
            .onDone = [] {},
            .onFault = [&](serving::ReplicaFault fault) { faults.push_back(fault); },
            .mayWrite = [] { return false; } });
    for (auto count = 0; count < 100 && (faults.empty() || accepted.empty()); ++count)
        loop.wait(loop.sleep(5ms));
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST((faults.front() == serving::ReplicaFault::Withheld));
    BOOST_REQUIRE(accepted.size() == 1U);
    loop.wait(loop.sleep(20ms));
    BOOST_TEST(accepted.front()->input().empty());
}

// Guards against a rest of one host that is taken for one of all hosts.
BOOST_AUTO_TEST_CASE(other_hosts_go_on_while_one_rests)
{
    for (const auto* path : { "/resumable/x", "/safe/x" }) {
        auto resting = Resting(1, 1, 2);
        auto& replica = path[1] == 'r' ? resting.world.engine(0) : resting.world.plain(0);
        resting.letRest(replica, "2", path, 0);
        BOOST_TEST(withStatus(resting.burst(path, 6, 1), 200) == 6U);
        BOOST_TEST(resting.arrivalsWhileAsking(replica, path, 500ms, 0) == 0U);
    }
}

// Guards against a replica that turns requests away and, as it looks idle, draws the next ones from all other entries.
BOOST_AUTO_TEST_CASE(the_agent_counts_a_request_for_rest_as_a_failure)
{
    auto resting = Resting(1, 0, 2);
    resting.letRest(resting.world.engine(0), "2", "/resumable/x", 0);
    const auto& replica = resting.world.gateway(1).directory().all().begin()->second;
    BOOST_TEST(resting.world.until([&] { return replica->agent()->state().failureShare > 0.1; }));
    BOOST_TEST(!replica->rest().end().has_value());
}

// Guards against a new start of a replica, under the same name, that inherits the rest of the one before.
BOOST_AUTO_TEST_CASE(a_new_start_under_the_same_name_owes_no_rest)
{
    auto resting = Resting(1, 0, 1);
    auto& engine = resting.world.engine(0);
    resting.letRest(engine, "60", "/resumable/x");
    engine.restart("engine-0");
    resting.world.publishReplicas();
    BOOST_TEST(resting.world.until([&] { return resting.ask("/resumable/x").status == 200; }));
}

// Guards against callers that wait for a rest which ends too late for them, or that all return at the same moment.
BOOST_AUTO_TEST_CASE(while_all_rest_requests_are_refused_at_once_with_different_retry_delays)
{
    for (const auto* path : { "/resumable/x", "/safe/x" }) {
        auto resting = Resting(1, 1, 1);
        auto& replica = path[1] == 'r' ? resting.world.engine(0) : resting.world.plain(0);
        resting.letRest(replica, "10", path);
        const auto before = replica.arrivals().size();
        auto delays = std::set<double>();
        for (const auto& answer : resting.burst(path, 20, 0, 4000)) {
            BOOST_TEST(answer.status == 503);
            delays.insert(std::stod(std::string(answer.fields.get(names::retryAfter))));
        }
        BOOST_TEST(delays.size() == 20U);
        BOOST_TEST(*delays.begin() > 8);
        BOOST_TEST(*delays.rbegin() < 13);
        BOOST_TEST(replica.arrivals().size() == before);
    }
}

// Guards against refusing what can wait for the end of a short rest.
BOOST_AUTO_TEST_CASE(a_request_is_held_if_a_rest_ends_in_time)
{
    for (const auto* path : { "/resumable/x", "/safe/x" }) {
        auto resting = Resting(1, 1, 1);
        auto& replica = path[1] == 'r' ? resting.world.engine(0) : resting.world.plain(0);
        resting.letRest(replica, "0.3", path);
        BOOST_TEST(withStatus(resting.burst(path, 4), 200) == 4U);
        BOOST_TEST(resting.keepsToRests(replica));
    }
}

// Guards against a replica that is lost for good, or a rest that is forgotten, because of one odd value.
BOOST_AUTO_TEST_CASE(odd_values_neither_exclude_a_replica_nor_end_a_rest)
{
    auto resting = Resting(1, 1, 1);
    auto& replica = resting.world.plain(0);
    for (const auto* text : { "soon", "0", "-3", "nan", "Wed, 21 Oct 2015 07:28:00 GMT" }) {
        resting.letRest(replica, text, "/safe/x");
        BOOST_TEST(resting.world.until([&] { return resting.ask("/safe/x").status == 200; }));
    }
    const auto known = resting.world.gateway().directory().replicasOf(serving::ServiceName("plain")).front();
    resting.letRest(replica, "99999999999999999999", "/safe/x");
    BOOST_TEST((*known->rest().end() - resting.now() <= decisions::RequestedRest::maxRest));
    BOOST_TEST((*known->rest().end() - resting.now() > decisions::RequestedRest::maxRest - 1s));
}

// Guards against an agent that goes on to call a replica which turns its calls away and asks for rest: with reports,
// health checks, and an order again and again.
BOOST_AUTO_TEST_CASE(an_agent_that_is_asked_for_rest_makes_no_call_until_the_end)
{
    auto resting = Resting(1, 0, 1);
    auto& engine = resting.world.engine(0);
    // An adapter that is not there wants an order.
    auto waiting = resting.world.begin({ .attempt = resting.nextAttempt(), .adapter = "a3" });
    engine.askCallersForRest("1");
    const auto before = engine.calls().size();
    BOOST_REQUIRE(resting.world.until([&] { return engine.calls().size() > before; }));
    resting.world.wait(50ms);
    const auto heard = engine.calls().size();
    resting.world.wait(800ms);
    BOOST_TEST(engine.calls().size() == heard);
    engine.askCallersForRest({});
    BOOST_TEST(resting.world.until([&] { return engine.calls().size() > heard + 1; }));
    (void)resting.world.loop().wait(kj::mv(waiting));
    BOOST_TEST(resting.world.until([&] { return resting.ask("/resumable/x").status == 200; }));
}

// Guards against two processes of one host of which only one keeps to the rest that the host was asked for.
BOOST_AUTO_TEST_CASE(entry_and_agent_on_one_host_keep_to_the_same_rest)
{
    auto resting = Resting(1, 0, 0);
    auto& engine = resting.world.engine(0);
    auto& gateway = resting.world.startGateway(true, "zone-1", engine.endpoint().address);
    resting.letRest(engine, "1", "/resumable/x");
    resting.world.wait(50ms);
    const auto calls = engine.calls().size();
    resting.world.wait(700ms);
    BOOST_TEST(engine.calls().size() == calls);

    BOOST_REQUIRE(resting.world.until([&] { return resting.ask("/resumable/x").status == 200; }));
    engine.askCallersForRest("1");
    const auto known = gateway.directory().all().begin()->second;
    BOOST_REQUIRE(resting.world.until([&] { return known->rest().resting(resting.now()); }));
    engine.askCallersForRest({});
    BOOST_TEST(resting.arrivalsWhileAsking(engine, "/resumable/x", 600ms) == 0U);
    BOOST_TEST(resting.world.until([&] { return resting.ask("/resumable/x").status == 200; }));
}

// The same is not asked of an entry on another host.
BOOST_AUTO_TEST_CASE(an_agents_rest_does_not_hold_for_entries_of_other_hosts)
{
    auto resting = Resting(1, 0, 1);
    auto& engine = resting.world.engine(0);
    engine.askCallersForRest("2");
    const auto before = engine.calls().size();
    BOOST_REQUIRE(resting.world.until([&] { return engine.calls().size() > before; }));
    resting.world.wait(100ms);
    BOOST_TEST(!resting.world.gateway().directory().all().begin()->second->rest().end().has_value());
}
