#include "router/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::router;

namespace {

auto contains(const Metrics& metrics, const std::string& text) -> bool
{
    return metrics.text().find(text) != std::string::npos;
}

const auto interactive = RequestClass("interactive");

} // namespace

BOOST_AUTO_TEST_CASE(a_time_is_counted_for_its_member_and_class)
{
    auto metrics = Metrics(10);
    metrics.observe("eelgrass_load_stall_seconds", MemberId("armor-a"), interactive, 300ms);
    metrics.observe("eelgrass_load_stall_seconds", MemberId("armor-a"), interactive, 900ms);
    BOOST_TEST(contains(metrics, R"(eelgrass_load_stall_seconds_count{class="interactive",member="armor-a"} 2)"));
    BOOST_TEST(contains(metrics, R"(_bucket{class="interactive",member="armor-a",le="0.4"} 1)"));
}

// Tens of thousands of members and adapters must not make the page too large to be read every few seconds.
BOOST_AUTO_TEST_CASE(members_beyond_the_cap_share_one_bucket)
{
    auto metrics = Metrics(2);
    constexpr auto members = 1000;
    for (auto index = 0; index < members; ++index)
        metrics.observe("eelgrass_answer_seconds", MemberId("m" + std::to_string(index)), interactive, 1ms);
    BOOST_TEST(contains(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="m0"} 1)"));
    BOOST_TEST(contains(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="m1"} 1)"));
    BOOST_TEST(contains(metrics, R"(eelgrass_answer_seconds_count{class="interactive",member="other"} 998)"));
    BOOST_TEST(!contains(metrics, R"(member="m2")"));
}

BOOST_AUTO_TEST_CASE(a_kept_series_is_the_one_on_the_page)
{
    auto metrics = Metrics(10);
    auto& series = metrics.series("eelgrass_between_tokens_seconds", MemberId("armor-a"), interactive);
    Metrics::observe(series, 20ms);
    BOOST_TEST(&series == &metrics.series("eelgrass_between_tokens_seconds", MemberId("armor-a"), interactive));
    BOOST_TEST(contains(metrics, R"(eelgrass_between_tokens_seconds_count{class="interactive",member="armor-a"} 1)"));
}

BOOST_AUTO_TEST_CASE(shares_and_counts_are_on_the_page)
{
    auto metrics = Metrics(10);
    metrics.observeRatio("eelgrass_batch_fill", 0.55);
    metrics.count("eelgrass_refusals_total", { { "type", "queue_full" } });
    BOOST_TEST(contains(metrics, R"(eelgrass_batch_fill_bucket{le="0.6"} 1)"));
    BOOST_TEST(contains(metrics, R"(eelgrass_refusals_total{type="queue_full"} 1)"));
}
