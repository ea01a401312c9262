#include "tests/harness/PartCrashes.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace eelgrass::tests {

namespace {

constexpr auto crashingName = "crashing-";
// Fewer show nothing of what requests have in common.
constexpr auto crashesNeeded = std::size_t(3);

} // namespace

PartCrashes::PartCrashes(Options options)
    : options_(std::move(options))
    , world_(options_.world)
{
    for (auto index = std::size_t(0); index < world_.replicas(); ++index)
        world_.replica(index).behave({ .eventGap = options_.eventGap });
}

auto PartCrashes::send(std::size_t gateway, bool sound, std::string prompt) -> void
{
    auto& world = world_.world();
    const auto number = std::to_string(++sent_);
    const auto same = options_.sameRequest && !sound;
    auto request = ServingWorld::Request { .attempt = (sound ? "sound-" : crashingName) + number,
        .adapter = sound || options_.crashingAdapter.empty() ? options_.adapter(sent_) : options_.crashingAdapter,
        .body = same ? options_.world.crash.body : "prompt " + number,
        .deadlineMs = options_.deadlineMs,
        .prefix = std::move(prompt) + (same ? ",ff:10" : ",f" + number + ":10"),
        .gateway = gateway };
    const auto index = sound_.size();
    if (sound)
        sound_.push_back({ request.attempt, world.loop().timers().now() });
    pending_.push_back(world.begin(request)
                           .then([this, sound, index](wire::HttpAnswer&& answer) {
                               if (sound)
                                   sound_[index].status = answer.status;
                           })
                           .eagerlyEvaluate(nullptr));
}

auto PartCrashes::sendOne() -> void
{
    const auto number = sent_;
    const auto gateway = (number / (1 + options_.soundEach)) % world_.world().gateways();
    send(gateway, false, options_.crashingPrompt(number));
    for (auto count = std::size_t(0); count < options_.soundEach; ++count)
        send(gateway, true, options_.soundPrompt(number + count));
}

auto PartCrashes::sendFor(Duration time) -> void
{
    auto& world = world_.world();
    const auto until = world.loop().timers().now() + time;
    while (world.loop().timers().now() < until) {
        sendOne();
        world.wait(options_.interval);
    }
}

auto PartCrashes::lateSends() -> std::size_t
{
    const auto& crashes = world_.crashMoments();
    if (crashes.size() < crashesBefore)
        return 0;
    const auto limit = crashes[crashesBefore - 1] + CrashWorld::noticeTime;
    auto late = std::size_t(0);
    for (auto index = std::size_t(0); index < world_.replicas(); ++index) {
        const auto& arrivals = world_.replica(index).arrivals();
        late += static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
            [&](const auto& arrival) { return arrival.attempt.starts_with(crashingName) && arrival.at > limit; }));
    }
    return late;
}

auto PartCrashes::checkSound(Moment from) -> void
{
    auto reached = std::set<std::string>();
    for (auto index = std::size_t(0); index < world_.replicas(); ++index) {
        for (const auto& arrival : world_.replica(index).arrivals())
            reached.insert(arrival.attempt);
    }
    auto sent = std::size_t(0);
    auto served = std::size_t(0);
    auto refused = std::size_t(0);
    for (const auto& one : sound_) {
        if (one.sentAt < from)
            continue;
        ++sent;
        served += one.status == 200 ? 1 : 0;
        refused += one.status == 502 && !reached.contains(one.attempt) ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("sound requests served " << served << " of " << sent << ", refused for crashes " << refused);
    BOOST_TEST(sent > 0U);
    BOOST_TEST(2 * served >= sent);
    BOOST_TEST(refused == 0U);
}

auto PartCrashes::judge() -> void
{
    constexpr auto longest = Duration(12s);
    constexpr auto judged = 2 * CrashWorld::noticeTime + Duration(4s);
    auto& world = world_.world();
    const auto begun = world.loop().timers().now();
    while (world_.crashes() < crashesBefore && world.loop().timers().now() < begun + longest)
        sendFor(options_.interval);
    if (options_.sameRequest) {
        sendFor(judged);
        checkSound(world.loop().timers().now() - 4s);
        BOOST_TEST(world_.crashes() <= crashesBefore);
        return;
    }
    BOOST_REQUIRE(world_.crashes() >= crashesNeeded);
    // The last one, if there are fewer.
    const auto from = world_.crashMoments()[std::min(world_.crashes(), crashesBefore) - 1];
    sendFor(from + judged - world.loop().timers().now());
    // What was sent last is answered or given up by then.
    world.wait(1s);
    BOOST_TEST_MESSAGE(world_.crashes() << " crashes, sent late " << lateSends());
    BOOST_TEST(lateSends() <= maxLateSends);
    checkSound(from + 2 * CrashWorld::noticeTime);
}

} // namespace eelgrass::tests
