// The part of Soak that sends a request which crashes the replicas that run it, and judges how often it reached them.
#include "platform/Names.h"
#include "tests/soak/Soak.h"

#include <algorithm>
#include <set>

namespace eelgrass::soak {

namespace {

namespace names = hosting::names;

// The users' rules: after the third crash of a request, or the fifth of a part, and this time, machines in touch send
// it on so often at most.
constexpr auto noticeTime = Duration(3s);
constexpr auto maxLateRuns = std::size_t(3);
constexpr auto crashesOfRequest = std::size_t(3);
constexpr auto crashesOfPart = std::size_t(5);
constexpr auto content = "crashing prompt";
constexpr auto part = "dead";

} // namespace

auto Soak::drawCrash() -> std::chrono::milliseconds
{
    constexpr auto longest = 2500U;
    return std::chrono::milliseconds(crashRandom_() % longest);
}

auto Soak::prepareCrashes() -> void
{
    const auto crash = standins::ReplicaStandin::Crash { .body = size_.crashingParts ? "" : content,
        .part = size_.crashingParts ? part : "",
        .events = crashRandom_() % 2 == 0 ? 0U : 3U,
        .after = 50ms,
        .silent = crashRandom_() % 2 == 0 };
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
    auto request = requestFor(attempt, "/resumable/x", "a1", content, deadline);
    if (size_.crashingParts) {
        request.body += " of " + attempt;
        request.fields.set(names::promptPrefix,
            "aa:60,dead:20,e" + std::to_string(crashRandom_() % 7) + ":10,f" + std::to_string(crashSenders_.size())
                + ":10");
        sendBesideCrashing(gateway);
    }
    loop_.spawn(caller->call(std::move(request))
                    .ignoreResult()
                    .catch_([](kj::Exception&&) {})
                    .attach(std::shared_ptr<wire::HttpCaller>(caller)));
    const auto pause = std::chrono::milliseconds(200 + crashRandom_() % 400);
    return loop_.sleep(pause).then([this] { return sendCrashing(); });
}

auto Soak::sendBesideCrashing(std::size_t gateway) -> void
{
    const auto attempt = "beside-" + std::to_string(besideCrashes_.size());
    auto& status = besideCrashes_[attempt];
    auto request = requestFor(attempt, "/resumable/x", "a1", "prompt of " + attempt, clientDeadline);
    request.fields.set(names::promptPrefix,
        "aa:60,e" + std::to_string(crashRandom_() % 7) + ":10,f" + std::to_string(besideCrashes_.size()) + ":10");
    auto caller = std::make_shared<wire::HttpCaller>(loop_.timers(), clientAddress(), gateways_[gateway].port);
    loop_.spawn(caller->call(std::move(request))
                    .then([&status](wire::HttpAnswer&& answer) { status = answer.status; })
                    .catch_([](kj::Exception&&) {})
                    .attach(std::shared_ptr<wire::HttpCaller>(caller)));
}

auto Soak::crashRule() const -> CrashRule
{
    return size_.crashingParts ? CrashRule { crashesOfPart, "part" } : CrashRule { crashesOfRequest, "request" };
}

auto Soak::judgeBesideCrashes(std::vector<std::string>& broken) -> void
{
    auto ran = std::set<std::string>();
    for (const auto& engine : engines_) {
        for (const auto& run : engine.replica->runs())
            ran.insert(run.attempt);
    }
    for (const auto& [attempt, status] : besideCrashes_) {
        ++faults_[status == 200 ? "beside crashing requests, served" : "beside crashing requests, not served"];
        if (status != 502 || ran.contains(attempt))
            continue;
        auto story = std::string();
        for (const auto& node : gateways_)
            story += linesOf(node.earlierLog + node.process->log(), attempt);
        const auto first = broken.empty();
        for (const auto* change : { "content crashes replicas", "content may run again", "crash counted" }) {
            for (const auto& node : gateways_)
                story += first ? linesOf(node.earlierLog + node.process->log(), change) : "";
        }
        // Other reasons for a 502 are the faults of the run.
        if (story.find("breaks off wherever it runs") != std::string::npos)
            broken.push_back("refused for crashes of what it does not hold: " + attempt + story);
    }
}

auto Soak::judgeCrashes(std::vector<std::string>& broken) -> void
{
    judgeBesideCrashes(broken);
    const auto [crashesBefore, of] = crashRule();
    faults_["crashes under one " + std::string(of)] += static_cast<int>(crashes_.size());
    if (crashes_.size() <= crashesBefore)
        return;
    const auto limit = crashes_[crashesBefore - 1] + noticeTime;
    auto late = std::size_t(0);
    auto story = std::string();
    for (const auto& engine : engines_) {
        for (const auto& run : engine.replica->runs()) {
            if (!run.attempt.starts_with("crash-") || run.at <= limit)
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
        broken.push_back("sent on after replicas had crashed under one " + std::string(of) + ": " + std::to_string(late)
            + " times" + story);
}

} // namespace eelgrass::soak
