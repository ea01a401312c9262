#include "tests/harness/CrashWorld.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::CrashWorld;
using Request = eelgrass::tests::ServingWorld::Request;

namespace {

constexpr auto content = "crashing prompt";

auto judge(CrashWorld::Options options, const Request& request) -> void
{
    auto crashing = CrashWorld(std::move(options));
    crashing.sendUntilJudged(request);
    BOOST_TEST_MESSAGE(crashing.crashes() << " crashes, late runs " << crashing.lateRuns());
    BOOST_TEST(crashing.crashes() >= 3U);
    BOOST_TEST(crashing.lateRuns() <= CrashWorld::maxLateRuns);
}

/// What another entry tells of crashes under a request with this body.
auto seenElsewhere(const std::string& body, std::uint64_t firstStart, std::uint64_t count)
    -> std::vector<decisions::CrashReport>
{
    const auto digest = serving::digestOf({ .method = "POST", .target = "/resumable/x", .body = body },
        { .model = serving::BaseModel("base"), .adapter = AdapterId("a1") }, MemberId());
    auto reports = std::vector<decisions::CrashReport>();
    for (auto start = firstStart; start < firstStart + count; ++start)
        reports.push_back({ digest, decisions::StartHash(start), 0, decisions::CrashEvidence::Crashed, now() });
    return reports;
}

} // namespace

// Guards against a request that goes on to the next replica because its connections are not closed by the crash.
BOOST_AUTO_TEST_CASE(request_that_crashes_silently_is_refused)
{
    judge({ .crash = { .body = content, .silent = true } }, {});
}

// The same for clients that give up before their runs are given up.
BOOST_AUTO_TEST_CASE(request_that_crashes_silently_and_is_left_by_its_clients_is_refused)
{
    judge({ .crash = { .body = content, .silent = true } }, { .deadlineMs = 1000 });
}

// The same after the stream has begun.
BOOST_AUTO_TEST_CASE(stream_that_crashes_silently_after_events_is_refused)
{
    judge({ .crash = { .body = content, .events = 3, .silent = true } }, {});
}

// The same for a replica that stays away.
BOOST_AUTO_TEST_CASE(request_that_crashes_silently_for_long_is_refused)
{
    judge({ .engines = 6, .crash = { .body = content, .silent = true }, .downFor = 2s }, { .deadlineMs = 1000 });
}

// The same for replicas without an agent.
BOOST_AUTO_TEST_CASE(request_that_crashes_plain_replicas_silently_is_refused)
{
    judge({ .engines = 1, .plain = 4, .crash = { .body = content, .silent = true } },
        { .path = "/safe/x", .deadlineMs = 1000 });
}

// Guards against entries that each count for themselves while nearly every replica, and the agent beside it that
// counts, is away for seconds.
BOOST_AUTO_TEST_CASE(request_that_crashes_nearly_all_replicas_of_a_site_is_refused)
{
    judge({ .engines = 9, .gateways = 5, .crash = { .body = content }, .downFor = 3200ms, .withAgents = true }, {});
}

// Guards against forgetting a break of a stream whose replica has left the list at once.
BOOST_AUTO_TEST_CASE(stream_that_crashes_replicas_which_leave_the_list_is_refused)
{
    judge({ .crash = { .body = content, .events = 3 }, .downFor = 2s, .listed = CrashWorld::Listed::NotAtAll }, {});
}

// Guards against forgetting crashes with the agents that counted them.
BOOST_AUTO_TEST_CASE(request_that_crashes_replicas_with_their_agents_is_refused)
{
    judge({ .crash = { .body = content }, .downFor = 1s, .withAgents = true }, {});
}

// Guards against taking a request for another one because its query differs, which is no part of the content.
BOOST_AUTO_TEST_CASE(request_that_crashes_replicas_with_another_query_each_time_is_refused)
{
    auto crashing = CrashWorld({ .crash = { .body = content } });
    for (auto count = 0; count < 24; ++count) {
        const auto path = "/resumable/x?n=" + std::to_string(count);
        crashing.sendFor(CrashWorld::requestInterval, { .path = path, .body = content });
    }
    BOOST_TEST(crashing.crashes() >= 3U);
    BOOST_TEST(crashing.lateRuns() <= CrashWorld::maxLateRuns);
}

