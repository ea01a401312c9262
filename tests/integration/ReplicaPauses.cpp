// Replicas that fall silent for a moment and go on, and replicas that never do.
#include "platform/Names.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>

using namespace eelgrass;
using eelgrass::standins::ReplicaStandin;
using eelgrass::standins::streamEvents;
using eelgrass::tests::ServingWorld;
namespace names = eelgrass::hosting::names;

namespace {

using Json = nlohmann::json;
using Behaviour = ReplicaStandin::Behaviour;
using Silence = ReplicaStandin::Silence;
using At = Silence::At;

constexpr auto firstToken = Duration(20ms);
constexpr auto eventGap = Duration(50ms);
/// Longer than the system waits before it looks for another replica, and well within the time of the routes.
constexpr auto longPause = Duration(2s);
/// Longer than any test.
constexpr auto forGood = Duration(100s);
constexpr auto key = "key-of-armor";
constexpr auto streamMoments = std::array { At::BeforeHead, At::AfterHead, At::InAnswer, At::InEvent, At::BeforeEnd };
constexpr auto plainMoments = std::array { At::BeforeHead, At::InAnswer };
constexpr auto allRoutes = std::array { "/resumable/x", "/whole/x", "/safe/x", "/once/x" };

/// Clients that each have a request at the same replicas, and what must hold for all of them.
struct Clients {
    Clients(std::size_t engineCount, std::size_t plainCount)
        : world(engineCount, plainCount)
        , engines(engineCount)
        , plain(plainCount)
    {
        behave({});
    }
    /// Agents end after the sessions of the entries.
    ~Clients()
    {
        answers.clear();
        world.leave();
        world.wait(50ms);
        while (world.gateways() > 0)
            world.stopGateway(0);
        world.wait(50ms);
    }
    Clients(const Clients&) = delete;
    auto operator=(const Clients&) -> Clients& = delete;

