// Clients that take their answers slowly while their entry stops. The entry is a process of its own and gets a real
// SIGTERM, and a SIGKILL when its grace period is over.
#include "tests/harness/StopTraffic.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

using Json = nlohmann::json;

constexpr auto grace = std::chrono::milliseconds(8000);
constexpr auto routeTime = std::chrono::milliseconds(12000);
constexpr auto paths = std::array { "/once/x", "/safe/x", "/whole/x", "/resumable/x" };

auto patientLimits(Json& configuration) -> void
{
    for (auto& route : configuration["routes"]) {
        route["timeoutMs"] = routeTime.count();
        route["targetLatencyMs"] = 6000;
    }
    configuration["limits"]["headerTimeoutMs"] = 20000;
    configuration["limits"]["idleTimeoutMs"] = 20000;
}

struct World : GatewayProcess {
    World()
        : GatewayProcess({ .grace = grace, .configure = patientLimits })
        , traffic(*this, { &engine(), &plain() }, routeTime)
    {
        for (const auto* path : paths) {
            auto served = false;
            while (!served) {
                auto caller = ByteCaller(port());
                caller.send(RawCall { .path = path, .attempt = "first" }.text());
                until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
                served = !caller.answers().empty() && caller.answers().front().status == 200;
            }
        }
    }
    auto judge() -> void
    {
        traffic.finish();
        for (const auto& violation : traffic.violations())
            BOOST_ERROR(violation);
        for (const auto& [end, count] : traffic.ends())
            BOOST_TEST_MESSAGE(count << " x " << end);
        BOOST_TEST(process().exitCode() == 0);
    }

    StopTraffic traffic;
};

} // namespace

// Guards against an answer that its replica has given whole and that is cut because its client takes it slowly.
BOOST_AUTO_TEST_CASE(clients_that_read_slowly_have_their_answers_whole)
{
    auto world = World();
    auto& traffic = world.traffic;
    constexpr auto manyEvents = std::uint64_t(20000);
    world.engine().behave({ .events = manyEvents });
    auto slow = std::vector<StopTraffic::Connection>();
    for (const auto resumeAt : { Duration(1s), Duration(3s), Duration(5s) }) {
        for (const auto* path : { "/whole/x", "/resumable/x" }) {
            const auto connection = traffic.ask({ .path = path });
            traffic.caller(connection).pauseReading();
            slow.push_back(connection);
            traffic.at(resumeAt, [&traffic, connection] { traffic.caller(connection).resumeReading(); });
        }
    }
    const auto before = world.engine().runs().size();
    world.until([&] { return world.engine().runs().size() >= before + slow.size() || !world.process().running(); });
    traffic.stop();
    world.judge();
    for (const auto connection : slow) {
        const auto answers = traffic.answersOf(connection);
        BOOST_REQUIRE(answers.size() == 1U);
        BOOST_TEST(answers.front().whole);
        BOOST_TEST((answers.front().body == standins::streamEvents(1, manyEvents)));
    }
}
