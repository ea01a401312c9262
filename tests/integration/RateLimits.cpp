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
    /// Sends requests at the same moment, to the entries in turn or to one of them; returns the answers.
    auto burst(const std::string& path, std::size_t requests, std::optional<std::size_t> entry = {},
        std::uint64_t deadlineMs = 800) -> std::vector<wire::HttpAnswer>
    {
        auto calls = kj::heapArrayBuilder<kj::Promise<wire::HttpAnswer>>(requests);
        for (auto index = std::size_t(0); index < requests; ++index)
            calls.add(world.begin({ .path = path,
                .attempt = "burst-" + std::to_string(++sent),
                .deadlineMs = deadlineMs,
                .gateway = entry.value_or(index % world.gateways()) }));
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

// Guards against a replica in need that is given more than it can take because nobody counts what all entries send.
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
