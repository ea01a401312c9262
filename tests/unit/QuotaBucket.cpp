// What a member is granted against its limit.
#include "decisions/QuotaBucket.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto start = Moment(Duration(1000s));
constexpr auto rate = QuotaRate { .perSecond = 30000, .burst = 30000, .lenience = 40000 };
constexpr auto window = Duration(8s);

auto filled(const QuotaRate& limits) -> QuotaBucket
{
    auto bucket = QuotaBucket();
    bucket.setRate(limits, start - 100s);
    return bucket;
}

/// The most that was granted in any window.
class Windows {
public:
    auto granted(double amount, Moment now) -> void
    {
        recent_.emplace_back(now, amount);
        sum_ += amount;
        while (recent_.front().first + window < now) {
            sum_ -= recent_.front().second;
            recent_.pop_front();
        }
        most_ = std::max(most_, sum_);
    }
    [[nodiscard]] auto most() const -> double { return most_; }

private:
    std::deque<std::pair<Moment, double>> recent_;
    double sum_ = 0;
    double most_ = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(below_the_limit_everything_is_granted)
{
    auto bucket = filled(rate);
    for (auto count = 0; count < 300; ++count)
        BOOST_TEST(bucket.take(9000, start + count * 333ms).granted);
}

// Others have to wait for replicas that one member takes up.
// 1. A member sends sixteen times its limit. 2. It gets its limit, a burst and what the limit may be passed by.
BOOST_AUTO_TEST_CASE(a_member_far_over_its_limit_gets_its_limit)
{
    auto bucket = filled(rate);
    auto windows = Windows();
    for (auto count = 0; count < 16 * 200; ++count) {
        const auto at = start + count * 18ms;
        if (bucket.take(9000, at).granted)
            windows.granted(9000, at);
    }
    BOOST_TEST(windows.most() <= 8 * rate.perSecond + rate.burst + rate.lenience);
    BOOST_TEST(windows.most() >= 8 * rate.perSecond - 9000);
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_the_burst_is_granted_and_paid_for)
{
    auto bucket = filled({ .perSecond = 100, .burst = 50, .lenience = 0 });
    BOOST_TEST(bucket.take(400, start).granted);
    BOOST_TEST(!bucket.take(1, start + 3s).granted);
    BOOST_TEST(bucket.take(1, start + 4s).granted);
}

// Everybody who was refused comes back at the same moment, and all but one are refused again.
// 1. Ten requests are refused at once. 2. Each is told a time behind those before it, a request's worth of credit
// apart.
BOOST_AUTO_TEST_CASE(the_refused_come_back_one_after_another)
{
    auto bucket = filled({ .perSecond = 100, .burst = 100, .lenience = 0 });
    BOOST_REQUIRE(bucket.take(100, start).granted);
    auto last = Duration(0);
    for (auto count = 0; count < 9; ++count) {
        const auto verdict = bucket.take(100, start);
        BOOST_TEST(!verdict.granted);
        BOOST_TEST((verdict.retryAfter - last >= Duration(999ms)));
        last = verdict.retryAfter;
    }
}

BOOST_AUTO_TEST_CASE(what_did_not_run_is_given_back)
{
    auto bucket = filled({ .perSecond = 100, .burst = 100, .lenience = 0 });
    BOOST_TEST(bucket.take(100, start).granted);
    bucket.charge(-100, start);
    BOOST_TEST(bucket.take(100, start).granted);
    bucket.charge(-1000, start);
    BOOST_TEST(bucket.level(start) <= 100);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_takes_what_was_saved)
{
    auto bucket = filled(rate);
    bucket.setRate({ .perSecond = 100, .burst = 100, .lenience = 0 }, start);
    BOOST_TEST(bucket.level(start) == 100);
}

// A member gets its limit once from each agent that counts for it.
// 1. The agent that counts is gone. 2. The next one was told of each grant, and goes on from there. 3. It is gone too,
// and one counts that knows nothing: its bucket is empty.
BOOST_AUTO_TEST_CASE(who_counts_next_goes_on_from_there)
{
    auto windows = Windows();
    auto boards = std::vector<QuotaBucket>(8, QuotaBucket());
    for (auto& board : boards)
        board.setRate(rate, start - 1ms);
    for (auto count = 0; count < 2000; ++count) {
        const auto at = start + count * 18ms;
        const auto first = static_cast<std::size_t>(count / 150) % boards.size();
        auto& second = boards[(first + 1) % boards.size()];
        if (!boards[first].take(9000, at).granted)
            continue;
        windows.granted(9000, at);
        second.charge(9000, at);
        second.capLevel(boards[first].level(at), at);
    }
    // Within 8 s the count moves three times.
    BOOST_TEST(windows.most() <= 8 * rate.perSecond * 1.1 + rate.burst * 1.1 + 110000);
}