    auto forEachReplica(const std::function<void(ReplicaStandin&)>& step) -> void
    {
        for (auto index = std::size_t(0); index < engines; ++index)
            step(world.engine(index));
        for (auto index = std::size_t(0); index < plain; ++index)
            step(world.plain(index));
    }
    /// Streams take their time from here on, so that a pause finds them under way.
    auto behave(Behaviour behaviour) -> void
    {
        behaviour.beginsAfter = firstToken;
        behaviour.eventGap = eventGap;
        forEachReplica([&](ReplicaStandin& replica) { replica.behave(behaviour); });
    }
    auto start(std::size_t entries = 1) -> void
    {
        for (auto count = std::size_t(0); count < entries; ++count)
            world.startGateway();
    }
    auto send(const std::string& path, std::size_t entry = 0) -> std::string
    {
        auto request = ServingWorld::Request {
            .path = path, .attempt = "request-" + std::to_string(sent.size()), .gateway = entry
        };
        request.more.add(names::apiKey, key);
        sent.push_back(request);
        answers.add(world.begin(request));
        return request.attempt;
    }
    auto runsOf(const std::string& attempt) -> std::vector<ReplicaStandin::Run>
    {
        auto runs = std::vector<ReplicaStandin::Run>();
        forEachReplica([&](ReplicaStandin& replica) {
            std::copy_if(replica.runs().begin(), replica.runs().end(), std::back_inserter(runs),
                [&](const auto& run) { return run.attempt == attempt; });
        });
        std::sort(runs.begin(), runs.end(), [](const auto& one, const auto& other) { return one.at < other.at; });
        return runs;
    }
    auto arrivalsOf(const std::string& attempt) -> std::ptrdiff_t
    {
        auto count = std::ptrdiff_t(0);
        forEachReplica([&](ReplicaStandin& replica) {
            count += std::count_if(replica.arrivals().begin(), replica.arrivals().end(),
                [&](const auto& arrival) { return arrival.attempt == attempt; });
        });
        return count;
    }
    auto waitUntilAllRun() -> void
    {
        BOOST_REQUIRE(world.until([&] {
            return std::all_of(
                sent.begin(), sent.end(), [&](const auto& request) { return !runsOf(request.attempt).empty(); });
        }));
    }
    /// Sends one request a moment, each of which is answered with a silence then.
    template <typename Moments> auto sendAtEach(const std::string& path, const Moments& moments, Duration time) -> void
    {
        for (const auto at : moments) {
            behave({ .silence = { .at = at, .time = time, .runs = std::make_shared<int>(1) } });
            (void)send(path);
            waitUntilAllRun();
        }
        behave({});
    }
    /// Sends one request a route, each of which is under way for a moment.
    auto sendToAllRoutes(std::size_t entry = 0) -> void
    {
        behave({ .silence = { .at = At::BeforeHead, .time = 200ms } });
        for (const auto* path : allRoutes)
            (void)send(path, entry);
        waitUntilAllRun();
        behave({});
    }
    /// The engine at which the request runs.
    auto engineOf(const std::string& attempt) -> ReplicaStandin&
    {
        auto found = std::size_t(0);
        for (auto index = std::size_t(0); index < engines; ++index) {
            const auto& runs = world.engine(index).runs();
            if (std::any_of(runs.begin(), runs.end(), [&](const auto& run) { return run.attempt == attempt; }))
                found = index;
        }
        return world.engine(found);
    }
    auto pauseAll(Duration time) -> void
    {
        forEachReplica([&](ReplicaStandin& replica) { replica.pauseFor(time); });
    }
    auto put(Json configuration) -> void { world.store().put("op", "config", configuration.dump()); }
    auto inForce(std::uint64_t version) -> bool
    {
        return world.until([&] {
            const auto& configuration = world.gateway().configuration().configuration();
            return configuration && configuration->version == ConfigVersion(version);
        });
    }
    /// Each client has the whole answer of one replica after another, of which none worked on it beside the next one.
    auto checkAnswers(std::ptrdiff_t maxRuns) -> void
    {
        const auto received = world.loop().wait(kj::joinPromises(answers.releaseAsArray()));
        for (auto index = std::size_t(0); index < sent.size(); ++index) {
            const auto& [path, attempt] = std::tie(sent[index].path, sent[index].attempt);
            BOOST_TEST_CONTEXT(attempt << " to " << path << ", number of runs " << arrivalsOf(attempt))
            {
                const auto& answer = received[index];
                const auto streamed = path == "/resumable/x" || path == "/whole/x";
                BOOST_TEST(answer.status == 200);
                BOOST_TEST((streamed ? answer.body == streamEvents(1, 5) : answer.body.starts_with("body-of-plain-")));
                BOOST_TEST(arrivalsOf(attempt) <= maxRuns);
                const auto runs = runsOf(attempt);
                for (auto next = std::size_t(1); next < runs.size(); ++next)
                    BOOST_TEST((runs[next - 1].endedAt && *runs[next - 1].endedAt <= runs[next].at));
            }
        }
    }

    ServingWorld world;
    std::size_t engines;
    std::size_t plain;
    std::vector<ServingWorld::Request> sent;
    kj::Vector<kj::Promise<wire::HttpAnswer>> answers;
};

/// All replicas pause while each route has a request, and something else happens in the middle of it.
struct AllPause : Clients {
    AllPause()
        : Clients(1, 1)
    {
    }
    auto begin(std::size_t entries = 1) -> void
    {
        start(entries);
        for (auto entry = std::size_t(0); entry < entries; ++entry)
            sendToAllRoutes(entry);
        pauseAll(longPause);
        world.wait(100ms);
    }
    /// A configuration like the first one but for the change.
    auto change(const std::function<void(Json&)>& step) -> void
    {
        auto json = Json::parse(tests::servingConfiguration(2));
        step(json);
        put(json);
        BOOST_REQUIRE(inForce(2));
    }
};

auto withKeys(std::uint64_t version) -> Json
{
    auto json = Json::parse(tests::servingConfiguration(version));
    json["tenants"] = Json::array({ { { "name", "armor" }, { "apiKeys", { key } } } });
    return json;
}

} // namespace

