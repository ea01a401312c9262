// Replicas that answer a long request before they have read it, with an answer that ends with its connection.
#include "platform/Names.h"
#include "tests/harness/ReplicaEntry.h"
#include "tests/harness/ServingWorld.h"
#include "tests/harness/TightPeer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

namespace names = hosting::names;

/// How the replica ends once it has written its answer, with most of the request unread.
enum class End { Crash, InOrder };

// The longest body that the world's limits allow.
constexpr auto bodyBytes = std::size_t(60000);

/// A replica of the service `plain` that reads the head of a request only, answers, and ends a moment later.
class EarlyReplica {
public:
    EarlyReplica(ServingWorld& world, std::string body, End end)
        : world_(world)
        , body_(std::move(body))
        , end_(end)
    {
        world_.store().put("servers", "early-0", replicaEntry("plain", peer_.endpoint()));
        poll();
    }
    [[nodiscard]] auto requests() const noexcept -> int { return requests_; }

private:
    auto poll() -> void
    {
        open_ = peer_.accept() || open_;
        if (open_)
            read();
        timer_ = world_.loop().timers().after(2ms, [this] { poll(); });
    }
    auto read() -> void
    {
        if (const auto whole = head_.find("\r\n\r\n"); whole != std::string::npos)
            return;
        head_ += peer_.receive(512);
        if (head_.find("\r\n\r\n") != std::string::npos)
            answer();
    }
    auto answer() -> void
    {
        ++requests_;
        peer_.send("HTTP/1.1 200 OK\r\nConnection: close\r\n" + std::string(names::attemptId) + ": attempt-1\r\n"
            + std::string(names::seal) + ": seal\r\n\r\n" + body_);
        ending_ = world_.loop().timers().after(100ms, [this] {
            if (end_ == End::InOrder)
                peer_.finish();
            peer_.close();
            open_ = false;
        });
    }

    ServingWorld& world_;
    std::string body_;
    End end_;
    TightPeer peer_;
    std::string head_;
    Timer timer_;
    Timer ending_;
    bool open_ = false;
    int requests_ = 0;
};

/// What the client of one long request gets from such a replica, and no other one.
auto answerOf(const std::string& path, const std::string& body, End end) -> ReceivedAnswer
{
    auto world = ServingWorld(0, 0);
    auto configuration = nlohmann::json::parse(servingConfiguration(2));
    for (auto& route : configuration["routes"])
        route["service"] = "plain";
    world.store().put("op", "config", configuration.dump());
    auto replica = EarlyReplica(world, body, end);
    world.startGateway(false);
    BOOST_REQUIRE(world.until([&] { return world.gateway().ready(); }));
    auto answer = world.receive({ .path = path, .adapter = "", .body = std::string(bodyBytes, 'x'), .prefix = "" });
    BOOST_TEST(replica.requests() == 1);
    return answer;
}

} // namespace

// Guards against a part of an answer that is passed on as the whole one, after a crash with the request half read.
BOOST_AUTO_TEST_CASE(plain_answer_cut_by_a_crash_before_its_request_is_read_is_not_passed_on)
{
    const auto answer = answerOf("/once/x", "half of the body", End::Crash);
    BOOST_TEST(answer.status == 502);
}

// The same for a stream, between two events.
BOOST_AUTO_TEST_CASE(stream_cut_by_a_crash_before_its_request_is_read_is_broken_off)
{
    const auto answer = answerOf("/whole/x", standins::streamEvents(1, 2), End::Crash);
    BOOST_TEST(!answer.whole);
    BOOST_TEST(answer.body == standins::streamEvents(1, 2));
}

// Guards against losing a whole answer since its replica closes without having read the request.
BOOST_AUTO_TEST_CASE(answer_that_ends_in_order_before_its_request_is_read_is_whole)
{
    const auto plain = answerOf("/once/x", "whole body", End::InOrder);
    BOOST_TEST(plain.status == 200);
    BOOST_TEST(plain.whole);
    BOOST_TEST(plain.body == "whole body");
    const auto stream = answerOf("/whole/x", standins::streamEvents(1, 5), End::InOrder);
    BOOST_TEST(stream.whole);
    BOOST_TEST(stream.body == standins::streamEvents(1, 5));
}
