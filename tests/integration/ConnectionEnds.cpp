// How connections of ours take the end of a peer that has not read all that it was sent.
#include "tests/harness/StreamPair.h"
#include "tests/harness/TightPeer.h"
#include "wire/HttpCaller.h"
#include "wire/MainLoop.h"
#include "wire/TcpConnection.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

// More than the kernel takes for a peer that reads nothing.
const auto longRequest = std::string(std::size_t(8) << 20U, 'r');
constexpr auto rounds = 20;

/// What our end does between the peer's end and the next turn of the loop, which decides by which call it is told.
enum class Meanwhile { Nothing, Write, Pause, PauseAndWrite };
constexpr Meanwhile orders[] = { Meanwhile::Nothing, Meanwhile::Write, Meanwhile::Pause, Meanwhile::PauseAndWrite };

auto operator<<(std::ostream& out, Meanwhile order) -> std::ostream& { return out << static_cast<int>(order); }

/// A connection with a long request under way to a peer that reads none of it.
struct UnreadRequest {
    UnreadRequest()
    {
        connection = wire::TcpConnection::connect(
            peer.endpoint().address, peer.endpoint().port, { .onEnd = [this](wire::StreamEnd how) { end = how; } });
        connection->write(longRequest);
        until([&] { return peer.accept(); });
        until([&] { return connection->connected(); });
        BOOST_REQUIRE(connection->backlog() > 0U);
    }
    auto until(const std::function<bool()>& done) -> void
    {
        for (auto turn = 0; !done() && turn < 1000; ++turn)
            loop.wait(loop.sleep(1ms));
    }
    auto act(Meanwhile order) -> void
    {
        if (order == Meanwhile::Pause || order == Meanwhile::PauseAndWrite)
            connection->pauseReading();
        if (order == Meanwhile::Write || order == Meanwhile::PauseAndWrite)
            connection->write("more");
    }

    wire::MainLoop loop;
    TightPeer peer;
    std::unique_ptr<wire::TcpConnection> connection;
    std::optional<wire::StreamEnd> end;
};

} // namespace

// Guards against taking a part of an answer for all of it after a reset whose error was told to a write.
BOOST_DATA_TEST_CASE(reset_with_a_request_unsent_is_no_end_in_order, boost::unit_test::data::make(orders), order)
{
    for (auto round = 0; round < rounds; ++round) {
        auto request = UnreadRequest();
        request.peer.send("part of an answer");
        request.peer.close();
        request.act(order);
        request.until([&] { return request.end.has_value(); });
        BOOST_REQUIRE(request.end.has_value());
        BOOST_TEST(static_cast<int>(*request.end) == static_cast<int>(wire::StreamEnd::Reset));
    }
}

// Guards against losing a whole answer of a peer that closed in order, and was reset since the request was unread.
BOOST_DATA_TEST_CASE(
    end_in_order_with_a_request_unsent_stays_one_after_a_reset, boost::unit_test::data::make(orders), order)
{
    const auto answer = std::string(std::size_t(40) << 10U, 'a');
    for (auto round = 0; round < rounds; ++round) {
        auto request = UnreadRequest();
        request.peer.send(answer);
        request.peer.finish();
        request.peer.close();
        request.act(order);
        request.until([&] { return request.end.has_value(); });
        BOOST_REQUIRE(request.end.has_value());
        BOOST_TEST(static_cast<int>(*request.end) == static_cast<int>(wire::StreamEnd::Finished));
        BOOST_TEST(request.connection->input() == answer);
    }
}

// Guards against replicas that vanish from the list: a part of the store's answer that counts as all of it.
BOOST_AUTO_TEST_CASE(call_whose_answer_without_a_length_is_reset_fails)
{
    for (const auto inOrder : { false, true }) {
        auto loop = wire::MainLoop();
        auto peer = TightPeer();
        auto caller = wire::HttpCaller(loop.timers(), peer.endpoint().address, peer.endpoint().port);
        auto answer = std::optional<std::string>();
        auto failed = false;
        auto call
            = caller.call({ .method = "POST", .target = "/list", .body = longRequest, .timeout = 5s })
                  .then([&](wire::HttpAnswer&& whole) { answer = whole.body; }, [&](kj::Exception&&) { failed = true; })
                  .eagerlyEvaluate(nullptr);
        while (!peer.accept())
            loop.wait(loop.sleep(1ms));
        loop.wait(loop.sleep(20ms));
        peer.send("HTTP/1.1 200 OK\r\n\r\nentry 1\n");
        if (inOrder)
            peer.finish();
        peer.close();
        loop.wait(kj::mv(call));
        BOOST_TEST(failed == !inOrder);
        BOOST_TEST(answer.value_or("") == (inOrder ? "entry 1\n" : ""));
    }
}

// The same for streams of bytes, with which a failed write rejects and the reads go on.
BOOST_AUTO_TEST_CASE(byte_stream_that_is_reset_in_a_write_does_not_read_as_ended)
{
    for (const auto inOrder : { false, true }) {
        auto loop = wire::MainLoop();
        auto peer = TightPeer();
        auto stream = loop.wait(wire::connectTo(peer.endpoint().address, peer.endpoint().port));
        auto written = stream->write(longRequest.data(), longRequest.size());
        BOOST_REQUIRE(peer.accept());
        loop.wait(loop.sleep(20ms));
        peer.send("part");
        if (inOrder)
            peer.finish();
        peer.close();
        failureOf(loop, kj::mv(written));
        auto buffer = std::array<char, 16>();
        BOOST_TEST(loop.wait(stream->tryRead(buffer.data(), 1, buffer.size())) == 4U);
        auto end = stream->tryRead(buffer.data(), 1, buffer.size());
        if (inOrder)
            BOOST_TEST(loop.wait(kj::mv(end)) == 0U);
        else
            failureOf(loop, kj::mv(end));
    }
}
