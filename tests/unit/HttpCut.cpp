#include "tests/harness/StreamPair.h"
#include "wire/HttpClient.h"
#include "wire/HttpServer.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

// The caller of a service sees a short answer as a whole one. The service dies between two chunks; libsoup's reader
// takes the end of the connection, where the size of the next chunk is due, for the end of the answer.
BOOST_AUTO_TEST_CASE(an_answer_cut_between_two_chunks_is_seen_as_broken_and_not_as_whole)
{
    auto loop = wire::MainLoop();
    auto arrived = kj::newPromiseAndFulfiller<wire::HttpExchangePtr>();
    auto server = wire::HttpServer("127.0.0.1", 0, 1000,
        [&](const wire::HttpExchangePtr& exchange) { arrived.fulfiller->fulfill(kj::cp(exchange)); });
    auto client = wire::HttpClient(4, 0);
    auto opening = client.open({ .url = "http://127.0.0.1:" + std::to_string(server.port()) + "/p" });
    auto exchange = loop.wait(kj::mv(arrived.promise));
    exchange->begin(200, "text/event-stream");
    exchange->send("first");
    auto stream = loop.wait(kj::mv(opening));
    BOOST_TEST(loop.wait(stream->read()) == "first");
    exchange->abort();
    failureOf(loop, stream->read());
    BOOST_TEST(exchange->over());
}
