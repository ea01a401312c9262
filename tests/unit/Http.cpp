#include "tests/harness/StreamPair.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

constexpr auto bodyLimit = std::size_t(1000);

struct Fixture {
    wire::MainLoop loop;
    std::deque<wire::HttpExchangePtr> exchanges;
    kj::Own<kj::PromiseFulfiller<void>> arrived;
    wire::HttpServer server { "127.0.0.1", 0, bodyLimit, [this](const wire::HttpExchangePtr& exchange) {
                                 exchanges.push_back(exchange);
                                 if (arrived)
                                     arrived->fulfill();
                             } };
    wire::HttpClient client { 4, 0 };

    auto get(std::string body = {}) -> wire::HttpRequest
    {
        return {
            .method = "POST", .url = "http://127.0.0.1:" + std::to_string(server.port()) + "/p?a=1", .body = body
        };
    }
    auto nextExchange() -> wire::HttpExchangePtr
    {
        if (exchanges.empty()) {
            auto pair = kj::newPromiseAndFulfiller<void>();
            arrived = kj::mv(pair.fulfiller);
            loop.wait(kj::mv(pair.promise));
        }
        auto first = exchanges.front();
        exchanges.pop_front();
        return first;
    }
    /// Kept when the exchange is over, with whether its caller got everything.
    static auto over(const wire::HttpExchangePtr& exchange) -> kj::Promise<bool>
    {
        auto pair = kj::newPromiseAndFulfiller<bool>();
        exchange->onOver([fulfiller = std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller))](
                             bool whole) { (*fulfiller)->fulfill(kj::cp(whole)); });
        return kj::mv(pair.promise);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_whole_answer_reaches_its_caller, Fixture)
{
    auto fetching = client.fetch(get("question"));
    auto exchange = nextExchange();
    BOOST_TEST(exchange->body() == "question");
    BOOST_TEST(exchange->query("a") == "1");
    auto ended = over(exchange);
    exchange->respond(201, "text/plain", "answer");
    const auto got = loop.wait(kj::mv(fetching));
    BOOST_TEST(got.status == 201);
    BOOST_TEST(got.body == "answer");
    BOOST_TEST(loop.wait(kj::mv(ended)));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_hangs_up_while_it_waits_is_noticed, Fixture)
{
    auto fetching = client.fetch(get());
    auto exchange = nextExchange();
    auto ended = over(exchange);
    fetching = nullptr;
    BOOST_TEST(!loop.wait(kj::mv(ended)));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_drops_a_stream_with_a_read_under_way_is_noticed, Fixture)
{
    auto opening = client.open(get());
    auto exchange = nextExchange();
    exchange->begin(200, "text/event-stream");
    exchange->send("first");
    auto stream = loop.wait(kj::mv(opening));
    BOOST_TEST(loop.wait(stream->read()) == "first");
    auto reading = stream->read();
    auto ended = over(exchange);
    reading = nullptr;
    stream = nullptr;
    BOOST_TEST(!loop.wait(kj::mv(ended)));
    exchange->send("nobody reads this");
    exchange->finish();
    exchange->abort();
}

