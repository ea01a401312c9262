#include "base/Log.h"
#include "tests/chaos/Checker.h"
#include "tests/chaos/Run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <atomic>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>

// NOLINTBEGIN
ABSL_FLAG(int, seed, 0, "plays this one seed");
ABSL_FLAG(int, seeds, 0, "plays this many seeds, each in a process of its own");
ABSL_FLAG(int, first, 1, "the first of the seeds");
ABSL_FLAG(int, jobs, 1, "seeds played side by side");
ABSL_FLAG(int, engines, 9, "model engines, each with its target process");
ABSL_FLAG(int, services, 3, "plain services, each with its target process");
ABSL_FLAG(int, entries, 3, "entry processes");
ABSL_FLAG(int, callers, 4, "callers of each entry");
ABSL_FLAG(int, ms, 4000, "time of one run, without its start and recovery, in milliseconds");
ABSL_FLAG(std::string, logs, "", "folder that keeps the log of each process of a single seed");
ABSL_FLAG(bool, verbose, false, "logs each fault as it is played");
// NOLINTEND

namespace {

using namespace eelgrass;
using namespace eelgrass::chaos;
using tests::Json;

auto countsOf(const History& history) -> Json
{
    auto outcomes = std::map<std::string, int>();
    for (const auto& call : history.calls)
        ++outcomes[outcomeOf(call)];
    auto faults = std::map<std::string, int>();
    for (const auto& fault : history.faults)
        ++faults[fault.kind];
    auto accepted = 0;
    for (const auto& patch : history.patches)
        accepted += patch.accepted ? 1 : 0;
    return { { "requests", history.calls.size() }, { "outcomes", outcomes }, { "faults", faults },
        { "patches", history.patches.size() }, { "patches_accepted", accepted }, { "runs", history.runs.size() } };
}

auto sizeFromFlags() -> Size
{
    auto size = Size();
    size.engines = absl::GetFlag(FLAGS_engines);
    size.services = absl::GetFlag(FLAGS_services);
    size.entries = absl::GetFlag(FLAGS_entries);
    size.callersPerEntry = absl::GetFlag(FLAGS_callers);
    size.time = std::chrono::milliseconds(absl::GetFlag(FLAGS_ms));
    return size;
}

/// Plays one seed; the last line is its summary.
auto playSeed(int seed) -> int
{
    auto folder = absl::GetFlag(FLAGS_logs);
    if (!folder.empty())
        std::filesystem::create_directories(folder);
    const auto history = Run(makePlan(static_cast<std::uint64_t>(seed), sizeFromFlags()), folder).execute();
    const auto violations = check(history);
    auto list = Json::array();
    for (const auto& violation : violations) {
        std::cout << "BROKEN " << violation.promise << ": " << violation.detail << "\n";
        list.push_back(violation.promise);
    }
    auto summary = countsOf(history);
    summary["seed"] = seed;
    summary["violations"] = list;
    std::cout << "SUMMARY " << summary.dump() << "\n";
    return violations.empty() ? 0 : 1;
}

auto flagsOfSeed(int seed) -> std::vector<std::string>
{
    return { "--seed=" + std::to_string(seed), "--engines=" + std::to_string(absl::GetFlag(FLAGS_engines)),
        "--services=" + std::to_string(absl::GetFlag(FLAGS_services)),
        "--entries=" + std::to_string(absl::GetFlag(FLAGS_entries)),
        "--callers=" + std::to_string(absl::GetFlag(FLAGS_callers)),
        "--ms=" + std::to_string(absl::GetFlag(FLAGS_ms)) };
}

auto addUp(Json& total, const Json& part) -> void
{
    for (const auto& [key, value] : part.items()) {
        if (value.is_object()) {
            addUp(total[key], value);
        } else if (value.is_number()) {
            const auto before = total.contains(key) ? total[key].get<std::int64_t>() : 0;
            total[key] = before + value.get<std::int64_t>();
        }
    }
}

/// Plays many seeds and adds up what they counted.
class Series {
public:
    auto play() -> int
    {
        next_ = absl::GetFlag(FLAGS_first);
        const auto end = next_ + absl::GetFlag(FLAGS_seeds);
        auto workers = std::vector<std::thread>();
        for (auto worker = 0; worker < absl::GetFlag(FLAGS_jobs); ++worker) {
            workers.emplace_back([this, end] {
                for (auto seed = next_++; seed < end; seed = next_++)
                    playOne(seed);
            });
        }
        for (auto& worker : workers)
            worker.join();
        total_.erase("seed");
        total_["seeds"] = absl::GetFlag(FLAGS_seeds);
        total_["broken_seeds"] = broken_;
        std::cout << total_.dump() << std::endl;
        return broken_.empty() ? 0 : 1;
    }

private:
    auto playOne(int seed) -> void
    {
        auto process = tests::Process("chaos", "chaos", flagsOfSeed(seed));
        const auto code = process.wait();
        const auto log = process.end(SIGKILL);
        const auto at = log.rfind("SUMMARY ");
        auto lock = std::lock_guard(mutex_);
        if (code != 0) {
            broken_[std::to_string(seed)] = code;
            std::cout << "--- seed " << seed << " (code " << code << ")\n" << log << std::flush;
        }
        if (at != std::string::npos)
            addUp(total_, Json::parse(log.substr(at + std::string_view("SUMMARY ").size())));
    }

    std::mutex mutex_;
    std::atomic<int> next_ = 0;
    Json total_ = Json::object();
    /// Exit code of each seed that broke a promise, or could not be played.
    Json broken_ = Json::object();
};

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("Plays random faults on a whole deployment and checks every promise.");
    absl::ParseCommandLine(argc, argv);
    log::start("chaos", absl::GetFlag(FLAGS_verbose) ? "INFO" : "ERROR");
    if (absl::GetFlag(FLAGS_seeds) > 0)
        return Series().play();
    return playSeed(absl::GetFlag(FLAGS_seed));
}
