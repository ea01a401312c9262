// The part of Soak that sends a request which crashes the replicas that run it, and judges how often it reached them.
#include "tests/soak/Soak.h"

#include <algorithm>

namespace eelgrass::soak {

namespace {

// The users' rule: after the third crash and this time, machines in touch send the request on so often at most.
constexpr auto noticeTime = Duration(3s);
constexpr auto maxLateRuns = std::size_t(3);
constexpr auto crashesBefore = std::size_t(3);
constexpr auto content = "crashing prompt";

} // namespace

auto Soak::drawCrash() -> std::chrono::milliseconds
{
    constexpr auto longest = 2500U;
    return std::chrono::milliseconds(crashRandom_() % longest);
}

auto Soak::prepareCrashes() -> void
{
    const auto crash = standins::ReplicaStandin::Crash {
        .body = content, .events = crashRandom_() % 2 == 0 ? 0U : 3U, .after = 50ms, .silent = crashRandom_() % 2 == 0
    };
    for (auto& engine : engines_) {
        engine.replica->crashUnder(crash, [this, &engine] {
            crashes_.push_back(loop_.timers().now());
            note(engine.replica->runs().back().attempt.starts_with("crash-") ? "crash" : "crash beside another run");
            later(drawCrash(), [this, &engine] {
                if (engine.replica->ended())
                    restartEngine(engine);
            });
        });
    }
}

auto Soak::sendCrashing() -> kj::Promise<void>
{
    if (over_)
        return kj::READY_NOW;
    const auto gateway = crashRandom_() % size_.gateways;
    const auto attempt = "crash-" + std::to_string(crashSenders_.size());
    crashSenders_[attempt] = gateway;
    auto caller = std::make_shared<wire::HttpCaller>(loop_.timers(), clientAddress(), gateways_[gateway].port);
    // A client that leaves early, now and then.
    const auto deadline = crashRandom_() % 3 == 0 ? std::chrono::milliseconds(800) : clientDeadline;
    loop_.spawn(caller->call(requestFor(attempt, "/resumable/x", "a1", content, deadline))
                    .ignoreResult()
                    .catch_([](kj::Exception&&) {})
                    .attach(std::shared_ptr<wire::HttpCaller>(caller)));
    const auto pause = std::chrono::milliseconds(200 + crashRandom_() % 400);
    return loop_.sleep(pause).then([this] { return sendCrashing(); });
}

auto Soak::judgeCrashes(std::vector<std::string>& broken) -> void
{
    faults_["crashes under one request"] += static_cast<int>(crashes_.size());
    if (crashes_.size() <= crashesBefore)
        return;
    const auto limit = crashes_[crashesBefore - 1] + noticeTime;
    auto late = std::size_t(0);
    auto story = std::string();
    for (const auto& engine : engines_) {
        for (const auto& run : engine.replica->runs()) {
            if (run.body != content || run.at <= limit)
                continue;
            const auto gateway = crashSenders_.at(run.attempt);
            if (run.at - inTouchSince(gateway, run.at) < noticeTime)
                continue;
            ++late;
            const auto& node = gateways_[gateway];
            story += linesOf(node.earlierLog + node.process->log(), run.attempt);
        }
    }
    faults_["late runs of one that crashes replicas"] += static_cast<int>(late);
    if (late > maxLateRuns)
        broken.push_back(
            "sent on after three replicas had crashed under it: " + std::to_string(late) + " times" + story);
}

} // namespace eelgrass::soak