BOOST_FIXTURE_TEST_CASE(an_aborted_answer_has_no_last_chunk_on_the_wire, Fixture)
{
    auto stream = loop.wait(wire::connectTo("127.0.0.1", server.port()));
    const auto head = std::string("GET /p HTTP/1.1\r\nHost: x\r\n\r\n");
    loop.wait(stream->write(head.data(), head.size()));
    auto exchange = nextExchange();
    exchange->begin(200, "text/event-stream");
    exchange->send("first");
    auto got = std::string();
    auto buffer = std::string(1000, 0);
    while (got.find("first") == std::string::npos)
        got.append(buffer, 0, loop.wait(stream->tryRead(buffer.data(), 1, buffer.size())));
    exchange->abort();
    for (auto size = loop.wait(stream->tryRead(buffer.data(), 1, buffer.size())); size > 0;
         size = loop.wait(stream->tryRead(buffer.data(), 1, buffer.size())))
        got.append(buffer, 0, size);
    BOOST_TEST(got.find("\r\n0\r\n") == std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(a_request_whose_connection_dies_is_not_sent_again, Fixture)
{
    // The caller sees a failed call, and decides itself. A library that sends a request again on another connection
    // runs a filed submission twice: it does so for methods that are called idempotent, on a kept connection.
    for (const auto* method : { "POST", "GET", "PUT", "DELETE" }) {
        auto first = client.fetch(get());
        nextExchange()->respond(200, "text/plain", "kept alive");
        loop.wait(kj::mv(first));
        auto request = get();
        request.method = method;
        request.once = true;
        auto second = client.fetch(kj::mv(request)).ignoreResult().exclusiveJoin(loop.sleep(1s));
        nextExchange()->abort();
        failureOf(loop, kj::mv(second));
        BOOST_TEST(exchanges.empty());
    }
}

BOOST_FIXTURE_TEST_CASE(an_answer_aborted_before_it_began_is_a_failed_call, Fixture)
{
    auto fetching = client.fetch(get());
    nextExchange()->abort();
    failureOf(loop, kj::mv(fetching));
    BOOST_TEST(true);
}

BOOST_FIXTURE_TEST_CASE(a_slow_reader_holds_a_backlog_that_shrinks_as_it_reads, Fixture)
{
    constexpr auto size = std::size_t(16) << 20U;
    auto opening = client.open(get());
    auto exchange = nextExchange();
    auto drained = kj::newPromiseAndFulfiller<void>();
    exchange->onDrained([&] { drained.fulfiller->fulfill(); });
    exchange->begin(200, "text/plain");
    auto stream = loop.wait(kj::mv(opening));
    exchange->send(std::string(size, 'a'));
    exchange->send("end");
    BOOST_TEST(exchange->backlog() == size + 3);
    exchange->finish();
    auto ended = over(exchange);
    const auto got = loop.wait(stream->readAll(size + 3));
    BOOST_TEST(got.size() == size + 3);
    BOOST_TEST(got.ends_with("aend"));
    loop.wait(kj::mv(drained.promise));
    BOOST_TEST(loop.wait(kj::mv(ended)));
    BOOST_TEST(exchange->backlog() == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_over_the_readers_limit_is_rejected, Fixture)
{
    auto opening = client.open(get());
    nextExchange()->respond(200, "text/plain", "four");
    auto stream = loop.wait(kj::mv(opening));
    failureOf(loop, stream->readAll(3));
    BOOST_TEST(true);
}

BOOST_FIXTURE_TEST_CASE(a_body_over_the_limit_is_refused_without_a_handler, Fixture)
{
    const auto got = loop.wait(client.fetch(get(std::string(bodyLimit + 1, 'b'))));
    BOOST_TEST(got.status == 413);
    BOOST_TEST(exchanges.empty());
}

// Two lengths, or a length beside a transfer coding, let one reader see another request where this one sees a body. The
// answer is a refusal, and no handler sees either request.
BOOST_FIXTURE_TEST_CASE(a_request_of_two_lengths_is_refused_without_a_handler, Fixture)
{
    for (const auto* framing : { "Content-Length: 4\r\nContent-Length: 40\r\n",
             "Content-Length: 40\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n" }) {
        auto stream = loop.wait(wire::connectTo("127.0.0.1", server.port()));
        const auto text = std::string("POST /p HTTP/1.1\r\nHost: x\r\n") + framing + "\r\nabcd";
        loop.wait(stream->write(text.data(), text.size()));
        auto buffer = std::string(1000, 0);
        const auto size = loop.wait(stream->tryRead(buffer.data(), 1, buffer.size()));
        BOOST_TEST(buffer.substr(0, size).starts_with("HTTP/1.1 400"));
        BOOST_TEST(exchanges.empty());
    }
}

BOOST_FIXTURE_TEST_CASE(a_server_may_go_while_an_answer_is_under_way, Fixture)
{
    auto fetching = client.fetch(get());
    auto exchange = nextExchange();
    server.close();
    exchange->respond(200, "text/plain", "still answered");
    BOOST_TEST(loop.wait(kj::mv(fetching)).body == "still answered");
}

BOOST_FIXTURE_TEST_CASE(calls_over_and_dropped_streams_give_their_connections_back, Fixture)
{
    // More calls than connections, one after another: one that kept its connection would hold up the fifth for good.
    for (auto round = 0; round < 10; ++round) {
        auto whole = client.fetch(get());
        nextExchange()->respond(200, "text/plain", "whole");
        loop.wait(kj::mv(whole));
        auto opening = client.open(get());
        auto exchange = nextExchange();
        exchange->begin(200, "text/plain");
        exchange->send("first");
        auto stream = loop.wait(kj::mv(opening));
        BOOST_TEST(loop.wait(stream->read()) == "first");
        if (round % 2 == 0) {
            exchange->finish();
            BOOST_TEST(loop.wait(stream->read()).empty());
        }
        auto unanswered = client.fetch(get());
        nextExchange();
    }
}
