#include "serving/ReaderLink.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace eelgrass;

// Guards against the end of an entry that asks its reader again before the session that has just failed is dropped, as
// after a pause, when both are due at once.
BOOST_AUTO_TEST_CASE(reader_that_closes_each_session_is_asked_again)
{
    auto loop = wire::MainLoop();
    auto taken = 0;
    auto round = 0;
    auto held = std::vector<kj::Own<wire::GlibStream>>();
    auto listener = wire::Listener("127.0.0.1", 0, [&](kj::Own<wire::GlibStream> stream) {
        ++taken;
        held.push_back(kj::mv(stream));
    });
    constexpr auto linkCount = 20;
    auto links = std::vector<std::unique_ptr<serving::ReaderLink>>();
    for (auto count = 0; count < linkCount; ++count)
        links.push_back(std::make_unique<serving::ReaderLink>(loop, Duration(1ms) * (1 + count % 7),
            serving::ReaderLink::Hooks { .fillQuery = [](auto) {}, .onAnswer = [](auto, auto&, auto) {} }));
    // The process stands still again and again, and each session is closed meanwhile.
    const auto pause = [&](auto& self) -> kj::Promise<void> {
        return loop.sleep(Duration(1ms) * (++round % 5)).then([&] {
            held.clear();
            std::this_thread::sleep_for(Duration(1ms) * (round % 3));
            return self(self);
        });
    };
    auto pauses = pause(pause).eagerlyEvaluate(nullptr);
    for (const auto& link : links)
        link->follow(Endpoint { "127.0.0.1", listener.port() });
    loop.wait(loop.sleep(3s));
    BOOST_TEST(taken > 10);
}
