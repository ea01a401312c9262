// Limits of a client's connection: bytes that wait, answers that are taken slowly, limits that change.
#include "serving/CallerExchange.h"
#include "tests/harness/RawCaller.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace eelgrass;
using namespace eelgrass::serving;
using eelgrass::tests::RawCaller;

namespace {

constexpr auto idleTime = milliseconds(5000);
constexpr auto headerTime = milliseconds(2000);
constexpr auto aRequest = "GET /one HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr auto headOfABody = "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n";
// More than the kernel takes for a client that does not read.
constexpr auto largeAnswer = std::size_t(32) << 20U;

auto limitsWith(milliseconds idle, milliseconds header = headerTime) -> CallerLimits
{
    return { .http = {}, .headerTime = header, .idleTime = idle };
}

/// A client's connection whose requests are answered by the test. Time passes for its limits when the test says so.
struct Client {
    explicit Client(int receiveBuffer = 0)
        : caller("http://127.0.0.1:" + std::to_string(listener.port()), receiveBuffer)
    {
        until([&] { return connection != nullptr; });
    }

    auto accept(wire::ObjectPtr<GSocket> socket) -> void
    {
        auto hooks = CallerConnection::Hooks {
            .onRequest
            = [this](std::shared_ptr<CallerExchange> exchange, const wire::HttpRequestMessage&) { take(exchange); },
            .onClosed = [this](CallerConnection*) { closed = true; },
        };
        connection = std::make_shared<CallerConnection>(
            loop.timers(), std::move(socket), limitsWith(idleTime), std::move(hooks));
        connection->start();
    }
    auto take(const std::shared_ptr<CallerExchange>& exchange) -> void
    {
        exchanges.push_back(exchange);
        if (answersAtOnce)
            exchange->respond({ .status = 404 }, {});
    }
    auto until(const std::function<bool()>& done) -> void
    {
        while (!done())
            loop.wait(loop.sleep(1ms));
    }
    /// Lets everything that the client has sent be read.
    auto turn() -> void { loop.wait(loop.sleep(20ms)); }
    auto ask() -> void
    {
        const auto before = exchanges.size();
        BOOST_REQUIRE(caller.send(aRequest));
        until([&] { return exchanges.size() > before; });
    }
    /// What is due by then happens before anything is read, as in a process that has had no processor time.
    auto pass(Duration time) -> void
    {
        passed += time;
        loop.timers().runDue();
    }
    /// Takes everything that is sent to the client, until `done`.
    auto takeUntil(const std::function<bool()>& done) -> void
    {
        until([&] {
            while (caller.readable() && !done() && caller.receiveSome()) { }
            return done();
        });
    }
    auto answerRest() -> void
    {
        exchanges.back()->respond({ .status = 200 }, "answered");
        turn();
        BOOST_TEST(caller.receiveUntil("answered").ends_with("answered"));
    }

    Duration passed {};
    wire::MainLoop loop { [this] { return eelgrass::now() + passed; } };
    std::shared_ptr<CallerConnection> connection;
    std::vector<std::shared_ptr<CallerExchange>> exchanges;
    bool closed = false;
    bool answersAtOnce = false;
    wire::TcpListener listener { "127.0.0.1", 0,
        [this](wire::ObjectPtr<GSocket> socket) { accept(std::move(socket)); } };
    RawCaller caller;
};

constexpr auto smallBuffer = 4096;

} // namespace

// Guards against the end of an answer that is cut off because the client takes it for longer than the idle limit.
BOOST_AUTO_TEST_CASE(an_answer_that_is_taken_slowly_is_sent_whole)
{
    auto client = Client(smallBuffer);
    client.ask();
    client.exchanges[0]->respond({ .status = 200 }, std::string(largeAnswer, 'x'));
    client.pass(idleTime);
    BOOST_REQUIRE(!client.closed);
    client.takeUntil([&] { return client.caller.received().size() > largeAnswer; });
    client.turn();
    // The client may stay idle from the end of the answer on.
    client.pass(idleTime * 4 / 5);
    client.ask();
    client.answerRest();
}