// Guards against a stream that is broken off for a silence of its replica, although nobody else can take it.
BOOST_AUTO_TEST_CASE(stream_at_the_only_replica_is_whole_after_a_silence_at_any_moment)
{
    for (const auto time : { Duration(500ms), Duration(1300ms), longPause }) {
        auto clients = Clients(1, 0);
        clients.start();
        clients.sendAtEach("/resumable/x", streamMoments, time);
        clients.checkAnswers(1);
    }
}

// The same where another replica can take the stream.
BOOST_AUTO_TEST_CASE(stream_is_whole_after_a_silence_at_any_moment_beside_a_free_replica)
{
    for (const auto time : { Duration(500ms), Duration(1300ms), longPause }) {
        auto clients = Clients(2, 0);
        clients.start();
        clients.sendAtEach("/resumable/x", streamMoments, time);
        clients.checkAnswers(2);
    }
}

// Guards against a plain request that loses its run at half of its time, although nobody else can take it.
BOOST_AUTO_TEST_CASE(repeatable_request_at_the_only_replica_is_answered_after_a_silence)
{
    for (const auto time : { Duration(500ms), longPause }) {
        auto clients = Clients(0, 1);
        clients.start();
        clients.sendAtEach("/safe/x", plainMoments, time);
        clients.checkAnswers(1);
    }
}

// The same where another replica can take the request.
BOOST_AUTO_TEST_CASE(repeatable_request_is_answered_after_a_silence_beside_a_free_replica)
{
    for (const auto time : { Duration(500ms), longPause }) {
        auto clients = Clients(0, 2);
        clients.start();
        clients.sendAtEach("/safe/x", plainMoments, time);
        clients.checkAnswers(2);
    }
}

// Guards against a request that may run once and is given up, or sent again, for a silence.
BOOST_AUTO_TEST_CASE(request_that_may_run_once_keeps_its_run_through_a_silence)
{
    auto clients = Clients(2, 2);
    clients.start();
    clients.sendAtEach("/once/x", plainMoments, longPause);
    clients.sendAtEach("/whole/x", streamMoments, longPause);
    clients.checkAnswers(1);
}

// Guards against streams that end with a pause of the only replica there is.
BOOST_AUTO_TEST_CASE(stream_is_whole_after_a_pause_of_the_only_replica)
{
    for (const auto time : { Duration(500ms), Duration(1300ms), longPause }) {
        auto clients = Clients(1, 0);
        clients.start();
        (void)clients.send("/resumable/x");
        clients.waitUntilAllRun();
        clients.pauseAll(time);
        clients.checkAnswers(1);
    }
}

// Guards against streams that end with a pause of one replica of three, or run at two of them at once.
BOOST_AUTO_TEST_CASE(streams_are_whole_after_a_pause_of_one_replica)
{
    for (const auto time : { Duration(500ms), Duration(1300ms), longPause }) {
        auto clients = Clients(3, 0);
        clients.start();
        for (auto count = 0; count < 6; ++count)
            (void)clients.send("/resumable/x");
        clients.waitUntilAllRun();
        clients.engineOf("request-0").pauseFor(time);
        clients.checkAnswers(2);
    }
}

// Guards against streams that move from one replica to another while all of them are silent.
BOOST_AUTO_TEST_CASE(streams_stay_where_they_are_through_a_pause_of_all_replicas)
{
    for (const auto time : { Duration(500ms), Duration(1300ms), longPause }) {
        auto clients = Clients(3, 0);
        clients.start();
        for (auto count = 0; count < 6; ++count)
            (void)clients.send("/resumable/x");
        clients.waitUntilAllRun();
        clients.pauseAll(time);
        clients.checkAnswers(1);
    }
}

// Guards against a pause after which replicas have more streams than before, and some are broken off.
BOOST_AUTO_TEST_CASE(ten_streams_stay_where_they_are_through_a_pause_of_both_replicas)
{
    auto clients = Clients(2, 0);
    clients.start();
    for (auto count = 0; count < 10; ++count)
        (void)clients.send("/resumable/x");
    clients.waitUntilAllRun();
    clients.pauseAll(1400ms);
    clients.checkAnswers(1);
}

