#include "base/Log.h"
#include "standins/EngineStandin.h"
#include "standins/FaultProxy.h"
#include "standins/PlatformStandin.h"
#include "standins/ServiceStandin.h"
#include "standins/StoreStandin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>

// NOLINTBEGIN
ABSL_FLAG(std::string, kind, "", "platform, store, engine, service or proxy");
ABSL_FLAG(int, port, 0, "port to listen on; 0 lets the kernel choose");
ABSL_FLAG(std::string, platform, "", "URL of the platform stand-in, for an engine's loads");
ABSL_FLAG(int, slots, 4, "adapter slots of an engine");
ABSL_FLAG(int, batch, 8, "sequences in one step of an engine");
ABSL_FLAG(int, step_us, 5000, "time of one engine step, in microseconds");
ABSL_FLAG(int, load_ms, 500, "time of one load from the weight store, in milliseconds");
ABSL_FLAG(bool, fence, true, "whether the engine refuses an order with an old fencing number");
ABSL_FLAG(std::string, crash_model, "", "an engine ends when it runs a model whose name begins so; none if empty");
ABSL_FLAG(std::string, software, "1.0", "version of an engine's software; empty if it names none");
ABSL_FLAG(int, upstream, 0, "port on loopback that a proxy passes connections to");
// NOLINTEND

namespace {

using namespace eelgrass;

auto serve(wire::MainLoop& loop, const auto& standin) -> int
{
    log::info("listening", { { "port", std::to_string(standin.port()) } });
    loop.onStopSignal([&] { loop.quit(); });
    return loop.run();
}

auto port() -> std::uint16_t { return static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)); }

auto runPlatform(wire::MainLoop& loop) -> int
{
    auto options = standins::PlatformStandin::Options { .port = port() };
    options.loadTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_ms));
    return serve(loop, standins::PlatformStandin(loop, options));
}

auto runEngine(wire::MainLoop& loop) -> int
{
    auto options = standins::EngineStandin::Options { .port = port(), .platform = absl::GetFlag(FLAGS_platform) };
    options.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
    options.batch = static_cast<std::size_t>(absl::GetFlag(FLAGS_batch));
    options.step = std::chrono::microseconds(absl::GetFlag(FLAGS_step_us));
    options.honoursFence = absl::GetFlag(FLAGS_fence);
    options.software = absl::GetFlag(FLAGS_software);
    options.crashModel = absl::GetFlag(FLAGS_crash_model);
    return serve(loop, standins::EngineStandin(loop, options));
}

auto runProxy(wire::MainLoop& loop) -> int
{
    const auto upstream = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_upstream));
    auto proxy = standins::FaultProxy(loop, { .port = port(), .upstream = upstream });
    log::info("listening",
        { { "port", std::to_string(proxy.port()) }, { "control_port", std::to_string(proxy.controlPort()) } });
    loop.onStopSignal([&] { loop.quit(); });
    return loop.run();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    absl::SetProgramUsageMessage("Takes the place of the platform, an engine or a plain service in tests.");
    absl::ParseCommandLine(argc, argv);
    const auto kind = absl::GetFlag(FLAGS_kind);
    log::start("standin-" + kind, "INFO");
    auto loop = wire::MainLoop();
    if (kind == "platform")
        return runPlatform(loop);
    if (kind == "store")
        return serve(loop, standins::StoreStandin(loop.timers()));
    if (kind == "engine")
        return runEngine(loop);
    if (kind == "service")
        return serve(loop, standins::ServiceStandin(loop, "127.0.0.1", port()));
    if (kind == "proxy")
        return runProxy(loop);
    std::cerr << "--kind must be platform, store, engine, service or proxy\n";
    return 2;
}
