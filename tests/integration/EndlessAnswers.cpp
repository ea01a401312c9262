// Servers in trouble that send bytes without end, which are no answer, until their caller closes.
#include "tests/harness/ByteCaller.h"
#include "tests/harness/EndlessServer.h"
#include "tests/harness/GatewayProcess.h"
#include "tests/harness/ServingWorld.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <list>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

// What a caller may take of one endless answer: what the kernel buffers on both sides, and the longest answer kept.
constexpr auto maxTaken = std::size_t(24) << 20U;
// A gateway has 260 MB; 100 of them are for its other work.
constexpr auto maxGatewayMemoryKb = 160 * 1024;

struct Form {
    const char* name;
    EndlessServer::Bytes bytes;
};

auto operator<<(std::ostream& out, const Form& form) -> std::ostream& { return out << form.name; }

auto head(const std::string& status, const std::string& fields, const std::string& attempt = "ATTEMPT") -> std::string
{
    return "HTTP/1.1 " + status + "\r\nX-Eelgrassrouter-Attempt-Id: " + attempt
        + "\r\nX-Eelgrassrouter-Server-Seal: s\r\n" + fields + "\r\n";
}

const auto chunked = std::string("Transfer-Encoding: chunked\r\n");
const auto plainForms = std::vector<Form> {
    { "no HTTP", { "", "x" } },
    { "empty lines", { "", "\r\n" } },
    { "head line", { "HTTP/1.1 200 OK\r\nX: ", "x" } },
    { "head lines", { "HTTP/1.1 200 OK\r\n", "X: y\r\n" } },
    { "interim answers", { "", "HTTP/1.1 102 Processing\r\n\r\n" } },
    { "answers to others", { "", head("200 OK", "Content-Length: 5\r\n", "stranger") + "whole" } },
    { "body of an answer to another", { head("200 OK", "", "stranger"), "x" } },
    { "body without a length", { head("200 OK", ""), "x" } },
    { "body with a huge length", { head("200 OK", "Content-Length: 1000000000000\r\n"), "x" } },
    { "body in chunks", { head("200 OK", chunked), "5\r\nwhole\r\n" } },
    { "body of a failure", { head("500 Failed", ""), "x" } },
    { "chunk extension", { head("200 OK", chunked) + "5;", "x" } },
    { "chunk extensions", { head("200 OK", chunked), "1;" + std::string(4000, 'e') + "\r\nx\r\n" } },
    { "trailer line", { head("200 OK", chunked) + "5\r\nwhole\r\n0\r\nX: ", "x" } },
    { "trailer lines", { head("200 OK", chunked) + "5\r\nwhole\r\n0\r\n", "X: y\r\n" } },
};
const auto streamForms = std::vector<Form> {
    { "event", { head("200 OK", ""), "x" } },
    { "event after a whole one", { head("200 OK", "") + "id: 1\ndata: token\n\n", "x" } },
    { "event in chunks", { head("200 OK", chunked), "5\r\nwhole\r\n" } },
    { "body of a failure", { head("500 Failed", ""), "x" } },
    { "interim answers", { "", "HTTP/1.1 102 Processing\r\n\r\n" } },
};

const auto endlessForms
    = std::vector<Form> { plainForms[3], plainForms[7], plainForms[9], plainForms[11], plainForms[13] };

const auto callForms = std::vector<Form> { plainForms[0], plainForms[3], plainForms[4], plainForms[7], plainForms[9],
    plainForms[11], plainForms[13] };

auto publish(ServingWorld& world, const EndlessServer& server, const std::string& service = "plain") -> void
{
    world.store().put("servers", "endless", server.entry(service));
}

/// Lets the replicas of a service serve the routes whose requests run once.
auto setService(nlohmann::json& configuration, const std::string& service) -> void
{
    for (auto& route : configuration["routes"]) {
        if (route["name"] == "whole" || route["name"] == "once")
            route["service"] = service;
    }
}

/// Peak of the process' resident memory.
auto peakMemoryKb(int pid) -> long
{
    auto status = std::ifstream("/proc/" + std::to_string(pid) + "/status");
    auto word = std::string();
    while (status >> word) {
        if (word == "VmHWM:") {
            auto size = 0L;
            status >> size;
            return size;
        }
    }
    return 0;
}

