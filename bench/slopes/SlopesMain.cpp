#include "base/Log.h"
#include "base/Secrets.h"
#include "bench/slopes/Bed.h"
#include "bench/slopes/ProcessStats.h"
#include "bench/slopes/Report.h"
#include "router/entry/TargetLink.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <unistd.h>

#include <iostream>

// NOLINTBEGIN
ABSL_FLAG(std::string, out, "build/bench", "folder for the figures");
ABSL_FLAG(bool, quick, false, "small sizes and short windows: a check that the bench runs, not a measurement");
ABSL_FLAG(std::string, only, "", "one part: adapters, targets, sessions, busy, tokens");
// NOLINTEND

namespace {

using namespace eelgrass;
using namespace eelgrass::bench;

auto quick() -> bool { return absl::GetFlag(FLAGS_quick); }
auto window() -> Duration { return quick() ? Duration(1s) : Duration(4s); }
auto seconds(Duration time) -> double { return std::chrono::duration<double>(time).count(); }
auto sizes(std::vector<int> full) -> std::vector<int>
{
    constexpr auto smaller = 20;
    for (auto& size : full)
        size = quick() ? std::max(2, size / smaller) : size;
    return full;
}

/// Processor time and platform bytes of an entry, taken at two moments.
struct Usage {
    double micros = 0;
    double bytes = 0;
};

auto usage(Bed& bed, const std::string& entry) -> Usage
{
    return { processorMicros(bed.pid(entry)), static_cast<double>(bed.platformBytes(entry)) };
}

/// What an entry spends a second while nothing is asked of it.
auto idleUsage(Bed& bed, const std::string& entry) -> Usage
{
    const auto before = usage(bed, entry);
    bed.pause(window());
    const auto after = usage(bed, entry);
    const auto time = seconds(window());
    return { (after.micros - before.micros) / time, (after.bytes - before.bytes) / time };
}

/// The configuration grows in patches of at most this many adapters: a body has a limit.
auto fillAdapters(Bed& bed, const std::string& entry, int count) -> std::uint64_t
{
    constexpr auto portion = 5000;
    auto version = std::uint64_t(0);
    for (auto first = 1; first <= count; first += portion)
        bed.patch(entry, version++, adaptersPatch(first, std::min(count, first + portion - 1)));
    return version;
}

auto measureAdapters(const std::string& folder, Report& report) -> void
{
    constexpr auto changes = 4;
    for (const auto count : sizes({ 2500, 5000, 10000, 20000 })) {
        auto bed = Bed(folder);
        bed.startEntry("writer");
        auto version = fillAdapters(bed, "writer", count);
        bed.startEntry("reader");
        bed.awaitVersion("reader", version);
        const auto start = usage(bed, "reader");
        report.add("adapter", "entry start cpu us", count, start.micros);
        report.add("adapter", "entry start bytes", count, start.bytes);
        report.add("adapter", "entry pss KiB", count, pssKiB(bed.pid("reader")));
        const auto idle = idleUsage(bed, "reader");
        const auto before = usage(bed, "reader");
        const auto from = now();
        for (auto change = 0; change < changes; ++change)
            bed.patch(
                "writer", version++, { { "adapters", { { adapterName(1 + change), { { "class", "draft" } } } } } });
        bed.awaitVersion("reader", version);
        bed.pause(1s);
        const auto after = usage(bed, "reader");
        const auto time = seconds(now() - from);
        report.add(
            "adapter", "entry cpu us a change", count, (after.micros - before.micros - idle.micros * time) / changes);
        report.add(
            "adapter", "entry bytes a change", count, (after.bytes - before.bytes - idle.bytes * time) / changes);
        report.add("adapter", "entry peak KiB", count, peakKiB(bed.pid("reader")));
        report.add("adapter", "writer peak KiB", count, peakKiB(bed.pid("writer")));
    }
}

auto measureTargets(const std::string& folder, Report& report) -> void
{
    for (const auto count : sizes({ 275, 550, 1100, 2200 })) {
        auto bed = Bed(folder);
        bed.listHosts(silentHosts(count));
        bed.startEntry("entry");
        const auto idle = idleUsage(bed, "entry");
        report.add("target", "entry cpu us a second", count, idle.micros);
        report.add("target", "entry bytes a second", count, idle.bytes);
        report.add("target", "entry pss KiB", count, pssKiB(bed.pid("entry")));
        const auto before = usage(bed, "entry");
        auto hosts = silentHosts(count);
        hosts[0]["state"] = "leaving";
        bed.listHosts(hosts);
        bed.pause(3s);
        const auto after = usage(bed, "entry");
        report.add("target", "entry cpu us a list change", count, after.micros - before.micros - 3 * idle.micros);
        report.add("target", "entry bytes a list change", count, after.bytes - before.bytes - 3 * idle.bytes);
    }
}

/// Sessions that this process holds with one target process.
class Sessions {
public:
    Sessions(Bed& bed, int count, std::uint16_t port)
        : bed_(bed)
    {
        auto host = platform::HostRecord { .target = TargetId("t1"), .address = "127.0.0.1", .port = port };
        for (auto index = 0; index < count; ++index)
            links_.push_back(std::make_unique<router::TargetLink>(bed.deployment.loop, host, tests::sharedSecret,
                "entry-" + std::to_string(index), [this](auto) { ++reports_; }));
        for (auto& link : links_)
            bed.deployment.loop.wait(link->session().ignoreResult());
    }
    ~Sessions()
    {
        links_.clear();
        bed_.pause(50ms);
    }
    Sessions(const Sessions&) = delete;
    auto operator=(const Sessions&) -> Sessions& = delete;

