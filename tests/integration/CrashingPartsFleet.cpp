#include "serving/RequestContent.h"
#include "tests/harness/PartCrashes.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using eelgrass::tests::CrashWorld;
using eelgrass::tests::PartCrashes;

namespace {

constexpr auto part = PartCrashes::part;

auto judge(PartCrashes::Options options) -> void { PartCrashes(std::move(options)).judge(); }

/// What another entry tells of three requests with this part, which crashed replicas a second apart, lately or so long
/// ago. Returns once all entries know.
auto tellOfCrashes(CrashWorld& crashing, decisions::SharedHash held, Duration ago = {}) -> void
{
    auto reports = std::vector<decisions::CrashReport>();
    for (auto number = std::uint64_t(1); number <= 3; ++number) {
        reports.push_back({ decisions::RequestDigest(number), decisions::StartHash(number), 0,
            decisions::CrashEvidence::Crashed, now() - ago - 2s + Duration(600ms) * number, { held } });
    }
    crashing.agent(0).noteCrashes(reports);
    auto& world = crashing.world();
    const auto isPublished = [&](std::size_t gateway) {
        const auto& replicas = world.gateway(gateway).directory().replicasOf(serving::ServiceName("engine"));
        return std::any_of(replicas.begin(), replicas.end(), [&](const serving::ReplicaPtr& replica) {
            return replica->agent() && replica->agent()->state().crashes.size() >= reports.size();
        });
    };
    BOOST_REQUIRE(world.until([&] {
        auto known = true;
        for (auto gateway = std::size_t(0); gateway < world.gateways(); ++gateway)
            known = known && isPublished(gateway);
        return known;
    }));
}

auto hashOfPart() -> decisions::SharedHash
{
    const auto content
        = serving::contentOf({}, { .prompt = { { part, 10 }, { "f1", 10 } } }, MemberId(), AdapterVersion());
    return content.run.shared.front();
}

} // namespace

// Guards against entries that each know of their own crashes alone.
BOOST_AUTO_TEST_CASE(part_that_crashes_nearly_all_replicas_of_a_site_is_refused_by_all_entries)
{
    judge({ .world = { .engines = 8, .gateways = 4, .crash = { .part = part }, .downFor = 3s } });
}

// Guards against forgetting crashes with the agents that were told of them.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_with_their_agents_is_refused)
{
    judge({ .world = { .engines = 6, .crash = { .part = part }, .downFor = 1s, .withAgents = true } });
}

// Guards against forgetting runs whose replicas have left the list.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_which_leave_the_list_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s, .listed = CrashWorld::Listed::NotAtAll } });
}

// Guards against blaming what runs beside the part, which is much more than the part itself.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_under_many_other_runs_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s }, .soundEach = 4, .eventGap = 100ms });
}

// Guards against counting only what comes at short intervals.
BOOST_AUTO_TEST_CASE(part_of_rare_requests_that_crashes_replicas_is_refused)
{
    judge({ .world = { .crash = { .part = part }, .downFor = 1s }, .interval = 1200ms });
}

// Guards against an entry that starts later and knows nothing.
BOOST_AUTO_TEST_CASE(part_that_crashes_replicas_is_refused_by_an_entry_that_starts_later)
{
    auto crashes = PartCrashes({ .world = { .gateways = 1, .crash = { .part = part }, .downFor = 1s } });
    auto& crashing = crashes.crashing();
    while (crashing.crashes() < PartCrashes::crashesBefore)
        crashes.sendFor(150ms);
    crashes.sendFor(4s);
    const auto before = crashing.crashes();
    for (auto count = 0; count < 3; ++count) {
        crashing.world().startGateway();
        crashes.sendFor(2s);
    }
    BOOST_TEST(crashing.crashes() <= before + PartCrashes::maxLateSends);
    BOOST_TEST(crashes.lateSends() <= PartCrashes::maxLateSends);
}

