// Many entries choose replicas by outdated reports; replicas refuse requests that would be late so that their entries
// can send them to other replicas.
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
constexpr auto reportAge = Duration(400ms);
constexpr auto firstEventLimit = Duration(800ms);
const auto ready = [](const AdapterId&) { return true; };

auto prefillTime(TokenCount tokens) -> Duration
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / readRate));
}

/// A replica that processes one prompt after another, with its admission queue.
class Replica {
public:
    Replica() { queue_.setLimits({ .batch = 64, .memory = 1'000'000, .readRate = readRate }); }

    auto offer(AdmissionRequest request, Moment now) -> std::optional<AdmissionRefusal>
    {
        return queue_.offer(std::move(request), ready, Duration(0), now);
    }
    /// Processes prompts until `now` and calls `onEnded` for each ended one with whether its first event was late.
    template <typename Told> auto run(Moment now, Told onEnded) -> void
    {
        for (auto& granted : queue_.grant(ready, now))
            processing_.push_back(std::move(granted));
        while (!processing_.empty()) {
            const auto request = processing_.front();
            const auto done = std::max(idleAt_, request.arrivedAt) + prefillTime(request.unreadTokens);
            if (done > now)
                return;
            idleAt_ = done;
            processing_.pop_front();
            queue_.started(request.attempt, done);
            queue_.release(request.attempt);
            onEnded(done > request.firstEventDeadline);
        }
        idleAt_ = std::max(idleAt_, now);
    }
    [[nodiscard]] auto tokensAhead() const -> TokenCount { return queue_.tokensAhead(ready); }

private:
    AdmissionQueue queue_;
    std::deque<AdmissionRequest> processing_;
    Moment idleAt_ {};
};

/// Simulates one minute at seven tenths of the replicas' capacity and returns the share of late requests. Each entry
/// sees reports that are up to `reportAge` old and chooses the replica with the fewest tokens ahead; if a replica
/// refuses a request as late, its entry tries the next one, at most twice.
auto shareLate(bool redirects) -> double
{
    auto random = std::mt19937_64(5);
    auto fleet = std::array<Replica, replicas>();
    auto reported = std::array<TokenCount, replicas>();
    auto size = std::lognormal_distribution<double>(8.6, 0.8);
    auto late = 0;
    auto ended = 0;
    auto requestCount = 0U;
    auto reportedAt = Moment();
    const auto end = Moment(60s);
    const auto onEnded = [&](bool isLate) {
        ++ended;
        late += isLate ? 1 : 0;
    };
    auto due = Duration(0);
    for (auto now = Moment(1s); now < end; now += Duration(1ms)) {
        for (auto& replica : fleet)
            replica.run(now, onEnded);
        if (now - reportedAt >= reportAge) {
            std::transform(fleet.begin(), fleet.end(), reported.begin(),
                [](const Replica& replica) { return replica.tokensAhead(); });
            reportedAt = now;
        }
        // The arrivals in a millisecond are seven tenths of the work that the replicas do in one.
        due += std::chrono::duration_cast<Duration>(0.7 * static_cast<double>(replicas) * Duration(1ms));
        while (due > Duration(0)) {
            const auto tokens = static_cast<TokenCount>(std::clamp(size(random), 500.0, 40'000.0));
            due -= prefillTime(tokens);
            auto request = AdmissionRequest { .attempt = AttemptId(std::to_string(requestCount++)),
                .promptTokens = tokens,
                .unreadTokens = tokens,
                .arrivedAt = now,
                .firstEventDeadline = now + firstEventLimit,
                .callerDeadline = now + 4 * firstEventLimit };
            // Each entry prefers different replicas among those with equal reports.
            const auto first = (requestCount % entries) * replicas / entries;
            auto order = std::vector<std::size_t>();
            for (auto step = std::size_t(0); step < replicas; ++step)
                order.push_back((first + step) % replicas);
            std::stable_sort(order.begin(), order.end(),
                [&](std::size_t left, std::size_t right) { return reported[left] < reported[right]; });
            for (auto tries = std::size_t(0); tries < 3; ++tries) {
                request.elsewhere = redirects && tries < 2;
                if (!fleet[order[tries]].offer(request, now))
                    break;
            }
        }
    }
    return static_cast<double>(late) / ended;
}

} // namespace

// Guards against requests that wait behind others at one replica while another is idle. Entries see reports that are
// 400 ms old, so several choose the same idle replica. If it queues all their requests, the last ones are late; if it
// refuses those at once, their entries can still choose another replica.
BOOST_AUTO_TEST_CASE(fewer_requests_are_late_if_replicas_redirect_them)
{
    const auto queued = shareLate(false);
    const auto redirected = shareLate(true);
    BOOST_TEST_MESSAGE("late if queued " << queued << ", redirected " << redirected);
    // A redirect costs another message, so it must avoid at least a quarter of the late requests.
    BOOST_TEST(redirected < 0.75 * queued);
}

BOOST_AUTO_TEST_CASE(only_requests_that_can_be_on_time_elsewhere_are_redirected)
{
    auto replica = Replica();
    const auto now = Moment(1s);
    const auto request = [&](const std::string& attempt, TokenCount tokens, Duration left) {
        return AdmissionRequest { .attempt = AttemptId(attempt),
            .promptTokens = tokens,
            .unreadTokens = tokens,
            .arrivedAt = now,
            .firstEventDeadline = now + left,
            .callerDeadline = now + 4 * firstEventLimit,
            .elsewhere = true };
    };
    BOOST_TEST(!replica.offer(request("first", 30'000, firstEventLimit), now));
    const auto late = replica.offer(request("second", 9000, firstEventLimit), now);
    BOOST_REQUIRE(late);
    BOOST_TEST(late->late);
    BOOST_TEST((late->retryAfter > Duration(500ms)));
    // The request is already late, so the replica queues it.
    BOOST_TEST(!replica.offer(request("third", 9000, Duration(0)), now));
    // No other replica can be tried, so the replica queues it too.
    auto last = request("fourth", 9000, firstEventLimit);
    last.elsewhere = false;
    BOOST_TEST(!replica.offer(last, now));
}