// Guards against sending a request that waited for a place while it became known that it crashes replicas.
BOOST_AUTO_TEST_CASE(request_that_waits_while_it_becomes_known_is_not_sent)
{
    auto crashing = CrashWorld({ .engines = 1, .gateways = 1, .crash = { .body = content }, .slots = 1 });
    auto& world = crashing.world();
    world.engine(0).behave({ .runsFor = 1500ms });
    auto taking = world.begin({ .attempt = "taking", .body = "harmless" });
    BOOST_REQUIRE(world.until([&] { return world.engine(0).runs().size() == 1; }));
    auto waiting = world.begin({ .attempt = "waiting", .body = content });
    world.wait(300ms);
    crashing.agent(0).noteCrashes(seenElsewhere(content, 1, decisions::CrashLedger::limit));
    BOOST_TEST(world.loop().wait(kj::mv(waiting)).status == 502);
    BOOST_TEST(world.loop().wait(kj::mv(taking)).status == 200);
    BOOST_TEST(crashing.crashes() == 0U);
}

// Guards against an answer of a replica that failed, or did not finish in time, which clears the request of crashes.
BOOST_AUTO_TEST_CASE(failed_answer_does_not_clear_a_request)
{
    for (const auto status : { 500, 504 }) {
        auto crashing = CrashWorld({ .engines = 2, .gateways = 1, .crash = { .body = content } });
        auto& world = crashing.world();
        crashing.agent(0).noteCrashes(seenElsewhere("failing", 1, 2));
        world.wait(1500ms);
        for (auto index = std::size_t(0); index < 2; ++index)
            world.engine(index).behave({ .status = status });
        BOOST_TEST(world.ask({ .attempt = "failing", .body = "failing" }).status == status);
        crashing.agent(0).noteCrashes(seenElsewhere("failing", 3, 1));
        world.wait(1500ms);
        BOOST_TEST(world.ask({ .attempt = "again", .body = "failing" }).status == 502);
        BOOST_TEST(world.engine(0).runs().size() + world.engine(1).runs().size() <= 2U);
    }
}

// Guards against forgetting what an entry has told to agents that have all been restarted since.
BOOST_AUTO_TEST_CASE(request_is_refused_elsewhere_after_all_agents_were_restarted)
{
    auto crashing = CrashWorld({ .gateways = 4, .crash = { .body = content } });
    auto& world = crashing.world();
    for (auto count = 0; crashing.crashes() < 3 && count < 6; ++count)
        (void)world.ask({ .attempt = "first-" + std::to_string(count), .body = content, .gateway = 0 });
    const auto before = crashing.crashes();
    BOOST_REQUIRE(before >= 3U);
    for (auto engine = std::size_t(0); engine < 4; ++engine) {
        crashing.restartAgent(engine);
        world.wait(1s);
    }
    for (auto count = 0; count < 12; ++count) {
        const auto gateway = std::size_t(1 + count % 3);
        (void)world.ask({ .attempt = "later-" + std::to_string(count), .body = content, .gateway = gateway });
    }
    BOOST_TEST(crashing.crashes() <= before + CrashWorld::maxLateRuns);
}

// Guards against a new entry that does not know what the others do.
BOOST_AUTO_TEST_CASE(request_is_refused_by_an_entry_that_starts_later)
{
    auto crashing = CrashWorld({ .gateways = 1, .crash = { .body = content, .silent = true } });
    auto& world = crashing.world();
    for (auto count = 0; crashing.crashes() < 3 && count < 6; ++count)
        (void)world.ask({ .attempt = "first-" + std::to_string(count), .body = content, .deadlineMs = 1000 });
    BOOST_REQUIRE(crashing.crashes() >= 3U);
    world.wait(3s);
    const auto before = crashing.crashes();
    for (auto gateway = std::size_t(1); gateway < 4; ++gateway) {
        world.startGateway();
        for (auto count = 0; count < 2; ++count) {
            (void)world.ask({ .attempt = std::to_string(gateway) + "-" + std::to_string(count),
                .body = content,
                .deadlineMs = 1000,
                .gateway = gateway });
        }
    }
    BOOST_TEST(crashing.crashes() <= before + CrashWorld::maxLateRuns);
}