// Guards against plain requests that move from one replica to another while all of them are silent.
BOOST_AUTO_TEST_CASE(requests_of_all_routes_stay_where_they_are_through_a_pause_of_all_replicas)
{
    auto clients = Clients(2, 2);
    clients.start();
    clients.sendToAllRoutes();
    clients.pauseAll(longPause);
    clients.checkAnswers(1);
}

// Guards against requests that a replica receives during its pause and that get no answer when it goes on.
BOOST_AUTO_TEST_CASE(requests_that_arrive_during_a_pause_of_all_replicas_are_answered)
{
    auto clients = Clients(2, 2);
    clients.start();
    clients.pauseAll(1s);
    for (const auto* path : allRoutes)
        (void)clients.send(path);
    clients.checkAnswers(1);
}

// Guards against a pause that ends a request because a route came and another one went.
BOOST_FIXTURE_TEST_CASE(pause_beside_an_added_route_ends_no_request, AllPause)
{
    begin();
    change([](Json&) {});
    checkAnswers(1);
}

// The same beside a change of what the service takes.
BOOST_FIXTURE_TEST_CASE(pause_beside_a_change_of_the_service_ends_no_request, AllPause)
{
    begin();
    change([](Json& json) {
        for (auto& service : json["services"]) {
            service["maxConns"] = 10;
            service["healthPath"] = "/report";
        }
        json["services"][0]["engine"]["slots"] = 4;
    });
    checkAnswers(1);
}

// The same beside a change of the limits of clients' connections.
BOOST_FIXTURE_TEST_CASE(pause_beside_a_change_of_the_limits_of_clients_ends_no_request, AllPause)
{
    begin();
    change([](Json& json) {
        json["limits"] = { { "maxHeaderBytes", 1024 }, { "maxBodyBytes", 1024 }, { "headerTimeoutMs", 300 },
            { "idleTimeoutMs", 300 } };
    });
    checkAnswers(1);
}

// The same beside a change of the routes' time and number of runs.
BOOST_FIXTURE_TEST_CASE(pause_beside_a_change_of_the_routes_ends_no_request, AllPause)
{
    begin();
    change([](Json& json) {
        for (auto& route : json["routes"]) {
            route["timeoutMs"] = 1000;
            route["maxAttempts"] = 1;
        }
    });
    checkAnswers(1);
}

// The same beside routes that lead to another service.
BOOST_FIXTURE_TEST_CASE(pause_beside_routes_that_go_ends_no_request, AllPause)
{
    begin();
    change([](Json& json) { json["routes"] = Json::array({ json["routes"].back() }); });
    checkAnswers(1);
}

// The same beside settings that are read again.
BOOST_FIXTURE_TEST_CASE(pause_beside_a_reload_of_settings_ends_no_request, AllPause)
{
    begin();
    auto settings = world.settings();
    settings.retries = { .ratio = 0, .slack = 0, .window = 1s };
    settings.grace = 1s;
    world.gateway().reload(settings);
    checkAnswers(1);
}

// The same beside an entry that stops as planned, for its own requests and those of another entry.
BOOST_FIXTURE_TEST_CASE(pause_beside_a_stop_of_an_entry_ends_no_request, AllPause)
{
    begin(2);
    world.gateway(1).stop();
    // Keeps the entry from ending, which would end the loop of the test.
    auto request = ServingWorld::Request { .path = "/whole/x", .attempt = "last", .gateway = 1 };
    world.engine(0).behave({ .sent = 1, .then = Behaviour::Then::Silence });
    auto running = std::optional(world.begin(request));
    checkAnswers(1);
    running.reset();
    world.leave();
    world.wait(20ms);
}

// Guards against a run that is given up before it is known that no retry is left.
BOOST_AUTO_TEST_CASE(silent_runs_stay_where_they_are_while_no_retry_is_left)
{
    auto clients = Clients(2, 2);
    clients.world.settings().retries = { .ratio = 0, .slack = 0, .window = 10s };
    clients.start();
    clients.sendAtEach("/resumable/x", streamMoments, longPause);
    clients.sendAtEach("/safe/x", plainMoments, longPause);
    clients.checkAnswers(1);
}

