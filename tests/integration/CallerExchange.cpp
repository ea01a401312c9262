// Answers and the requests that they belong to, on one connection of a client.
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

/// One connection of a client; the requests that came are answered by the test.
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
    /// What has come since the last look. Loopback delivers in order and at once, so a late answer would be in it.
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

// The client takes the late word on its first request for the answer to its second.
// 1. A request is answered, as when its time is up. 2. The next one comes on the same connection. 3. Something that the
// first one's run had begun fails, and the run answers again.
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

// The client gets a 200 although it has asked for nothing: the same with no second request.
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

// The client's next request is cut off for what became of the one before.
BOOST_AUTO_TEST_CASE(an_exchange_that_is_used_up_breaks_nothing_off)
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

// A whole answer behind half of a streamed one would look like one answer: the connection is closed in its place.
BOOST_AUTO_TEST_CASE(a_streamed_answer_is_not_followed_by_a_whole_one)
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

// The client leaves while its request runs; whatever is written for it afterwards goes nowhere.
BOOST_AUTO_TEST_CASE(a_client_that_left_uses_its_exchange_up)
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