// Guards against refusing what every request holds because all replicas were killed within a second, before any run of
// it was whole.
BOOST_AUTO_TEST_CASE(part_of_all_requests_at_replicas_killed_within_a_second_is_not_refused)
{
    auto crashing = CrashWorld({ .engines = 5, .crash = { .part = part }, .downFor = 1s, .slots = 4 });
    auto& world = crashing.world();
    const auto behave = [&](const standins::ReplicaStandin::Behaviour& behaviour) {
        for (auto index = std::size_t(0); index < crashing.replicas(); ++index)
            world.engine(index).behave(behaviour);
    };
    behave({ .sent = 0, .then = standins::ReplicaStandin::Behaviour::Then::Silence });
    auto running = std::vector<kj::Promise<wire::HttpAnswer>>();
    const auto runs = [&] {
        auto count = std::size_t(0);
        for (auto index = std::size_t(0); index < crashing.replicas(); ++index)
            count += world.engine(index).runs().empty() ? 0 : 1;
        return count;
    };
    for (auto number = std::size_t(0); number < 40; ++number) {
        running.push_back(world.begin({ .path = "/whole/x",
            .attempt = "first-" + std::to_string(number),
            .adapter = "a" + std::to_string(number % crashing.replicas()),
            .body = "prompt " + std::to_string(number),
            .prefix = "c0:60,f" + std::to_string(number) + ":10",
            .gateway = number % 2 }));
    }
    (void)world.until([&] { return runs() == crashing.replicas(); });
    BOOST_TEST_MESSAGE("requests run at " << runs() << " replicas");
    BOOST_REQUIRE(runs() == crashing.replicas());
    for (auto index = std::size_t(0); index < crashing.replicas(); ++index) {
        crashing.crash(index);
        world.wait(150ms);
    }
    for (auto& answer : running)
        (void)world.loop().wait(kj::mv(answer));
    behave({});
    world.wait(3s);
    for (auto number = std::size_t(0); number < 8; ++number) {
        const auto answer = world.ask({ .path = "/whole/x",
            .attempt = "after-" + std::to_string(number),
            .body = "later " + std::to_string(number),
            .prefix = "c0:60,a" + std::to_string(number) + ":10",
            .gateway = number % 2 });
        BOOST_TEST(answer.status == 200);
    }
}

// Guards against a request that waits for a place although it is known meanwhile that nobody will run it.
BOOST_AUTO_TEST_CASE(request_that_waits_while_its_part_becomes_known_is_refused_at_once)
{
    auto crashing = CrashWorld({ .engines = 1, .gateways = 1, .crash = { .part = part }, .slots = 1 });
    auto& world = crashing.world();
    world.engine(0).behave({ .runsFor = 2300ms });
    auto taking = world.begin({ .attempt = "taking", .body = "harmless" });
    BOOST_REQUIRE(world.until([&] { return world.engine(0).runs().size() == 1; }));
    auto answered = std::optional<Moment>();
    auto answer = world.begin({ .attempt = "waiting", .body = "waiting", .prefix = "dead:10,f1:10" })
                      .then([&](wire::HttpAnswer&& received) {
                          answered = world.loop().timers().now();
                          BOOST_TEST(received.status == 502);
                          BOOST_TEST(received.fields.get("Retry-After").empty());
                      })
                      .eagerlyEvaluate(nullptr);
    world.wait(300ms);
    tellOfCrashes(crashing, hashOfPart());
    BOOST_TEST(world.until([&] { return answered.has_value(); }));
    // The run that holds the place goes on.
    BOOST_TEST(!world.engine(0).runs().front().endedAt.has_value());
    BOOST_TEST(world.loop().wait(kj::mv(taking)).status == 200);
    BOOST_TEST(world.engine(0).runs().size() == 1U);
}

// Guards against a probe of each entry when a refusal has lasted, each of which crashes a replica.
BOOST_AUTO_TEST_CASE(part_that_still_crashes_replicas_is_probed_once_by_all_entries_together)
{
    auto crashes = PartCrashes({ .world = { .gateways = 4, .crash = { .part = part }, .downFor = 1s } });
    tellOfCrashes(crashes.crashing(), hashOfPart(), 30s);
    crashes.sendFor(5s);
    BOOST_TEST(crashes.crashing().crashes() == 1U);
}

// Guards against a refusal that nothing ends, as what is refused never runs.
BOOST_AUTO_TEST_CASE(part_whose_probe_is_whole_is_served_by_all_entries)
{
    auto crashing = CrashWorld({ .engines = 2 });
    auto& world = crashing.world();
    tellOfCrashes(crashing, hashOfPart(), 30s);
    auto asked = std::size_t(0);
    const auto status = [&](std::size_t gateway) {
        ++asked;
        const auto answer = world.ask({ .attempt = "attempt-" + std::to_string(asked),
            .body = "prompt " + std::to_string(asked),
            .prefix = "dead:10,f" + std::to_string(asked) + ":10",
            .gateway = gateway });
        world.wait(20ms);
        return answer.status;
    };
    BOOST_TEST(status(0) == 502);
    for (auto gateway = std::size_t(0); gateway < world.gateways(); ++gateway)
        BOOST_TEST(world.until([&] { return status(gateway) == 200; }));
}