// Guards against a run that is given up for a replica that takes no request.
BOOST_AUTO_TEST_CASE(silent_requests_are_answered_while_other_replicas_turn_requests_away)
{
    auto clients = Clients(2, 2);
    clients.start();
    clients.sendAtEach("/resumable/x", streamMoments, longPause);
    clients.sendAtEach("/safe/x", plainMoments, longPause);
    clients.behave({ .status = 503, .notRun = true });
    clients.checkAnswers(3);
}

// Guards against a run that is given up before it is known that no rate limit withholds the request elsewhere.
BOOST_AUTO_TEST_CASE(silent_requests_are_answered_while_replicas_name_rate_limits)
{
    auto clients = Clients(2, 2);
    clients.start();
    clients.forEachReplica([](ReplicaStandin& replica) { replica.announceLimit("0.2"); });
    clients.sendAtEach("/resumable/x", std::array { At::InAnswer, At::BeforeEnd }, longPause);
    clients.sendAtEach("/safe/x", plainMoments, longPause);
    clients.checkAnswers(2);
}

// Guards against a run that is given up before it is known that a replica with the stream's version can take it.
BOOST_AUTO_TEST_CASE(silent_streams_are_whole_while_a_version_of_their_adapter_rolls)
{
    auto clients = Clients(2, 0);
    clients.start();
    clients.sendAtEach("/resumable/x", streamMoments, longPause);
    clients.world.nameVersion("a1", 7);
    clients.checkAnswers(2);
}

// Guards against a run that is given up before it is known that the request's key can be checked.
BOOST_AUTO_TEST_CASE(silent_requests_are_answered_while_keys_cannot_be_confirmed)
{
    auto clients = Clients(2, 2);
    clients.put(withKeys(1));
    clients.world.settings().keyBound = 1500ms;
    clients.start();
    clients.sendAtEach("/resumable/x", streamMoments, longPause);
    clients.sendAtEach("/safe/x", plainMoments, longPause);
    clients.world.store().refuseAll(503);
    clients.checkAnswers(1);
}

// Guards against a run that is given up before it is known that its key is still valid.
BOOST_AUTO_TEST_CASE(silent_requests_are_answered_after_their_key_was_taken_away)
{
    auto clients = Clients(2, 2);
    clients.put(withKeys(1));
    clients.start();
    clients.sendAtEach("/resumable/x", streamMoments, longPause);
    clients.sendAtEach("/safe/x", plainMoments, longPause);
    auto json = withKeys(2);
    json["tenants"][0]["apiKeys"] = { "another-key" };
    clients.put(json);
    clients.checkAnswers(1);
}

// Guards against streams that stay with a replica that never goes on.
BOOST_AUTO_TEST_CASE(stream_that_hangs_for_good_goes_on_at_another_replica)
{
    for (const auto at : { At::BeforeHead, At::AfterHead, At::InAnswer, At::InEvent }) {
        auto clients = Clients(2, 0);
        clients.start();
        clients.sendAtEach("/resumable/x", std::array { at }, forGood);
        clients.checkAnswers(2);
        BOOST_TEST(clients.arrivalsOf("request-0") == 2);
    }
}

// The same for all streams of a replica that is silent as a whole.
BOOST_AUTO_TEST_CASE(streams_of_a_replica_that_never_goes_on_continue_elsewhere)
{
    auto clients = Clients(3, 0);
    clients.start();
    for (auto count = 0; count < 6; ++count)
        (void)clients.send("/resumable/x");
    clients.waitUntilAllRun();
    auto& engine = clients.engineOf("request-0");
    const auto runs = engine.runs();
    engine.pauseFor(forGood);
    clients.checkAnswers(2);
    for (const auto& run : runs)
        BOOST_TEST(clients.arrivalsOf(run.attempt) == 2);
}

// The same for a plain request.
BOOST_AUTO_TEST_CASE(repeatable_request_that_hangs_for_good_is_answered_by_another_replica)
{
    for (const auto at : plainMoments) {
        auto clients = Clients(0, 2);
        clients.start();
        clients.sendAtEach("/safe/x", std::array { at }, forGood);
        clients.checkAnswers(2);
        BOOST_TEST(clients.arrivalsOf("request-0") == 2);
    }
}