// Guards against a request that is refused although it crashed no replica: one that ran beside requests that did, each
// time that it was tried, and those that were running when replicas were killed.
BOOST_AUTO_TEST_CASE(requests_beside_crashes_and_kills_are_not_refused)
{
    auto crashing = CrashWorld({ .engines = 4, .gateways = 2, .crash = { .body = content } });
    auto& world = crashing.world();
    for (auto index = std::size_t(0); index < 4; ++index)
        world.engine(index).behave({ .sent = 2, .eventGap = 60ms });
    auto statuses = std::vector<int>();
    auto running = std::vector<kj::Promise<void>>();
    for (auto round = 0; round < 12; ++round) {
        for (auto number = 0; number < 6; ++number) {
            const auto name = std::to_string(number);
            running.push_back(world
                                  .begin({ .attempt = "harmless-" + name + "-" + std::to_string(round),
                                      .body = "harmless " + name,
                                      .gateway = std::size_t(number) % 2 })
                                  .then([&](wire::HttpAnswer&& answer) { statuses.push_back(answer.status); })
                                  .eagerlyEvaluate(nullptr));
        }
        crashing.sendFor(CrashWorld::requestInterval, { .body = content });
    }
    for (auto& promise : running)
        world.loop().wait(kj::mv(promise));
    // Each body alone again: none of them is refused.
    for (auto number = 0; number < 6; ++number) {
        const auto name = std::to_string(number);
        BOOST_TEST(world.ask({ .attempt = "after-" + name, .body = "harmless " + name }).status == 200);
    }
}

// Guards against refusing what is asked for often because one replica was killed under several of its runs.
BOOST_AUTO_TEST_CASE(request_that_ran_several_times_at_a_killed_replica_is_not_refused)
{
    auto crashing = CrashWorld({ .engines = 1, .gateways = 1, .crash = { .body = content } });
    auto& world = crashing.world();
    world.engine(0).behave({ .sent = 0, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
    auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto count = 0; count < 4; ++count)
        running.push_back(world.begin({ .path = "/whole/x", .attempt = "run-" + std::to_string(count) }));
    BOOST_REQUIRE(world.until([&] { return world.engine(0).runs().size() == 4; }));
    world.engine(0).behave({});
    crashing.crash(0);
    for (auto& answer : running)
        BOOST_TEST(world.loop().wait(kj::mv(answer)).status == 502);
    BOOST_TEST(world.until(
        [&] { return world.ask({ .path = "/whole/x", .attempt = "again-" + std::to_string(rand()) }).status == 200; }));
}

// Guards against refusing requests whose replicas were killed together with others, time and again.
BOOST_AUTO_TEST_CASE(requests_at_replicas_that_are_killed_together_are_not_refused)
{
    auto crashing = CrashWorld({ .gateways = 2, .crash = { .body = content }, .downFor = 300ms });
    auto& world = crashing.world();
    const auto behave = [&](const standins::ReplicaStandin::Behaviour& behaviour) {
        for (auto index = std::size_t(0); index < 4; ++index)
            world.engine(index).behave(behaviour);
    };
    const auto served = [&](const std::string& attempt) {
        return world.until([&, tries = 0]() mutable {
            return world.ask({ .path = "/whole/x", .attempt = attempt + std::to_string(++tries), .body = "probe" })
                       .status
                == 200;
        });
    };
    const auto runs = [&] {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < 4; ++index)
            count += world.engine(index).runs().size();
        return count;
    };
    for (auto round = 0; round < 4; ++round) {
        BOOST_REQUIRE(served("round-" + std::to_string(round) + "-"));
        behave({ .sent = 0, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
        auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
        const auto before = runs();
        for (auto number = std::size_t(0); number < 8; ++number) {
            running.push_back(world.begin({ .path = "/whole/x",
                .attempt = std::to_string(round) + "-" + std::to_string(number),
                .body = "harmless " + std::to_string(number),
                .gateway = number % 2 }));
        }
        (void)world.until([&] { return runs() >= before + 8; });
        BOOST_REQUIRE(runs() >= before + 8);
        for (auto index = std::size_t(0); index < 4; ++index)
            crashing.crash(index);
        for (auto& answer : running)
            BOOST_TEST(world.loop().wait(kj::mv(answer)).status == 502);
        behave({});
        world.wait(1500ms);
    }
    BOOST_REQUIRE(served("after-"));
    for (auto number = 0; number < 8; ++number) {
        const auto body = "harmless " + std::to_string(number);
        BOOST_TEST(world.ask({ .path = "/whole/x", .attempt = "after-" + std::to_string(number), .body = body }).status
            == 200);
    }
}
