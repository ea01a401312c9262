#include "bench/slopes/ProcessStats.h"

#include <ctime>
#include <filesystem>
#include <fstream>
#include <string>

namespace eelgrass::bench {

namespace {

auto field(const std::string& file, const std::string& name) -> double
{
    auto in = std::ifstream(file);
    for (auto word = std::string(); in >> word;) {
        auto value = 0.0;
        if (word == name && in >> value)
            return value;
    }
    return 0;
}

auto folder(int pid) -> std::string { return "/proc/" + std::to_string(pid); }

constexpr auto nanosPerMicro = 1000.0;

} // namespace

auto processorMicros(int pid) -> double
{
    auto sum = 0.0;
    for (const auto& task : std::filesystem::directory_iterator(folder(pid) + "/task")) {
        auto nanos = 0.0;
        std::ifstream(task.path() / "schedstat") >> nanos;
        sum += nanos / nanosPerMicro;
    }
    return sum;
}

auto ownThreadMicros() -> double
{
    constexpr auto microsPerSecond = 1e6;
    auto time = timespec {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * microsPerSecond + static_cast<double>(time.tv_nsec) / nanosPerMicro;
}

auto pssKiB(int pid) -> double { return field(folder(pid) + "/smaps_rollup", "Pss:"); }

auto peakKiB(int pid) -> double { return field(folder(pid) + "/status", "VmHWM:"); }

} // namespace eelgrass::bench
