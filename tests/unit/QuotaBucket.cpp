// Tests of the token bucket that limits what a member is granted.
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

auto fullBucket(const QuotaRate& limits) -> QuotaBucket
{
    auto bucket = QuotaBucket();
    bucket.setRate(limits, start - 100s);
    return bucket;
}

/// Tracks the largest amount granted within any period of `window`.
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

BOOST_AUTO_TEST_CASE(all_requests_below_the_limit_are_granted)
{
    auto bucket = fullBucket(rate);
    for (auto count = 0; count < 300; ++count)
        BOOST_TEST(bucket.take(9000, start + count * 333ms).granted);
}

// Guards against one member occupying the replicas that others wait for. A member that sends sixteen times its limit is
// granted its limit, and at most the burst and the lenience beyond it.
BOOST_AUTO_TEST_CASE(a_member_far_over_its_limit_gets_its_limit)
{
    auto bucket = fullBucket(rate);
    auto windows = Windows();
    for (auto count = 0; count < 16 * 200; ++count) {
        const auto at = start + count * 18ms;
        if (bucket.take(9000, at).granted)
            windows.granted(9000, at);
    }
    BOOST_TEST(windows.most() <= 8 * rate.perSecond + rate.burst + rate.lenience);
    BOOST_TEST(windows.most() >= 8 * rate.perSecond - 9000);
}

BOOST_AUTO_TEST_CASE(a_request_larger_than_the_burst_is_granted_and_delays_the_next)
{
    auto bucket = fullBucket({ .perSecond = 100, .burst = 50, .lenience = 0 });
    BOOST_TEST(bucket.take(400, start).granted);
    BOOST_TEST(!bucket.take(1, start + 3s).granted);
    BOOST_TEST(bucket.take(1, start + 4s).granted);
}

// Guards against refused requests that are all sent again at the same moment, so that all but one would be refused
// again. Each of several refused requests gets a longer retry delay than the one before; the difference is the time in
// which the credit for one request accrues.
BOOST_AUTO_TEST_CASE(refused_requests_get_staggered_retry_delays)
{
    auto bucket = fullBucket({ .perSecond = 100, .burst = 100, .lenience = 0 });
    BOOST_REQUIRE(bucket.take(100, start).granted);
    auto last = Duration(0);
    for (auto count = 0; count < 9; ++count) {
        const auto verdict = bucket.take(100, start);
        BOOST_TEST(!verdict.granted);
        BOOST_TEST((verdict.retryAfter - last >= Duration(999ms)));
        last = verdict.retryAfter;
    }
}

BOOST_AUTO_TEST_CASE(a_negative_charge_is_a_refund_up_to_the_burst)
{
    auto bucket = fullBucket({ .perSecond = 100, .burst = 100, .lenience = 0 });
    BOOST_TEST(bucket.take(100, start).granted);
    bucket.charge(-100, start);
    BOOST_TEST(bucket.take(100, start).granted);
    bucket.charge(-1000, start);
    BOOST_TEST(bucket.level(start) <= 100);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_reduces_the_level)
{
    auto bucket = fullBucket(rate);
    bucket.setRate({ .perSecond = 100, .burst = 100, .lenience = 0 }, start);
    BOOST_TEST(bucket.level(start) == 100);
}

// Guards against a member getting its limit anew from each agent that takes over its count. When the counting agent is
// lost, the next one has been told of each grant and continues at its level; an agent that knows no grants starts with
// an empty bucket.
BOOST_AUTO_TEST_CASE(the_next_counting_agent_continues_at_the_same_level)
{
    auto windows = Windows();
    auto buckets = std::vector<QuotaBucket>(8, QuotaBucket());
    for (auto& bucket : buckets)
        bucket.setRate(rate, start - 1ms);
    for (auto count = 0; count < 2000; ++count) {
        const auto at = start + count * 18ms;
        const auto first = static_cast<std::size_t>(count / 150) % buckets.size();
        auto& second = buckets[(first + 1) % buckets.size()];
        if (!buckets[first].take(9000, at).granted)
            continue;
        windows.granted(9000, at);
        second.charge(9000, at);
        second.capLevel(buckets[first].level(at), at);
    }
    // The count moves to another agent three times within 8 s.
    BOOST_TEST(windows.most() <= 8 * rate.perSecond * 1.1 + rate.burst * 1.1 + 110000);
}
