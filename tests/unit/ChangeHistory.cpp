#include "decisions/ChangeHistory.h"

#include <boost/test/unit_test.hpp>

#include <string>

using eelgrass::decisions::ChangeHistory;

namespace {

using History = ChangeHistory<std::string>;

/// History of a list of `rows` rows, read at version 100.
auto historyReadAt100(std::size_t rows) -> History
{
    auto history = History();
    history.begin(100);
    for (auto row = std::size_t(0); row < rows; ++row)
        history.changed("replica-" + std::to_string(row), 100);
    return history;
}

} // namespace

// Guards against answers that grow with the list and exceed the bandwidth of the smallest peers.
BOOST_AUTO_TEST_CASE(the_difference_does_not_grow_with_the_list)
{
    for (const auto rows : { 30U, 300U, 3000U }) {
        auto history = historyReadAt100(rows);
        for (auto version = 101U; version <= 105U; ++version)
            history.changed("replica-" + std::to_string(version - 101), version);
        BOOST_TEST(history.covers(100));
        BOOST_TEST(history.since(100).changed.size() == 5U);
        BOOST_TEST(history.since(103).changed.size() == 2U);
        BOOST_TEST(history.since(105).changed.empty());
    }
}

BOOST_AUTO_TEST_CASE(each_key_is_reported_once_with_its_latest_change)
{
    auto history = historyReadAt100(2);
    history.changed("replica-0", 101);
    history.removed("replica-0", 102);
    history.changed("replica-1", 103);
    history.changed("replica-1", 104);
    const auto difference = history.since(100);
    BOOST_TEST(difference.removed == std::vector<std::string> { "replica-0" });
    BOOST_TEST(difference.changed == std::vector<std::string> { "replica-1" });
    history.changed("replica-0", 105);
    BOOST_TEST(history.since(104).changed == std::vector<std::string> { "replica-0" });
    BOOST_TEST(history.since(100).removed.empty());
}

// Guards against a difference that omits removals made before the first reading.
BOOST_AUTO_TEST_CASE(earlier_versions_are_not_covered)
{
    BOOST_TEST(!History().covers(1));
    const auto history = historyReadAt100(1);
    BOOST_TEST(!history.covers(99));
    BOOST_TEST(history.covers(100));
}

// Guards against unbounded memory in a long-running process, and against differences that omit evicted removals.
BOOST_AUTO_TEST_CASE(forgotten_removals_are_not_covered)
{
    auto history = historyReadAt100(1);
    constexpr auto removals = 5000U;
    for (auto version = 101U; version <= 100U + removals; ++version)
        history.removed("left-" + std::to_string(version), version);
    BOOST_TEST(!history.covers(100));
    BOOST_TEST(history.since(100).removed.size() <= 1000U);
    BOOST_TEST(history.covers(100U + removals - 400U));
    BOOST_TEST(history.since(100U + removals - 400U).removed.size() == 400U);
    BOOST_TEST(history.since(0).changed.size() == 1U);
}
