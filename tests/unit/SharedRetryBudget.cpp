#include "decisions/SharedRetryBudget.h"

#include <boost/test/unit_test.hpp>

using namespace eelgrass;
using namespace eelgrass::decisions;

// Five entries retry everything for a minute while all replicas refuse. Together they stay within the service's budget
// in each window, though none knows what the others send.
BOOST_AUTO_TEST_CASE(entries_together_stay_within_the_budget_in_a_storm)
{
    constexpr auto entries = std::size_t(5);
    const auto bounds = RetryBounds { .ratio = 0.2, .slack = 56, .window = 10s };
    auto budgets = std::vector<SharedRetryBudget>(entries, SharedRetryBudget(bounds));
    auto repeats = std::deque<Moment>();
    auto firsts = std::deque<Moment>();
    auto worst = 0.0;
    for (auto now = Moment(); now < Moment(60s); now += 10ms) {
        for (auto& budget : budgets) {
            budget.sent(now);
            firsts.push_back(now);
            if (budget.take(now, entries))
                repeats.push_back(now);
        }
        while (!repeats.empty() && repeats.front() + bounds.window < now)
            repeats.pop_front();
        while (!firsts.empty() && firsts.front() + bounds.window < now)
            firsts.pop_front();
        const auto allowed = bounds.ratio * static_cast<double>(firsts.size()) + bounds.slack;
        worst = std::max(worst, static_cast<double>(repeats.size()) / allowed);
    }
    BOOST_TEST(worst <= 1.0);
    BOOST_TEST(worst > 0.8);
}

BOOST_AUTO_TEST_CASE(a_single_failure_may_be_tried_again_at_once)
{
    auto budget = SharedRetryBudget({ .ratio = 0.2, .slack = 56, .window = 10s });
    budget.sent(Moment());
    BOOST_TEST(budget.take(Moment(), 6));
}