/// A gateway process with routes to a service whose only replica never ends its answers.
struct EndlessGateway {
    explicit EndlessGateway(const EndlessServer::Bytes& bytes)
        : server(bytes)
    {
        gateway.store().put("servers", "endless-0", server.entry("endless"));
        gateway.until([&] { return gateway.process().log().find("endless-0") != std::string::npos; });
    }
    /// As many requests at once, all of them at the server before its answers begin; how many the gateway ended with a
    /// failure.
    auto failedOf(std::size_t count) -> std::size_t
    {
        auto callers = std::list<ByteCaller>();
        server.hold();
        for (auto index = std::size_t(0); index < count; ++index) {
            const auto call = RawCall { .attempt = "attempt-" + std::to_string(index),
                .deadlineMs = 2500,
                .body = "prompt-" + std::to_string(index) };
            callers.emplace_back(gateway.port()).send(call.text());
        }
        gateway.until([&] { return server.requests() == count; });
        server.release();
        gateway.until([&] {
            return std::none_of(callers.begin(), callers.end(), [](auto& caller) { return caller.answers().empty(); });
        });
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [](auto& caller) {
            const auto status = caller.answers().front().status;
            return status == 502 || status == 504;
        }));
    }

    GatewayProcess gateway { GatewayProcess::Options { .configure = [](nlohmann::json& configuration) {
        configuration["services"].push_back(
            { { "name", "endless" }, { "healthPath", "/health" }, { "maxConns", 1000 } });
        setService(configuration, "endless");
    } } };
    EndlessServer server;
};

} // namespace

// Guards against a gateway whose memory and processor one broken replica takes, with every request on it.
BOOST_DATA_TEST_CASE(a_plain_answer_without_end_fails_its_request_and_is_closed, plainForms)
{
    auto world = ServingWorld(1, 0);
    auto server = EndlessServer(sample.bytes);
    publish(world, server);
    world.startGateway();
    const auto answer = world.ask({ .path = "/once/x", .deadlineMs = 1500 });
    BOOST_TEST((answer.status == 502 || answer.status == 504));
    BOOST_TEST(server.requests() == 1U);
    BOOST_TEST(world.until([&] { return server.open() == 0; }));
    BOOST_TEST(server.sent() < maxTaken);
}

// Guards against requests that end with the first replica that sends bytes without end, and against sending it more.
BOOST_DATA_TEST_CASE(a_request_with_an_endless_answer_is_moved_and_its_replica_avoided, plainForms)
{
    auto world = ServingWorld(1, 1);
    auto server = EndlessServer(sample.bytes);
    publish(world, server);
    world.startGateway();
    const auto request = [](int index) {
        // Different bodies, since a request that breaks several replicas is not sent to others.
        return ServingWorld::Request { .path = "/safe/x",
            .attempt = "attempt-" + std::to_string(index),
            .body = "prompt-" + std::to_string(index),
            .deadlineMs = 1500 };
    };
    // At once, so that both replicas get some.
    auto answers = std::vector<kj::Promise<wire::HttpAnswer>>();
    for (auto index = 0; index < 6; ++index)
        answers.push_back(world.begin(request(index)));
    for (auto& answer : answers)
        BOOST_TEST(world.loop().wait(kj::mv(answer)).status == 200);
    const auto failed = server.requests();
    BOOST_TEST(failed > 0U);
    for (auto index = 6; index < 10; ++index)
        BOOST_TEST(world.ask(request(index)).status == 200);
    BOOST_TEST(server.requests() == failed);
    BOOST_TEST(world.until([&] { return server.open() == 0; }));
    BOOST_TEST(server.sent() < failed * maxTaken);
}

