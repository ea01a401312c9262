// Replicas that many entries choose by old figures, and requests that they send on.
#include "decisions/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

using namespace eelgrass;
using namespace eelgrass::decisions;

namespace {

constexpr auto replicas = std::size_t(24);
constexpr auto entries = std::size_t(14);
constexpr auto readRate = 44.0;
constexpr auto figuresAge = Duration(400ms);
constexpr auto aim = Duration(800ms);
const auto ready = [](const AdapterId&) { return true; };

auto readTime(TokenCount tokens) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / readRate));
}

/// A replica that reads one prompt after the other, before its queue.
class Replica {
public:
    Replica() { queue_.setLimits({ .batch = 64, .memory = 1'000'000, .readRate = readRate }); }

    auto offer(AdmissionRequest request, Moment now) -> std::optional<AdmissionRefusal>
    {
        return queue_.offer(std::move(request), ready, Duration(0), now);
    }
    /// Goes on reading until `now`; tells of each request whether its first event was late.
    template <typename Told> auto run(Moment now, Told told) -> void
    {
        for (auto& granted : queue_.grant(ready, now))
            reading_.push_back(std::move(granted));
        while (!reading_.empty()) {
            const auto request = reading_.front();
            const auto done = std::max(freeAt_, request.arrivedAt) + readTime(request.unreadTokens);
            if (done > now)
                return;
            freeAt_ = done;
            reading_.pop_front();
            queue_.started(request.attempt, done);
            queue_.release(request.attempt);
            told(done > request.firstEventDeadline);
        }
        freeAt_ = std::max(freeAt_, now);
    }
    [[nodiscard]] auto tokensAhead() const -> TokenCount { return queue_.tokensAhead(ready); }

private:
    AdmissionQueue queue_;
    std::deque<AdmissionRequest> reading_;
    Moment freeAt_ {};
};

/// Share of requests that are late in a minute at seven tenths of what the replicas can read. Each entry sees their
/// figures `figuresAge` old and chooses the one that is least ahead; sent on, it asks the next one, twice at the most.
auto shareLate(bool sendsOn) -> double
{
    auto random = std::mt19937_64(5);
    auto fleet = std::array<Replica, replicas>();
    auto seen = std::array<TokenCount, replicas>();
    auto size = std::lognormal_distribution<double>(8.6, 0.8);
    auto late = 0;
    auto over = 0;
    auto asked = 0U;
    auto seenAt = Moment();
    const auto end = Moment(60s);
    const auto told = [&](bool isLate) {
        ++over;
        late += isLate ? 1 : 0;
    };
    auto due = Duration(0);
    for (auto now = Moment(1s); now < end; now += Duration(1ms)) {
        for (auto& replica : fleet)
            replica.run(now, told);
        if (now - seenAt >= figuresAge) {
            std::transform(
                fleet.begin(), fleet.end(), seen.begin(), [](const Replica& replica) { return replica.tokensAhead(); });
            seenAt = now;
        }
        // What comes in a millisecond is what they read in one, seven tenths of it.
        due += std::chrono::duration_cast<Duration>(0.7 * static_cast<double>(replicas) * Duration(1ms));
        while (due > Duration(0)) {
            const auto tokens = static_cast<TokenCount>(std::clamp(size(random), 500.0, 40'000.0));
            due -= readTime(tokens);
            auto request = AdmissionRequest { .attempt = AttemptId(std::to_string(asked++)),
                .promptTokens = tokens,
                .unreadTokens = tokens,
                .arrivedAt = now,
                .firstEventDeadline = now + aim,
                .callerDeadline = now + 4 * aim };
            // Each entry prefers other replicas among those that look alike.
            const auto first = (asked % entries) * replicas / entries;
            auto order = std::vector<std::size_t>();
            for (auto step = std::size_t(0); step < replicas; ++step)
                order.push_back((first + step) % replicas);
            std::stable_sort(order.begin(), order.end(),
                [&](std::size_t left, std::size_t right) { return seen[left] < seen[right]; });
            for (auto tries = std::size_t(0); tries < 3; ++tries) {
                request.elsewhere = sendsOn && tries < 2;
                if (!fleet[order[tries]].offer(request, now))
                    break;
            }
        }
    }
    return static_cast<double>(late) / over;
}

} // namespace

// The caller waits behind others at one replica while another is idle.
// 1. Entries see figures that are 400 ms old. 2. Several choose the same idle replica in that time. 3. It takes all of
// them in, and the last ones are late; told so at once, their entries ask another one in time.
BOOST_AUTO_TEST_CASE(fewer_requests_are_late_where_replicas_send_them_on)
{
    const auto stay = shareLate(false);
    const auto sentOn = shareLate(true);
    BOOST_TEST_MESSAGE("late where they stay " << stay << ", sent on " << sentOn);
    // A quarter fewer late callers is the least that is worth another question.
    BOOST_TEST(sentOn < 0.75 * stay);
}

BOOST_AUTO_TEST_CASE(only_what_can_still_be_on_time_is_sent_on)
{
    auto replica = Replica();
    const auto now = Moment(1s);
    const auto request = [&](const std::string& attempt, TokenCount tokens, Duration left) {
        return AdmissionRequest { .attempt = AttemptId(attempt),
            .promptTokens = tokens,
            .unreadTokens = tokens,
            .arrivedAt = now,
            .firstEventDeadline = now + left,
            .callerDeadline = now + 4 * aim,
            .elsewhere = true };
    };
    BOOST_TEST(!replica.offer(request("first", 30'000, aim), now));
    const auto late = replica.offer(request("second", 9000, aim), now);
    BOOST_REQUIRE(late);
    BOOST_TEST(late->late);
    BOOST_TEST((late->retryAfter > Duration(500ms)));
    // Its aim is over: it stays.
    BOOST_TEST(!replica.offer(request("third", 9000, Duration(0)), now));
    // Nobody else can be asked: it stays too.
    auto last = request("fourth", 9000, aim);
    last.elsewhere = false;
    BOOST_TEST(!replica.offer(last, now));
}
