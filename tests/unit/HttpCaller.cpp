#include "wire/HttpCaller.h"
#include "standins/StoreStandin.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::wire;

namespace {

struct Bed {
    Bed()
        : server(loop.timers(), "127.0.0.1", 0,
            [this](const std::shared_ptr<serving::CallerExchange>& caller, HttpRequestMessage request) {
                if (silent)
                    return;
                caller->respond({ .status = 200 }, request.target);
            })
        , caller(loop.timers(), "127.0.0.1", server.port())
    {
    }
    auto call(const std::string& target, Duration timeout = 2s) -> std::string
    {
        return loop.wait(caller.call({ .target = target, .timeout = timeout })
                             .then([](HttpAnswer&& answer) { return std::move(answer.body); },
                                 [](kj::Exception&&) { return std::string("failed"); }));
    }

    MainLoop loop;
    bool silent = false;
    standins::LoopServer server;
    HttpCaller caller;
};

} // namespace

// The process goes on.
// 1. A call is answered and its connection is kept. 2. The peer resets the idle connection. 3. No call waits that could
// be failed for it; the next one makes a new connection.
BOOST_AUTO_TEST_CASE(the_end_of_an_idle_connection_fails_nobody)
{
    auto bed = Bed();
    BOOST_TEST(bed.call("/one") == "/one");
    bed.server.resetAll();
    bed.loop.wait(bed.loop.sleep(20ms));
    BOOST_TEST(bed.call("/two") == "/two");
}

// A call that took too long takes its connection with it: a late answer is never the next call's.
BOOST_AUTO_TEST_CASE(a_late_answer_belongs_to_nobody)
{
    auto bed = Bed();
    bed.silent = true;
    BOOST_TEST(bed.call("/one", 20ms) == "failed");
    bed.silent = false;
    BOOST_TEST(bed.call("/two") == "/two");
}

BOOST_AUTO_TEST_CASE(a_peer_that_is_not_there_fails_the_call)
{
    auto bed = Bed();
    bed.server.close();
    BOOST_TEST(bed.call("/one") == "failed");
}

// Guards against taking a peer that only has not answered yet for one that is gone.
BOOST_AUTO_TEST_CASE(a_call_without_an_answer_is_told_from_one_that_reached_nobody)
{
    auto bed = Bed();
    const auto failure = [&] {
        return bed.loop.wait(bed.caller.call({ .target = "/one", .timeout = 20ms })
                                 .then([](HttpAnswer&&) { return std::string("answered"); },
                                     [](kj::Exception&& error) {
                                         const auto late = error.getType() == kj::Exception::Type::OVERLOADED;
                                         return std::string(late ? "no answer" : "not reached");
                                     }));
    };
    bed.silent = true;
    BOOST_TEST(failure() == "no answer");
    bed.server.close();
    BOOST_TEST(failure() == "not reached");
}
