#include "tests/harness/StreamPair.h"
#include "wire/MainLoop.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::tests;

namespace {

auto disconnection(const kj::Exception& failed) -> bool
{
    return failed.getType() == kj::Exception::Type::DISCONNECTED;
}

struct Fixture {
    wire::MainLoop loop;
    StreamPair pair;
    std::array<char, 16> buffer {};

    [[nodiscard]] auto text(std::size_t size) const -> std::string { return { buffer.data(), size }; }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(bytes_that_arrive_in_pieces_are_gathered_up_to_the_least_number, Fixture)
{
    auto reading = pair.near->tryRead(buffer.data(), 4, buffer.size());
    loop.wait(pair.far->write("ab", 2));
    loop.wait(pair.far->write("cd", 2));
    BOOST_TEST(text(loop.wait(kj::mv(reading))) == "abcd");
}

BOOST_FIXTURE_TEST_CASE(pieces_are_written_in_their_order, Fixture)
{
    const auto first = kj::StringPtr("one").asBytes();
    const auto second = kj::StringPtr("two").asBytes();
    const kj::ArrayPtr<const kj::byte> pieces[] = { first, second };
    loop.wait(pair.far->write(kj::arrayPtr(pieces, 2)));
    BOOST_TEST(text(loop.wait(pair.near->tryRead(buffer.data(), 6, buffer.size()))) == "onetwo");
}

BOOST_FIXTURE_TEST_CASE(the_end_of_the_peers_writes_reads_as_the_end_while_the_other_way_stays_open, Fixture)
{
    loop.wait(pair.far->write("x", 1));
    pair.far->shutdownWrite();
    BOOST_TEST(loop.wait(pair.near->tryRead(buffer.data(), 4, buffer.size())) == 1U);
    BOOST_TEST(loop.wait(pair.near->tryRead(buffer.data(), 1, buffer.size())) == 0U);
    loop.wait(pair.near->write("y", 1));
    BOOST_TEST(text(loop.wait(pair.far->tryRead(buffer.data(), 1, buffer.size()))) == "y");
}

BOOST_FIXTURE_TEST_CASE(a_write_to_a_peer_that_is_gone_is_a_disconnection_and_ends_no_process, Fixture)
{
    pair.far = nullptr;
    BOOST_TEST(disconnection(failureOf(loop, pair.near->write("x", 1))));
}

BOOST_FIXTURE_TEST_CASE(closing_rejects_a_read_under_way, Fixture)
{
    auto reading = pair.near->tryRead(buffer.data(), 1, buffer.size());
    pair.near->close();
    BOOST_TEST(disconnection(failureOf(loop, kj::mv(reading))));
}

BOOST_FIXTURE_TEST_CASE(a_read_that_is_dropped_leaves_its_bytes_for_the_next, Fixture)
{
    {
        auto dropped = pair.near->tryRead(buffer.data(), 1, buffer.size());
    }
    loop.wait(pair.far->write("kept", 4));
    BOOST_TEST(text(loop.wait(pair.near->tryRead(buffer.data(), 4, buffer.size()))) == "kept");
}

BOOST_FIXTURE_TEST_CASE(a_stream_may_go_while_a_read_and_a_watch_are_pending, Fixture)
{
    auto reading = pair.near->tryRead(buffer.data(), 1, buffer.size());
    auto watching = pair.near->whenWriteDisconnected();
    reading = nullptr;
    watching = nullptr;
    pair.near = nullptr;
    BOOST_TEST(loop.wait(pair.far->tryRead(buffer.data(), 1, buffer.size())) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_write_larger_than_the_sockets_buffer_waits_for_its_reader, Fixture)
{
    constexpr auto size = std::size_t(4) << 20U;
    const auto sent = std::string(size, 's');
    auto got = std::string(size, '\0');
    auto writing = pair.far->write(sent.data(), size);
    BOOST_TEST(loop.wait(pair.near->tryRead(got.data(), size, size)) == size);
    loop.wait(kj::mv(writing));
    BOOST_TEST((got == sent));
}

BOOST_FIXTURE_TEST_CASE(the_going_of_a_peer_is_seen_by_who_writes_only, Fixture)
{
    auto watching = pair.near->whenWriteDisconnected();
    pair.far = nullptr;
    loop.wait(kj::mv(watching));
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_CASE(a_reset_by_the_peer_rejects_with_its_address)
{
    auto loop = wire::MainLoop();
    auto accepted = kj::Own<wire::GlibStream>();
    auto pair = kj::newPromiseAndFulfiller<void>();
    auto listener = wire::Listener("127.0.0.1", 0, [&](kj::Own<wire::GlibStream> stream) {
        accepted = kj::mv(stream);
        pair.fulfiller->fulfill();
    });
    auto stream = loop.wait(wire::connectTo("127.0.0.1", listener.port()));
    loop.wait(kj::mv(pair.promise));
    // A peer that closes with bytes unread answers them with a reset.
    loop.wait(stream->write("unread", 6));
    auto byte = char();
    loop.wait(accepted->tryRead(&byte, 1, 1));
    accepted = nullptr;
    const auto failed = failureOf(loop, stream->tryRead(&byte, 1, 1));
    BOOST_TEST(disconnection(failed));
    BOOST_TEST(std::string(failed.getDescription().cStr()).starts_with(stream->peer()));
}

BOOST_AUTO_TEST_CASE(a_connection_that_nobody_takes_rejects)
{
    auto loop = wire::MainLoop();
    auto port = std::uint16_t(0);
    {
        port = wire::Listener("127.0.0.1", 0, [](auto) {}).port();
    }
    BOOST_TEST(disconnection(failureOf(loop, wire::connectTo("127.0.0.1", port))));
    BOOST_TEST(!disconnection(failureOf(loop, wire::connectTo("no address", port))));
}
