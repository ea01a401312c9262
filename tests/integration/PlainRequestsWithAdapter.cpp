// A request that names an adapter on a route whose service has no engines.
#include "tests/harness/ByteCaller.h"
#include "tests/harness/GatewayProcess.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

// Guards against a process that one client's request ends, with the requests of all others.
BOOST_AUTO_TEST_CASE(a_plain_request_that_names_an_adapter_does_not_end_the_process)
{
    auto world = GatewayProcess();
    const auto ask = [&](const RawCall& call) {
        auto caller = ByteCaller(world.port());
        caller.send(call.text());
        world.until([&] { return caller.ended() || (!caller.answers().empty() && caller.answers().front().whole); });
        return caller.answers().empty() ? 0 : caller.answers().front().status;
    };
    world.until([&] { return ask({ .path = "/once/x", .attempt = "first" }) == 200; });
    BOOST_TEST(ask({ .path = "/once/x", .attempt = "named", .adapter = "a1" }) != 0);
    BOOST_TEST(world.process().running());
}