// Guards against the end of an answer that is cut off because the client takes it for longer than a connection lingers
// after its last answer.
BOOST_AUTO_TEST_CASE(the_last_answer_of_a_stopping_entry_is_sent_whole)
{
    auto client = Client(smallBuffer);
    client.ask();
    client.connection->closeSoon();
    client.exchanges[0]->respond({ .status = 200 }, std::string(largeAnswer, 'x'));
    client.pass(10s);
    BOOST_REQUIRE(!client.closed);
    client.takeUntil([&] { return client.caller.received().size() > largeAnswer; });
    client.turn();
    client.pass(10s);
    BOOST_TEST(client.closed);
}

// Guards against a connection that is closed as idle, by an entry that is told to stop, while the client takes its
// answer.
BOOST_AUTO_TEST_CASE(an_answer_that_is_taken_slowly_when_a_stop_begins_is_sent_whole)
{
    auto client = Client(smallBuffer);
    client.ask();
    client.exchanges[0]->respond({ .status = 200 }, std::string(largeAnswer, 'x'));
    client.connection->closeSoon();
    client.connection->closeIfIdle();
    client.pass(10s);
    BOOST_REQUIRE(!client.closed);
    client.takeUntil([&] { return client.caller.received().size() > largeAnswer; });
}

// Guards against a request that is not read because its connection reaches the idle limit while the entry has no
// processor time.
BOOST_AUTO_TEST_CASE(a_request_that_waits_to_be_read_at_the_idle_limit_is_read)
{
    auto client = Client();
    BOOST_REQUIRE(client.caller.send(aRequest));
    client.pass(idleTime);
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
}

// The same for the rest of a body, whose pauses the idle limit bounds.
BOOST_AUTO_TEST_CASE(a_body_whose_rest_waits_to_be_read_at_the_idle_limit_is_read)
{
    auto client = Client();
    BOOST_REQUIRE(client.caller.send(headOfABody));
    BOOST_REQUIRE(client.caller.send("12345"));
    client.turn();
    BOOST_REQUIRE(client.caller.send("67890"));
    client.pass(idleTime);
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
}

// Guards against a 408 for a head whose rest had come in time.
BOOST_AUTO_TEST_CASE(a_head_whose_rest_waits_to_be_read_at_its_limit_is_read)
{
    auto client = Client();
    BOOST_REQUIRE(client.caller.send("GET /one HTTP/1.1\r\nHo"));
    client.turn();
    BOOST_REQUIRE(client.caller.send("st: h\r\n\r\n"));
    client.pass(headerTime);
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
}