// Guards against a stream's event that takes the gateway's memory, and against half a stream that looks whole.
BOOST_DATA_TEST_CASE(a_stream_without_an_end_of_its_event_breaks_off, streamForms)
{
    auto world = ServingWorld(1, 0);
    auto server = EndlessServer(sample.bytes);
    publish(world, server);
    auto configuration = nlohmann::json::parse(servingConfiguration(2));
    setService(configuration, "plain");
    world.store().put("op", "config", configuration.dump());
    world.startGateway();
    const auto answer = world.receive({ .path = "/whole/x", .adapter = "", .deadlineMs = 1500 });
    BOOST_TEST(!(answer.status == 200 && answer.whole));
    BOOST_TEST(world.until([&] { return server.open() == 0; }));
    BOOST_TEST(server.requests() == 1U);
    BOOST_TEST(server.sent() < maxTaken);
}

// Guards against an answer that is lost because more bytes follow it, and against keeping those bytes.
BOOST_AUTO_TEST_CASE(bytes_without_end_after_a_whole_answer_close_the_connection)
{
    auto world = ServingWorld(1, 0);
    auto server = EndlessServer({ head("200 OK", "Content-Length: 2\r\n") + "ok", "x" });
    publish(world, server);
    world.startGateway();
    const auto answer = world.ask({ .path = "/once/x" });
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "ok");
    BOOST_TEST(world.until([&] { return server.open() == 0; }));
    BOOST_TEST(server.sent() < maxTaken);
}

// Guards against a process that is ended for its memory by replicas that all fall into trouble at once.
BOOST_DATA_TEST_CASE(two_hundred_endless_answers_at_once_fit_into_memory, endlessForms)
{
    auto world = EndlessGateway(sample.bytes);
    BOOST_TEST(world.failedOf(200) == 200U);
    BOOST_TEST_MESSAGE("peak memory " << peakMemoryKb(world.gateway.process().pid()) << " kB");
    BOOST_TEST(peakMemoryKb(world.gateway.process().pid()) < maxGatewayMemoryKb);
    world.gateway.until([&] { return world.server.open() == 0; });
}

// Guards against a loop that reads one connection for as long as bytes come, while all other requests wait.
BOOST_AUTO_TEST_CASE(requests_are_answered_while_a_replica_sends_without_end)
{
    auto world = EndlessGateway({ head("200 OK", ""), "id: 1\ndata: token\n\n" });
    auto stream = ByteCaller(world.gateway.port());
    stream.send(RawCall { .path = "/whole/x", .deadlineMs = 20000 }.text());
    world.gateway.until([&] { return world.server.requests() == 1; });
    auto other = ByteCaller(world.gateway.port());
    other.send("GET /none HTTP/1.1\r\nHost: users.example\r\n\r\n");
    world.gateway.until([&] { return !other.answers().empty(); });
    BOOST_TEST(world.server.open() == 1U);
    BOOST_TEST(world.server.sent() < EndlessServer::maxBytes);
}

// Guards against an agent whose memory its replica takes with one report.
BOOST_DATA_TEST_CASE(an_endless_report_is_no_report, callForms)
{
    auto loop = wire::MainLoop();
    auto store = standins::StoreStandin(loop.timers());
    auto server = EndlessServer(sample.bytes);
    store.put("op", "config", servingConfiguration(1));
    store.put("servers", "endless", server.entry("engine"));
    auto agent = serving::AgentRole(loop,
        { .host = { .name = "agent",
              .zone = AvailabilityZone("zone-1"),
              .store = store.endpoint(),
              .address = "127.0.0.1" },
            .replica = server.endpoint(),
            .service = serving::ServiceName("engine") });
    agent.start();
    while (server.requests() < 3)
        loop.wait(loop.sleep(5ms));
    BOOST_TEST(server.open() <= 1U);
    BOOST_TEST(server.sent() < server.requests() * maxTaken);
}

// Guards against a gateway whose memory the store takes, and that never asks the store again.
BOOST_DATA_TEST_CASE(an_endless_answer_of_the_store_is_no_answer, callForms)
{
    auto world = ServingWorld(0, 0);
    auto server = EndlessServer(sample.bytes);
    world.settings().host.store = server.endpoint();
    world.startGateway(false);
    BOOST_TEST(world.until([&] { return server.requests() >= 4; }));
    // One connection for long polls, one for other calls.
    BOOST_TEST(server.open() <= 2U);
    BOOST_TEST(server.sent() < server.requests() * maxTaken);
}
