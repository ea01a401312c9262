/// Measures the whole path against its parts, in one run: calls through entry and target process, calls straight at the
/// engine stand-in, and libsoup alone. Figures are ratios or differences within the run.
#include "bench/StreamLoad.h"
#include "tests/harness/Deployment.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace eelgrass;
using namespace eelgrass::bench;
using tests::Json;

constexpr auto adapters = 8;
constexpr auto connections = std::size_t(64);
constexpr auto streamTokens = 64;
constexpr auto timedCalls = 1000;
constexpr auto warmCalls = 50;
constexpr auto manyAdapters = 3000;
constexpr auto legTime = Duration(5s);
const auto roles = std::vector<std::string> { "e1", "t1", "t2" };

auto http(const std::string& path, const Json& body, const std::string& key) -> std::string
{
    const auto text = body.dump();
    auto request = "POST " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(text.size()) + "\r\n";
    if (!key.empty())
        request += "Authorization: Bearer " + key + "\r\n";
    return request + "\r\n" + text;
}

auto name(int adapter) -> std::string { return "adapter-" + std::to_string(adapter); }

/// Calls through the system, over all adapters in turn.
auto throughSystem(int tokens) -> MakeRequest
{
    return [tokens, turn = 0]() mutable {
        const auto body = Json { { "model", name(turn++ % adapters) }, { "prompt", "6205 at 3 kN" },
            { "max_tokens", tokens }, { "stream", true } };
        return http("/v1/completions", body, tests::callerKey);
    };
}

/// Calls straight at an engine, with ids of their own.
auto straight(int tokens, std::string prefix) -> MakeRequest
{
    return [tokens, turn = 0, prefix = std::move(prefix)]() mutable {
        const auto model = name(turn % adapters) + "@1#digest";
        const auto body = Json { { "model", model }, { "prompt", "6205 at 3 kN" }, { "max_tokens", tokens },
            { "stream", true }, { "request_id", prefix + std::to_string(turn++) } };
        return http("/v1/completions", body, "");
    };
}

auto portOf(const std::string& url) -> std::uint16_t
{
    return static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
}

/// Processor time of a process so far, seen from outside.
auto processorTime(int pid) -> Duration
{
    auto file = std::ifstream("/proc/" + std::to_string(pid) + "/stat");
    auto text = std::string(std::istreambuf_iterator<char>(file), {});
    auto fields = std::istringstream(text.substr(text.rfind(')') + 2));
    auto skipped = std::string();
    constexpr auto fieldsBeforeUserTime = 11;
    for (auto index = 0; index < fieldsBeforeUserTime; ++index)
        fields >> skipped;
    auto user = 0LL;
    auto system = 0LL;
    fields >> user >> system;
    constexpr auto microsecondsPerSecond = 1000000LL;
    return Duration((user + system) * microsecondsPerSecond / sysconf(_SC_CLK_TCK));
}

