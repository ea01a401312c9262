#include "serving/RefusalLog.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

/// Crashes under three requests that hold this, a second apart; their numbers begin at `first`, which says when, too.
auto crashThree(CrashLedger& ledger, std::uint64_t first, const std::vector<SharedHash>& shared, Moment now) -> void
{
    for (auto number = first; number < first + 3; ++number) {
        (void)ledger.apply({ RequestDigest(number), StartHash(number), 0, CrashEvidence::Crashed,
                               now - Duration(60s) + Duration(1s) * number, shared },
            now);
    }
}

} // namespace

// Guards against lines, metrics and waiting requests that learn of the first change alone.
BOOST_AUTO_TEST_CASE(each_change_of_what_is_refused_is_told)
{
    auto loop = wire::MainLoop();
    auto ledger = CrashLedger();
    auto names = serving::ContentNames();
    auto metrics = router::Metrics(10);
    auto refusals = serving::RefusalLog(loop, ledger, names, metrics);
    auto told = 0;
    const auto watch = refusals.onRefusal().add([&] { ++told; });
    const auto now = loop.timers().now();
    for (const auto part : { 7U, 17U, 27U }) {
        crashThree(ledger, part, { SharedHash(part) }, now);
        refusals.requestChanged(RequestDigest(part), "test");
        loop.wait(loop.sleep(10ms));
    }
    BOOST_TEST(told == 3);
}

// Guards against a gauge that is gone while its part is still refused, with another set of contents.
BOOST_AUTO_TEST_CASE(content_that_passes_from_one_refused_set_to_another_keeps_its_gauge)
{
    constexpr auto part = SharedHash(7);
    constexpr auto beside = SharedHash(8);
    auto loop = wire::MainLoop();
    auto ledger = CrashLedger();
    auto names = serving::ContentNames();
    auto metrics = router::Metrics(10);
    auto refusals = serving::RefusalLog(loop, ledger, names, metrics);
    const auto gauges = [&](const std::string& name) {
        refusals.contentsChanged("test");
        loop.wait(loop.sleep(10ms));
        return metrics.text().find("eelgrass_crashing_contents{name=\"" + name + "\"") != std::string::npos;
    };
    const auto now = loop.timers().now();
    crashThree(ledger, 1, { part, beside }, now);
    BOOST_TEST(gauges("7"));
    BOOST_TEST(gauges("8"));
    (void)ledger.ranWhole({ beside }, now, now);
    BOOST_TEST(!gauges("8"));
    BOOST_TEST(gauges("7"));
}

// Guards against waiting requests that are not told of a refusal which begins as time passes, without a new report.
BOOST_AUTO_TEST_CASE(refusal_that_begins_once_its_reports_are_settled_is_told)
{
    auto loop = wire::MainLoop();
    auto ledger = CrashLedger(Duration(20ms));
    auto names = serving::ContentNames();
    auto metrics = router::Metrics(10);
    auto refusals = serving::RefusalLog(loop, ledger, names, metrics);
    auto told = 0;
    const auto watch = refusals.onRefusal().add([&] { ++told; });
    crashThree(ledger, 7, { SharedHash(7) }, loop.timers().now());
    refusals.requestChanged(RequestDigest(7), "test");
    loop.wait(loop.sleep(100ms));
    BOOST_TEST(told == 1);
}
