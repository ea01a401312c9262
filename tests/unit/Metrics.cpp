#include "router/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::router;

namespace {

auto exports(const Metrics& metrics, const std::string& text) -> bool
{
    return metrics.text().find(text) != std::string::npos;
}

const auto interactive = RequestClass("interactive");

} // namespace

BOOST_AUTO_TEST_CASE(a_time_is_observed_under_its_member_and_class)
{
    auto metrics = Metrics(10);
    metrics.observe("eelgrass_load_stall_seconds", MemberId("armor-a"), interactive, 300ms);
    metrics.observe("eelgrass_load_stall_seconds", MemberId("armor-a"), interactive, 900ms);
    BOOST_TEST(exports(metrics, R"(eelgrass_load_stall_seconds_count{class="interactive",member="armor-a"} 2)"));
    BOOST_TEST(exports(metrics, R"(_bucket{class="interactive",member="armor-a",le="0.4"} 1)"));
}

// With tens of thousands of members, the page must stay small enough to be scraped every few seconds.
BOOST_AUTO_TEST_CASE(members_beyond_the_limit_share_the_label_other)
{
    auto metrics = Metrics(2);
    constexpr auto members = 1000;
    for (auto index = 0; index < members; ++index)
        metrics.observe("eelgrass_answer_seconds", MemberId("m" + std::to_string(index)), interactive, 1ms);
    BOOST_TEST(exports(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="m0"} 1)"));
    BOOST_TEST(exports(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="m1"} 1)"));
    BOOST_TEST(exports(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="other"} 998)"));
    BOOST_TEST(!exports(metrics, R"(member="m2")"));
}

BOOST_AUTO_TEST_CASE(series_returns_the_exported_histogram)
{
    auto metrics = Metrics(10);
    auto& series = metrics.series("eelgrass_between_tokens_seconds", MemberId("armor-a"), interactive);
    Metrics::observe(series, 20ms);
    BOOST_TEST(&series == &metrics.series("eelgrass_between_tokens_seconds", MemberId("armor-a"), interactive));
    BOOST_TEST(exports(metrics, R"(eelgrass_between_tokens_seconds_count{class="interactive",member="armor-a"} 1)"));
}

BOOST_AUTO_TEST_CASE(ratios_and_counters_are_exported)
{
    auto metrics = Metrics(10);
    metrics.observeRatio("eelgrass_batch_fill", 0.55);
    metrics.count("eelgrass_refusals_total", { { "type", "queue_full" } });
    BOOST_TEST(exports(metrics, R"(eelgrass_batch_fill_bucket{le="0.6"} 1)"));
    BOOST_TEST(exports(metrics, R"(eelgrass_refusals_total{type="queue_full"} 1)"));
}