    [[nodiscard]] auto reports() const noexcept -> double { return static_cast<double>(reports_); }

private:
    Bed& bed_;
    std::vector<std::unique_ptr<router::TargetLink>> links_;
    std::uint64_t reports_ = 0;
};

auto targetPort(Bed& bed) -> std::uint16_t { return bed.deployment.target("t1").listeningPort(); }

auto measureSessions(const std::string& folder, Report& report) -> void
{
    auto bed = Bed(folder);
    bed.deployment.addEngineTarget("t1");
    const auto target = bed.deployment.target("t1").pid();
    for (const auto count : sizes({ 50, 100, 200, 400 })) {
        const auto targetClosed = processorMicros(target);
        const auto ownClosed = ownThreadMicros();
        auto sessions = Sessions(bed, count, targetPort(bed));
        const auto before = processorMicros(target);
        const auto ownBefore = ownThreadMicros();
        report.add("session", "target cpu us to open", count, before - targetClosed);
        report.add("session", "entry cpu us to open", count, ownBefore - ownClosed);
        bed.pause(window());
        const auto time = seconds(window());
        report.add("session", "target cpu us a second idle", count, (processorMicros(target) - before) / time);
        report.add("session", "entry cpu us a second idle", count, (ownThreadMicros() - ownBefore) / time);
        report.add("session", "target pss KiB", count, pssKiB(target));
        // This process, whose other memory is the base of the fit.
        report.add("session", "entry pss KiB", count, pssKiB(getpid()));
    }
    for (const auto count : { 4, 8, 16, 32 }) {
        auto relay = CountingRelay(targetPort(bed));
        {
            auto sessions = Sessions(bed, count, relay.port());
            report.add("session", "bytes to open", count, static_cast<double>(relay.bytes()));
            const auto before = relay.bytes();
            bed.pause(window());
            report.add("session", "bytes a second idle", count,
                static_cast<double>(relay.bytes() - before) / seconds(window()));
        }
    }
}

constexpr auto loadTokens = 20;

/// Requests one after another until `over`.
auto load(Bed& bed, std::shared_ptr<bool> over, int index) -> kj::Promise<void>
{
    if (*over)
        return kj::READY_NOW;
    return bed.complete("entry", "life", loadTokens, "p" + std::to_string(index)).then([&bed, over, index] {
        return load(bed, over, index + 1);
    });
}

/// One caller and the adapter `life`, accepted as version 1.
auto configureOneAdapter(Bed& bed) -> void
{
    bed.patch("entry", 0,
        { { "members", { { "armor-a", { { "keys", { { sha256Hex(tests::callerKey), Json::object() } } } } } } },
            { "adapters",
                { { "life",
                    { { "base", "base" }, { "in_force", 1 }, { "allow", { "armor-a" } },
                        { "versions", { { "1", { { "digest", "aa" } } } } } } } } } });
}

/// Sessions that a target process must tell of its changes while one caller keeps it busy.
auto measureBusy(const std::string& folder, Report& report) -> void
{
    auto bed = Bed(folder);
    bed.deployment.addEngineTarget("t1");
    bed.startEntry("entry");
    configureOneAdapter(bed);
    const auto target = bed.deployment.target("t1").pid();
    for (const auto count : sizes({ 50, 100, 200, 400 })) {
        auto sessions = Sessions(bed, count, targetPort(bed));
        auto over = std::make_shared<bool>(false);
        auto loading = load(bed, over, 0).eagerlyEvaluate(nullptr);
        bed.pause(500ms);
        const auto before = processorMicros(target);
        const auto reports = sessions.reports();
        bed.pause(window());
        const auto time = seconds(window());
        report.add("session", "target cpu us a second busy", count, (processorMicros(target) - before) / time);
        report.add("session", "reports a second busy", count, (sessions.reports() - reports) / time);
        *over = true;
        bed.deployment.loop.wait(kj::mv(loading));
    }
}

auto measureTokens(const std::string& folder, Report& report) -> void
{
    const auto requests = quick() ? 8 : 96;
    constexpr auto together = 16;
    auto bed = Bed(folder);
    bed.deployment.addEngineTarget("t1", { "--batch=32" }, "batch: 32");
    auto relay = CountingRelay(targetPort(bed));
    bed.listHosts(Json::array({ { { "target", "t1" }, { "availability_zone", "zone-1" }, { "serves", "base" },
        { "address", "127.0.0.1" }, { "port", relay.port() }, { "state", "live" } } }));
    bed.startEntry("entry");
    configureOneAdapter(bed);
    bed.deployment.loop.wait(bed.complete("entry", "life", 1, "warm"));
    const auto target = bed.deployment.target("t1").pid();
    for (const auto tokens : { 1, 32, 64, 128, 256 }) {
        const auto entryBefore = processorMicros(bed.pid("entry"));
        const auto targetBefore = processorMicros(target);
        const auto bytesBefore = relay.bytes();
        for (auto sent = 0; sent < requests; sent += together) {
            auto batch = kj::Vector<kj::Promise<void>>();
            for (auto index = 0; index < std::min(together, requests - sent); ++index)
                batch.add(bed.complete("entry", "life", tokens, "p" + std::to_string(sent + index)));
            bed.deployment.loop.wait(kj::joinPromises(batch.releaseAsArray()));
        }
        const auto count = static_cast<double>(requests);
        report.add("token", "entry cpu us", tokens, (processorMicros(bed.pid("entry")) - entryBefore) / count);
        report.add("token", "target cpu us", tokens, (processorMicros(target) - targetBefore) / count);
        report.add("token", "bytes entry-target", tokens, static_cast<double>(relay.bytes() - bytesBefore) / count);
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::ParseCommandLine(argc, argv);
    log::start("bench", "ERROR");
    const auto folder = absl::GetFlag(FLAGS_out);
    const auto only = absl::GetFlag(FLAGS_only);
    auto report = Report(folder);
    const auto part = [&](const char* name, auto measure) {
        if (!only.empty() && only != name)
            return;
        std::cerr << "measuring " << name << "\n";
        measure(folder, report);
    };
    part("tokens", measureTokens);
    part("sessions", measureSessions);
    part("busy", measureBusy);
    part("targets", measureTargets);
    part("adapters", measureAdapters);
}
