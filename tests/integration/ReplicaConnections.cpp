// Connections to replicas that answer early, without a length, or end.
#include "serving/ReplicaLeg.h"
#include "tests/harness/ServingWorld.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace eelgrass;
using namespace eelgrass::serving;
using eelgrass::standins::ReplicaStandin;
using eelgrass::tests::ServingWorld;

namespace {

constexpr auto anAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
constexpr auto unboundedAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole";
// More than the kernel takes for a replica that does not read.
constexpr auto largeBody = std::size_t(32) << 20U;

/// A replica whose connections the test reads, answers and ends.
struct ReplicaEnd {
    auto accept(wire::ObjectPtr<GSocket> socket) -> void
    {
        ends.push_back(std::make_unique<wire::TcpConnection>(std::move(socket)));
        ends.back()->setHandlers({ .onData = [this] { ++heard; } });
    }
    auto until(const std::function<bool()>& done) -> void
    {
        while (!done())
            loop.wait(loop.sleep(1ms));
    }
    auto send(const std::shared_ptr<ReplicaConnection>& connection, const std::string& body) -> void
    {
        answer.clear();
        done = false;
        fault.reset();
        connection->send("POST / HTTP/1.1\r\nHost: h\r\n\r\n", body, [](const auto&) { return true; },
            { .onHead = [](const wire::HttpResponseHead&) {},
                .onBody = [this](std::string_view bytes) { answer.append(bytes); },
                .onDone = [this] { done = true; },
                .onFault = [this](ReplicaFault how) { fault = how; } });
    }
    /// A connection that has carried a request and is kept.
    auto keep() -> std::shared_ptr<ReplicaConnection>
    {
        auto connection = pool.take(true);
        send(connection, {});
        until([&] { return heard > 0; });
        ends.back()->write(anAnswer);
        until([&] { return done; });
        pool.giveBack(connection);
        return connection;
    }

    wire::MainLoop loop;
    std::vector<std::unique_ptr<wire::TcpConnection>> ends;
    int heard = 0;
    wire::TcpListener listener { "127.0.0.1", 0,
        [this](wire::ObjectPtr<GSocket> socket) { accept(std::move(socket)); } };
    ConnectionPool pool { loop.timers(), { "127.0.0.1", listener.port() } };
    std::string answer;
    bool done = false;
    std::optional<ReplicaFault> fault;
};

} // namespace

// Guards against a request that may run once and ends without its answer, because it is written to a connection whose
// end has come but has not been read.
BOOST_AUTO_TEST_CASE(a_kept_connection_whose_end_waits_to_be_read_is_not_used)
{
    auto replica = ReplicaEnd();
    const auto kept = replica.keep();
    BOOST_REQUIRE(replica.pool.idle() == 1U);
    replica.ends.clear();
    BOOST_TEST((replica.pool.take(true) != kept));
}

// Guards against bytes of an earlier request that are taken for the beginning of the next answer.
BOOST_AUTO_TEST_CASE(a_kept_connection_with_bytes_that_nobody_asked_for_is_not_used)
{
    auto replica = ReplicaEnd();
    const auto kept = replica.keep();
    replica.ends.back()->write("HTTP/1.1 200 OK\r\n");
    BOOST_TEST((replica.pool.take(true) != kept));
}

BOOST_AUTO_TEST_CASE(a_kept_connection_is_used_again)
{
    auto replica = ReplicaEnd();
    const auto kept = replica.keep();
    BOOST_TEST((replica.pool.take(true) == kept));
}

// A replica may answer before it has read the body. What it would read next belongs to that request.
BOOST_AUTO_TEST_CASE(an_answer_before_the_body_is_read_is_whole_and_its_connection_is_not_kept)
{
    auto replica = ReplicaEnd();
    const auto connection = replica.pool.take(true);
    replica.until([&] { return !replica.ends.empty(); });
    replica.ends.back()->pauseReading();
    replica.send(connection, std::string(largeBody, 'x'));
    replica.ends.back()->write(anAnswer);
    replica.until([&] { return replica.done || replica.fault; });
    BOOST_TEST(replica.done);
    BOOST_TEST(replica.answer == "whole");
    BOOST_TEST(!connection->reusable());
}

// The replica closes with the body unread, which resets the connection behind the answer.
BOOST_AUTO_TEST_CASE(an_answer_before_the_body_is_read_is_whole_though_a_reset_follows)
{
    auto replica = ReplicaEnd();
    const auto connection = replica.pool.take(true);
    replica.until([&] { return !replica.ends.empty(); });
    replica.ends.back()->pauseReading();
    replica.send(connection, std::string(largeBody, 'x'));
    replica.ends.back()->write(anAnswer);
    replica.ends.clear();
    replica.until([&] { return replica.done || replica.fault; });
    BOOST_TEST(replica.done);
    BOOST_TEST(replica.answer == "whole");
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_ends_with_its_connection)
{
    auto replica = ReplicaEnd();
    const auto connection = replica.pool.take(true);
    replica.send(connection, {});
    replica.until([&] { return replica.heard > 0; });
    replica.ends.back()->write(unboundedAnswer);
    replica.ends.clear();
    replica.until([&] { return replica.done || replica.fault; });
    BOOST_TEST(replica.done);
    BOOST_TEST(replica.answer == "whole");
    BOOST_TEST(!connection->reusable());
}

// Guards against an answer that is passed on as whole though its replica was reset on the way.
BOOST_AUTO_TEST_CASE(an_answer_without_a_length_that_is_reset_is_not_whole)
{
    auto replica = ReplicaEnd();
    const auto connection = replica.pool.take(true);
    replica.send(connection, {});
    replica.until([&] { return replica.heard > 0; });
    replica.ends.back()->write(unboundedAnswer);
    replica.until([&] { return !replica.answer.empty(); });
    replica.ends.back()->reset();
    replica.until([&] { return replica.done || replica.fault; });
    BOOST_TEST(!replica.done);
}

// Guards against a request that may run once and ends with neither an answer nor a failure, or runs again, because the
// connection to its replica ended as it was written.
BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_fails_when_its_connection_ends_without_an_answer)
{
    auto world = ServingWorld(1, 0);
    world.startGateway();
    world.engine(0).behave({ .sent = 0, .then = ReplicaStandin::Behaviour::Then::Reset });
    const auto answer = world.ask({ .path = "/whole/x" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(world.engine(0).runs().size() == 1U);
}
