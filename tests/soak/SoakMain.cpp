#include "base/Log.h"
#include "tests/soak/Soak.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <filesystem>
#include <iostream>
#include <unistd.h>

// NOLINTBEGIN
ABSL_FLAG(std::uint64_t, first, 1, "the first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "how many seeds, one after another");
ABSL_FLAG(int, ms, 6000, "time of the faults of one seed, in milliseconds");
ABSL_FLAG(int, minutes, 0, "plays fresh seeds for this long in place of the given ones");
ABSL_FLAG(std::size_t, gateways, 3, "gateway processes");
ABSL_FLAG(std::size_t, engines, 4, "model replicas, each with its agent process");
ABSL_FLAG(std::size_t, clients, 12, "clients that ask at the same time");
ABSL_FLAG(bool, versions, false, "names versions of the most-wanted adapters beside the faults");
ABSL_FLAG(bool, releases, false, "replicas of several software versions, releases, and streams that are taken up");
ABSL_FLAG(bool, retries, false, "light traffic, failing replicas, gateways and agents killed in series");
ABSL_FLAG(bool, keys, false, "members whose keys come and go, a store process, suspended processes");
ABSL_FLAG(bool, pauses, false, "sound replicas that fall silent and go on, changes of the configuration all along");
ABSL_FLAG(
    bool, crashes, false, "a request that crashes the replicas that run it, beside the faults of any kind of run");
ABSL_FLAG(bool, parts, false, "with --crashes: one part of prompts crashes them, in requests that are all different");
ABSL_FLAG(bool, demand, false, "popular and rare adapters and prefixes on slow replicas, beside the faults of any run");
ABSL_FLAG(double, prompts, 0, "long and short prompts, so many times what the replicas can read; 0 for none");
ABSL_FLAG(bool, faultless, false, "nothing but the traffic disturbs");
ABSL_FLAG(std::string, logs, "", "folder for the logs of all processes; none if empty");
ABSL_FLAG(std::size_t, cores, 0, "processor cores that the processes of the system share; 0 for all");
// NOLINTEND

namespace {

using namespace eelgrass;

/// Plays one seed; whether every promise held.
auto playSeed(std::uint64_t seed, std::size_t& calls, std::map<std::string, int>& faults) -> bool
{
    auto size = soak::Size { .gateways = absl::GetFlag(FLAGS_gateways), .engines = absl::GetFlag(FLAGS_engines) };
    size.clients = absl::GetFlag(FLAGS_clients);
    size.namesVersions = absl::GetFlag(FLAGS_versions);
    size.releases = absl::GetFlag(FLAGS_releases);
    size.retries = absl::GetFlag(FLAGS_retries);
    size.keys = absl::GetFlag(FLAGS_keys);
    size.pauses = absl::GetFlag(FLAGS_pauses);
    size.crashes = absl::GetFlag(FLAGS_crashes);
    size.crashingParts = absl::GetFlag(FLAGS_parts);
    size.demand = absl::GetFlag(FLAGS_demand);
    size.prompts = absl::GetFlag(FLAGS_prompts);
    size.faultless = absl::GetFlag(FLAGS_faultless);
    size.cores = absl::GetFlag(FLAGS_cores);
    size.logs = absl::GetFlag(FLAGS_logs);
    size.time = std::chrono::milliseconds(absl::GetFlag(FLAGS_ms));
    const auto folder = std::filesystem::temp_directory_path() / ("eelgrass-soak-" + std::to_string(getpid()));
    auto run = soak::Soak(seed, size, folder.string());
    const auto broken = run.play();
    for (const auto& line : broken)
        std::cout << "BROKEN seed " << seed << ": " << line << "\n";
    std::cout << "seed " << seed << ": " << run.calls() << " requests, " << (broken.empty() ? "well" : "broken");
    for (const auto& [status, count] : run.statuses())
        std::cout << ", " << count << " x " << status;
    if (size.keys)
        std::cout << ", latest run " << run.latestRemovedKeyRun() / 1ms << " ms after its key was taken away";
    std::cout << std::endl;
    calls += run.calls();
    for (const auto& [kind, count] : run.faults())
        faults[kind] += count;
    for (const auto& [kind, count] : run.streamCounts())
        faults[kind] += count;
    return broken.empty();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("Plays random faults on the serving layer and checks its promises.");
    absl::ParseCommandLine(argc, argv);
    log::start("soak", "ERROR");
    const auto minutes = std::chrono::minutes(absl::GetFlag(FLAGS_minutes));
    const auto until = std::chrono::steady_clock::now() + minutes;
    const auto fresh = minutes.count() > 0;
    const auto first = fresh
        ? static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count() % 1000000)
        : absl::GetFlag(FLAGS_first);
    auto failed = 0;
    auto played = std::uint64_t(0);
    auto calls = std::size_t(0);
    auto faults = std::map<std::string, int>();
    while (fresh ? std::chrono::steady_clock::now() < until : played < absl::GetFlag(FLAGS_seeds))
        failed += playSeed(first + played++, calls, faults) ? 0 : 1;
    for (const auto& [kind, count] : faults)
        std::cout << count << " " << kind << "\n";
    std::cout << "SUMMARY " << played << " seeds, " << calls << " requests, " << failed << " seeds broken\n";
    return failed == 0 ? 0 : 1;
}
