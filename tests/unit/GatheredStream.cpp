#include "wire/GatheredStream.h"

#include <boost/test/unit_test.hpp>
#include <kj/async.h>
#include <kj/debug.h>

#include <deque>
#include <string>
#include <vector>

using namespace eelgrass;

namespace {

/// Records each write as it is; gives one of the scripted pieces to each read.
class RecordedStream final : public kj::AsyncIoStream {
public:
    auto tryRead(void* buffer, size_t, size_t maxBytes) -> kj::Promise<size_t> override
    {
        if (toRead.empty())
            return size_t(0);
        const auto piece = toRead.front().substr(0, maxBytes);
        toRead.pop_front();
        std::copy(piece.begin(), piece.end(), static_cast<char*>(buffer));
        return piece.size();
    }

    auto write(const void* buffer, size_t size) -> kj::Promise<void> override
    {
        written.emplace_back(static_cast<const char*>(buffer), size);
        if (broken)
            return KJ_EXCEPTION(DISCONNECTED, "gone");
        if (!slow)
            return kj::READY_NOW;
        auto pair = kj::newPromiseAndFulfiller<void>();
        taken = kj::mv(pair.fulfiller);
        return kj::mv(pair.promise);
    }

    auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>>) -> kj::Promise<void> override
    {
        KJ_FAIL_REQUIRE("pieces are gathered before they come here");
    }
    auto whenWriteDisconnected() -> kj::Promise<void> override { return kj::NEVER_DONE; }
    auto shutdownWrite() -> void override { shut = true; }

    std::deque<std::string> toRead;
    std::vector<std::string> written;
    bool broken = false;
    bool slow = false;
    bool shut = false;
    kj::Own<kj::PromiseFulfiller<void>> taken;
};

struct Fixture {
    kj::EventLoop loop;
    kj::WaitScope scope { loop };
    RecordedStream inner;
    wire::GatheredStream stream { inner };

    auto write(const std::string& text) -> kj::Promise<void> { return stream.write(text.data(), text.size()); }

    auto read(std::size_t least, std::size_t most) -> std::string
    {
        auto buffer = std::string(most, '\0');
        buffer.resize(stream.tryRead(buffer.data(), least, most).wait(scope));
        return buffer;
    }
};

using Written = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(what_is_written_in_one_turn_goes_out_in_one_piece, Fixture)
{
    write("a").wait(scope);
    write("b").wait(scope);
    scope.poll();
    write("c").wait(scope);
    scope.poll();
    BOOST_TEST((inner.written.back() == "c"));
    auto all = std::string();
    for (const auto& piece : inner.written)
        all += piece;
    BOOST_TEST(all == "abc");
}

BOOST_FIXTURE_TEST_CASE(pieces_of_one_write_are_one_piece, Fixture)
{
    const auto first = kj::StringPtr("one").asBytes();
    const auto second = kj::StringPtr("two").asBytes();
    const kj::ArrayPtr<const kj::byte> pieces[] = { first, second };
    auto written = stream.write(kj::arrayPtr(pieces, 2));
    scope.poll();
    BOOST_TEST((inner.written == Written { "onetwo" }));
}

BOOST_FIXTURE_TEST_CASE(what_comes_during_a_send_goes_out_with_the_next, Fixture)
{
    inner.slow = true;
    auto first = write("a");
    scope.poll();
    auto second = write("b");
    auto third = write("c");
    scope.poll();
    BOOST_TEST((inner.written == Written { "a" }));
    inner.taken->fulfill();
    scope.poll();
    BOOST_TEST((inner.written == Written { "a", "bc" }));
}

// The peer reads slowly: its writers are made to wait once 256 KiB are gathered, and go on when the peer has read.
BOOST_FIXTURE_TEST_CASE(a_peer_that_reads_slowly_makes_its_writers_wait, Fixture)
{
    inner.slow = true;
    auto first = write("a");
    scope.poll();
    auto waiting = write(std::string(std::size_t(256) << 10U, 'x'));
    BOOST_TEST(!waiting.poll(scope));
    inner.taken->fulfill();
    scope.poll();
    inner.taken->fulfill();
    BOOST_TEST(waiting.poll(scope));
    waiting.wait(scope);
}

BOOST_FIXTURE_TEST_CASE(a_failed_send_shows_in_the_next_write, Fixture)
{
    inner.broken = true;
    write("a").wait(scope);
    scope.poll();
    BOOST_CHECK_THROW(write("b").wait(scope), kj::Exception);
}

BOOST_FIXTURE_TEST_CASE(closing_the_writing_side_sends_what_is_gathered_first, Fixture)
{
    auto written = write("last");
    stream.shutdownWrite();
    BOOST_TEST((inner.written == Written { "last" }));
    BOOST_TEST(inner.shut);
}

BOOST_FIXTURE_TEST_CASE(reads_are_served_from_what_was_read_ahead, Fixture)
{
    inner.toRead = { "abcdef", "gh" };
    BOOST_TEST(read(2, 2) == "ab");
    BOOST_TEST(read(1, 3) == "cde");
    BOOST_TEST(read(3, 16) == "fgh");
    BOOST_TEST(read(1, 4).empty());
}