auto residentKiB(int pid) -> long
{
    auto file = std::ifstream("/proc/" + std::to_string(pid) + "/status");
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

auto percentile(std::vector<Duration> times, double share) -> double
{
    std::sort(times.begin(), times.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return static_cast<double>(times[at].count()) / 1000;
}

class PathBench {
public:
    PathBench()
    {
        const auto flags = std::vector<std::string> { "--batch=64", "--slots=8", "--fence=false" };
        for (const auto* target : { "t1", "t2" })
            deployment_.addEngineTarget(target, flags, "slots: 8, batch: 64, honours_fence: false");
        deployment_.addEntry("e1");
        auto records = Json::object();
        for (auto index = 0; index < adapters; ++index)
            records[name(index)] = record();
        deployment_.configure({ "e1" }, { { "adapters", records } });
        warmUp();
    }

    auto run() -> void
    {
        idleMemory();
        addedTime();
        requests();
        streams();
        fullMemory();
    }

private:
    static auto record() -> Json
    {
        return { { "base", "base" }, { "in_force", 1 }, { "allow", { "armor-a" } },
            { "versions", { { "1", { { "digest", "digest" } } } } } };
    }

    // Every adapter is loaded at both engines, so that no load falls into a measurement.
    auto warmUp() -> void
    {
        for (const auto* target : { "t1", "t2" }) {
            for (auto index = 0; index < adapters; ++index)
                deployment_.control(deployment_.behindUrl(target) + "/v1/load_lora_adapter",
                    { { "lora_name", name(index) + "@1#digest" } });
        }
        auto caller = TimedCaller(portOf(deployment_.entryUrl("e1")));
        auto request = throughSystem(2);
        for (auto index = 0; index < warmCalls; ++index)
            static_cast<void>(caller.firstToken(request()));
    }

    auto idleMemory() -> void
    {
        for (const auto& role : roles)
            std::printf("memory  %s idle                      %8.1f MiB\n", role.c_str(), mebibytes(role));
    }

    auto fullMemory() -> void
    {
        auto records = Json::object();
        for (auto index = adapters; index < manyAdapters; ++index)
            records[name(index)] = record();
        const auto accepted = deployment_.patch("e1", 1, { { "adapters", records } });
        std::printf("memory  patch to %d adapters: HTTP %d\n", manyAdapters, accepted.status);
        if (accepted.status == 200)
            deployment_.awaitVersion("e1", 2);
        for (const auto& role : roles)
            std::printf("memory  %s with %d adapters         %8.1f MiB\n", role.c_str(), manyAdapters, mebibytes(role));
    }

    auto mebibytes(const std::string& role) -> double
    {
        return static_cast<double>(residentKiB(deployment_.target(role).pid())) / 1024;
    }

    // Calls alternate between both ways, so that whatever else the machine does falls on both.
    auto addedTime() -> void
    {
        auto system = TimedCaller(portOf(deployment_.entryUrl("e1")));
        auto engine = TimedCaller(portOf(deployment_.behindUrl("t1")));
        auto systemRequest = throughSystem(2);
        auto engineRequest = straight(2, "timed-");
        auto throughTimes = std::vector<Duration>();
        auto straightTimes = std::vector<Duration>();
        for (auto index = 0; index < timedCalls; ++index) {
            straightTimes.push_back(engine.firstToken(engineRequest()));
            throughTimes.push_back(system.firstToken(systemRequest()));
        }
        for (const auto share : { 0.5, 0.9, 0.99 }) {
            const auto through = percentile(throughTimes, share);
            const auto direct = percentile(straightTimes, share);
            std::printf("first token p%-3.0f straight %.3f ms, through %.3f ms, added %.3f ms\n", share * 100, direct,
                through, through - direct);
        }
    }

    auto requests() -> void
    {
        const auto before = times();
        const auto result
            = runLoad({ { portOf(deployment_.entryUrl("e1")), connections, throughSystem(1), 1 } }, legTime);
        report("1-token calls, through", result);
        const auto after = times();
        for (auto index = std::size_t(0); index < roles.size(); ++index) {
            perRequest_.push_back(after[index] - before[index]);
            std::printf("processor %s per request              %8.1f us\n", roles[index].c_str(),
                per(perRequest_.back(), share(index, result.answers)));
        }
        requests_ = result.answers;
    }

    auto streams() -> void
    {
        const auto before = times();
        const auto through = runLoad(
            { { portOf(deployment_.entryUrl("e1")), connections, throughSystem(streamTokens), streamTokens } },
            legTime);
        const auto after = times();
        report("streams, through", through);
        for (auto index = std::size_t(0); index < roles.size(); ++index) {
            const auto forRequests = per(perRequest_[index], requests_) * static_cast<double>(through.answers);
            const auto spent = static_cast<double>((after[index] - before[index]).count()) - forRequests;
            std::printf("processor %s per token                %8.2f us\n", roles[index].c_str(),
                spent / static_cast<double>(share(index, through.tokens)));
        }
        const auto direct = runLoad(
            { { portOf(deployment_.behindUrl("t1")), connections / 2, straight(streamTokens, "a-"), streamTokens },
                { portOf(deployment_.behindUrl("t2")), connections / 2, straight(streamTokens, "b-"), streamTokens } },
            legTime);
        report("streams, straight at two engines", direct);
        auto bare = tests::Process("bare", "bench-bare-stream-server", { std::to_string(streamTokens) });
        const auto alone
            = runLoad({ { bare.listeningPort(), connections, straight(streamTokens, ""), streamTokens } }, legTime);
        report("streams, bare libsoup", alone);
        std::printf(
            "ratio  through / bare libsoup           %8.2f\n", through.tokensPerSecond() / alone.tokensPerSecond());
        std::printf(
            "ratio  through / two engines            %8.2f\n", through.tokensPerSecond() / direct.tokensPerSecond());
    }

    static auto report(const char* what, const LoadResult& result) -> void
    {
        std::printf("%-34s %8.0f tokens/s %8.0f answers/s, %llu failed\n", what, result.tokensPerSecond(),
            result.answersPerSecond(), static_cast<unsigned long long>(result.failed));
        if (result.failed > 0)
            std::printf("  the first that failed: %s\n", result.firstFailure.c_str());
    }

    auto times() -> std::vector<Duration>
    {
        auto list = std::vector<Duration>();
        for (const auto& role : roles)
            list.push_back(processorTime(deployment_.target(role).pid()));
        return list;
    }

    // The entry sees every request; each of the two target processes about half, which is what its cost is shared over.
    static auto share(std::size_t role, std::uint64_t count) -> std::uint64_t { return role == 0 ? count : count / 2; }

    static auto per(Duration time, std::uint64_t count) -> double
    {
        return static_cast<double>(time.count()) / static_cast<double>(std::max<std::uint64_t>(1, count));
    }

    tests::Deployment deployment_;
    std::vector<Duration> perRequest_;
    std::uint64_t requests_ = 0;
};

} // namespace

auto main() -> int
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    PathBench().run();
    return 0;
}