BOOST_AUTO_TEST_CASE(a_head_that_does_not_come_is_refused_at_its_limit)
{
    auto client = Client();
    BOOST_REQUIRE(client.caller.send("GET /one HTTP/1.1\r\nHo"));
    client.turn();
    client.pass(headerTime);
    BOOST_TEST(client.caller.receiveUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_at_its_limit)
{
    auto client = Client();
    client.ask();
    client.answerRest();
    client.pass(idleTime * 4 / 5);
    BOOST_TEST(!client.closed);
    client.pass(idleTime / 5);
    BOOST_TEST(client.closed);
}

// Guards against a connection that is closed by the limit that was in force when it became idle, while its client goes
// by the one that is in force now.
BOOST_AUTO_TEST_CASE(a_raised_idle_limit_applies_to_idle_connections)
{
    auto client = Client();
    client.ask();
    client.answerRest();
    client.pass(idleTime / 2);
    client.connection->setLimits(limitsWith(2 * idleTime));
    client.pass(idleTime);
    BOOST_REQUIRE(!client.closed);
    client.ask();
    client.answerRest();
    client.pass(2 * idleTime);
    BOOST_TEST(client.closed);
}

// The client may not have heard of the lower limit.
BOOST_AUTO_TEST_CASE(a_lowered_idle_limit_applies_from_the_next_request_on)
{
    auto client = Client();
    client.ask();
    client.answerRest();
    client.connection->setLimits(limitsWith(idleTime / 2));
    client.pass(idleTime * 4 / 5);
    BOOST_REQUIRE(!client.closed);
    client.ask();
    client.answerRest();
    client.pass(idleTime / 2);
    BOOST_TEST(client.closed);
}

// Guards against a 408 by the limit that was in force when the head began.
BOOST_AUTO_TEST_CASE(a_raised_limit_on_a_heads_time_applies_to_a_head_that_has_begun)
{
    auto client = Client();
    BOOST_REQUIRE(client.caller.send("GET /one HTTP/1.1\r\nHo"));
    client.turn();
    client.connection->setLimits(limitsWith(idleTime, 2 * headerTime));
    client.pass(headerTime);
    BOOST_REQUIRE(client.caller.send("st: h\r\n\r\n"));
    client.until([&] { return client.exchanges.size() == 1U || client.caller.readable(); });
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
}

// Guards against a 431 for a request within the limits under which it was begun.
BOOST_AUTO_TEST_CASE(a_lowered_limit_on_heads_applies_from_the_next_request_on)
{
    auto client = Client();
    auto lower = limitsWith(idleTime);
    lower.http.headerBytes = 512;
    BOOST_REQUIRE(client.caller.send("GET /one HTTP/1.1\r\nHost: h\r\nLong: " + std::string(2000, 'x')));
    client.turn();
    client.connection->setLimits(lower);
    BOOST_REQUIRE(client.caller.send("x"));
    client.turn();
    BOOST_REQUIRE(client.caller.send("\r\n\r\n"));
    client.until([&] { return client.exchanges.size() == 1U || client.caller.readable(); });
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
    BOOST_REQUIRE(client.caller.send("GET /two HTTP/1.1\r\nHost: h\r\nLong: " + std::string(2000, 'x') + "\r\n\r\n"));
    client.until([&] { return client.caller.readable(); });
    BOOST_TEST(client.caller.receiveUntil("431").find("HTTP/1.1 431") != std::string::npos);
}

// Guards against a 413 for a request within the limits under which it was begun.
BOOST_AUTO_TEST_CASE(a_lowered_limit_on_bodies_applies_from_the_next_request_on)
{
    auto client = Client();
    auto lower = limitsWith(idleTime);
    lower.http.bodyBytes = 4;
    BOOST_REQUIRE(client.caller.send(headOfABody));
    BOOST_REQUIRE(client.caller.send("12345"));
    client.turn();
    client.connection->setLimits(lower);
    BOOST_REQUIRE(client.caller.send("67890"));
    client.until([&] { return client.exchanges.size() == 1U || client.caller.readable(); });
    BOOST_REQUIRE(client.exchanges.size() == 1U);
    client.answerRest();
    BOOST_REQUIRE(client.caller.send(headOfABody));
    client.until([&] { return client.caller.readable(); });
    BOOST_TEST(client.caller.receiveUntil("413").find("HTTP/1.1 413") != std::string::npos);
}

// Guards against a crash of the entry, which ends every open request on it, by a client that sends many requests
// together: each answer that is written at once began the next request one call deeper.
BOOST_AUTO_TEST_CASE(requests_that_are_sent_together_and_answered_at_once_are_all_answered)
{
    // As many as fit into the bytes that are read ahead.
    constexpr auto pieces = std::size_t(6);
    constexpr auto perPiece = std::size_t(1900);
    auto client = Client();
    client.ask();
    client.answersAtOnce = true;
    auto piece = std::string();
    for (auto index = std::size_t(0); index < perPiece; ++index)
        piece += "GET / HTTP/1.1\r\nHost:h\r\n\r\n";
    for (auto index = std::size_t(0); index < pieces; ++index) {
        BOOST_REQUIRE(client.caller.send(piece));
        client.turn();
    }
    client.exchanges[0]->respond({ .status = 200 }, {});
    client.until([&] { return client.exchanges.size() == pieces * perPiece + 1; });
    BOOST_TEST(!client.closed);
}
