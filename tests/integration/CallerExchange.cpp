// Matching of answers to requests on one client connection.
#include "serving/CallerExchange.h"

#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::serving;

namespace {

/// A client connection whose requests are answered by the test.
struct Client {
    Client()
    {
        end = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(listener.port());
        BOOST_REQUIRE(::connect(end, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
        while (!connection)
            loop.wait(loop.sleep(1ms));
    }
    ~Client() { ::close(end); }
    Client(const Client&) = delete;
    auto operator=(const Client&) -> Client& = delete;

    auto accept(wire::ObjectPtr<GSocket> socket) -> void
    {
        auto hooks = CallerConnection::Hooks { .onRequest
            =
                [this](std::shared_ptr<CallerExchange> exchange, const wire::HttpRequestMessage& request) {
                    exchanges.push_back(std::move(exchange));
                    targets.push_back(request.target);
                },
            .onClosed = [this](CallerConnection*) { closed = true; },
            .onMisuse = [this] { ++misuses; } };
        connection
            = std::make_shared<CallerConnection>(loop.timers(), std::move(socket), CallerLimits {}, std::move(hooks));
        connection->start();
    }
    auto ask(const std::string& target) -> void
    {
        const auto text = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        BOOST_REQUIRE(::send(end, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
        const auto before = exchanges.size();
        while (exchanges.size() == before)
            loop.wait(loop.sleep(1ms));
    }
    /// Bytes received since the last call. Loopback delivers at once and in order, so a late answer would be included.
    [[nodiscard]] auto received() const -> std::string
    {
        auto buffer = std::array<char, 4096>();
        const auto size = ::recv(end, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return size > 0 ? std::string(buffer.data(), static_cast<std::size_t>(size)) : std::string();
    }

    wire::MainLoop loop;
    wire::TcpListener listener { "127.0.0.1", 0,
        [this](wire::ObjectPtr<GSocket> socket) { accept(std::move(socket)); } };
    int end = -1;
    std::shared_ptr<CallerConnection> connection;
    std::vector<std::shared_ptr<CallerExchange>> exchanges;
    std::vector<std::string> targets;
    bool closed = false;
    int misuses = 0;
};

} // namespace

// Guards against a client that takes a late answer to its first request for the answer to its second. The first request
// is answered, for example because its deadline has passed, and the second request arrives on the same connection. Then
// an operation of the first request fails, and its handler answers again.
BOOST_AUTO_TEST_CASE(a_second_answer_does_not_reach_the_next_request)
{
    auto client = Client();
    client.ask("/one");
    client.exchanges[0]->respond({ .status = 504 }, "first");
    client.ask("/two");
    BOOST_TEST(client.received().ends_with("first"));
    client.exchanges[0]->respond({ .status = 503 }, "late");
    BOOST_TEST(client.received().empty());
    client.exchanges[1]->respond({ .status = 200 }, "second");
    BOOST_TEST(client.received().ends_with("second"));
    BOOST_TEST(client.misuses == 1);
}

// A second answer is written while the client has no request in progress. The client must not receive it: it would get
// a 200 that it never requested.
BOOST_AUTO_TEST_CASE(a_second_answer_does_not_reach_an_idle_connection)
{
    auto client = Client();
    client.ask("/one");
    client.exchanges[0]->respond({ .status = 504 }, "first");
    BOOST_TEST(client.received().ends_with("first"));
    client.exchanges[0]->begin({ .status = 200 });
    client.exchanges[0]->writeChunk("late");
    client.exchanges[0]->finish();
    BOOST_TEST(client.received().empty());
    BOOST_TEST(client.misuses == 3);
}

// Guards against a finished request that aborts the next one on its connection.
BOOST_AUTO_TEST_CASE(closed_exchange_does_not_abort_the_next_request)
{
    auto client = Client();
    client.ask("/one");
    client.exchanges[0]->respond({ .status = 200 }, "first");
    client.ask("/two");
    client.exchanges[0]->abort();
    BOOST_TEST(!client.closed);
    client.exchanges[1]->respond({ .status = 200 }, "second");
    BOOST_TEST(client.received().ends_with("second"));
}

// A complete answer after a partial stream could look like one answer, so the connection is closed instead.
BOOST_AUTO_TEST_CASE(complete_answer_after_a_partial_stream_closes_the_connection)
{
    auto client = Client();
    client.ask("/one");
    client.exchanges[0]->begin({ .status = 200 });
    client.exchanges[0]->writeChunk("half");
    client.exchanges[0]->respond({ .status = 502 }, "whole");
    BOOST_TEST(client.closed);
    BOOST_TEST(client.received().find("whole") == std::string::npos);
    BOOST_TEST(client.misuses == 1);
}

// The client disconnects while its request runs; anything written afterwards is discarded.
BOOST_AUTO_TEST_CASE(client_disconnect_closes_the_exchange)
{
    auto client = Client();
    client.ask("/one");
    auto gone = false;
    client.exchanges[0]->watch({ .onGone = [&] { gone = true; } });
    ::shutdown(client.end, SHUT_RDWR);
    while (!gone)
        client.loop.wait(client.loop.sleep(1ms));
    BOOST_TEST(!client.exchanges[0]->open());
    client.exchanges[0]->respond({ .status = 200 }, "late");
    BOOST_TEST(client.misuses == 1);
}
