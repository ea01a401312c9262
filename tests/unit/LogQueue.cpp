#include "base/LogQueue.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::log;

namespace {

struct Reader {
    auto take(std::string_view bytes) -> std::size_t
    {
        const auto count = std::min(bytes.size(), room);
        seen.append(bytes.substr(0, count));
        room -= count;
        return count;
    }
    std::string seen;
    std::size_t room = std::size_t(1) << 30U;
};

auto lines(const std::string& text) -> std::ptrdiff_t { return std::count(text.begin(), text.end(), '\n'); }

} // namespace

BOOST_AUTO_TEST_CASE(lines_come_whole_and_in_order_to_a_slow_reader)
{
    auto reader = Reader { .room = 3 };
    auto queue = LogQueue([&](std::string_view bytes) { return reader.take(bytes); });
    queue.add("one\n", false, {});
    queue.add("two\n", false, {});
    BOOST_TEST(reader.seen == "one");
    reader.room = 100;
    queue.flush();
    BOOST_TEST(reader.seen == "one\ntwo\n");
}

// A reader that has stopped holds up nothing and costs bounded memory; warnings still have room, and once it reads
// again it is told how many lines it missed.
BOOST_AUTO_TEST_CASE(a_reader_that_stops_stops_nothing)
{
    auto reader = Reader { .room = 0 };
    auto queue = LogQueue([&](std::string_view bytes) { return reader.take(bytes); },
        { .linesPerSecond = 1000000, .waitingBytes = 1000 });
    for (auto count = 0; count < 1000; ++count)
        queue.add("0123456789\n", false, {});
    queue.add("warning\n", true, {});
    BOOST_TEST(queue.leftOut() == 910U);
    reader.room = std::size_t(1) << 30U;
    queue.add("last\n", false, {});
    BOOST_TEST(reader.seen.find("warning\n") != std::string::npos);
    BOOST_TEST(reader.seen.find(R"("count":"910")") != std::string::npos);
    BOOST_TEST(reader.seen.ends_with("last\n"));
}

// At ten times the usual load ordinary lines are left out from the limit on; failures are whole.
BOOST_AUTO_TEST_CASE(failures_are_whole_in_a_burst)
{
    auto reader = Reader();
    auto queue = LogQueue([&](std::string_view bytes) { return reader.take(bytes); }, { .linesPerSecond = 100 });
    for (auto count = 0; count < 1000; ++count) {
        queue.add("ordinary\n", false, {});
        queue.add("failure\n", true, {});
    }
    BOOST_TEST(queue.leftOut() == 900U);
    BOOST_TEST(lines(reader.seen) >= 1100);
    queue.add("ordinary\n", false, Moment(2s));
    BOOST_TEST(reader.seen.ends_with("ordinary\n"));
}
