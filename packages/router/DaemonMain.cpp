#include "base/Base.h"
#include "router/Router.h"
#include "serving/Serving.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

// NOLINTBEGIN
ABSL_FLAG(std::string, role, "", "entry or target; gateway or agent on the users' machines");
ABSL_FLAG(std::string, settings, "", "settings file (YAML)");
ABSL_FLAG(bool, check, false, "check the settings file and exit: 0 good, 2 bad");
// NOLINTEND

namespace {

using namespace eelgrass;

constexpr auto badUsage = 2;

/// Leaves the call stack on standard error before the process ends: without it a crash says nothing of its cause.
auto reportStack() -> void
{
    constexpr auto mostFrames = 64;
    auto frames = std::array<void*, mostFrames>();
    const auto count = backtrace(frames.data(), mostFrames);
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
}

auto reportCrashes() -> void
{
    std::set_terminate([] {
        reportStack();
        std::abort();
    });
    auto action = (struct sigaction) {};
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    action.sa_handler = [](int signal) {
        reportStack();
        raise(signal);
    };
    for (const auto signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL })
        sigaction(signal, &action, nullptr);
}

auto readFile(const std::string& name) -> std::optional<std::string>
{
    auto file = std::ifstream(name);
    if (!file)
        return std::nullopt;
    auto text = std::stringstream();
    text << file.rdbuf();
    return text.str();
}

/// Prints what is wrong with the settings, or starts a role and runs it to its end; `prepare` sees loop and role first.
template <typename Role, typename Settings, typename Prepare>
auto run(const Checked<Settings>& checked, const std::string& process, const std::string& logLevel, Prepare prepare)
    -> int
{
    for (const auto& problem : checked.problems)
        std::cerr << problem << "\n";
    if (!checked.ok())
        return badUsage;
    if (absl::GetFlag(FLAGS_check))
        return 0;
    log::start(process, logLevel);
    try {
        auto loop = wire::MainLoop();
        auto role = Role(loop, checked.value);
        loop.onStopSignal([&] { role.stop(); });
        prepare(loop, role);
        role.start();
        // Without taking role and loop apart: requests and sessions that are open at the end of a planned stop are
        // events in the loop's queue, and a queue that is not empty made the stop end with an error or an abort.
        std::exit(loop.run());
    } catch (const std::exception& error) {
        log::error("not started", { { "step", "connect" }, { "reason", error.what() } });
        return 1;
    }
}

/// A role of the users' machines: its settings file may be replaced while it runs.
template <typename Role, typename Parse>
auto serveReloadable(const std::string& file, const char* process, Parse parse) -> int
{
    const auto checked = parse(readFile(file).value_or(std::string()), file);
    const auto& host = checked.value.host;
    return run<Role>(
        checked, std::string(process) + ":" + host.name, host.logLevel, [&](wire::MainLoop& loop, Role& role) {
            loop.onReloadSignal([&] {
                const auto fresh = parse(readFile(file).value_or(std::string()), file);
                for (const auto& problem : fresh.problems)
                    log::error("settings not taken", { { "key", problem.key }, { "reason", problem.reason } });
                if (fresh.ok())
                    role.reload(fresh.value);
            });
        });
}

template <typename Role> auto serve(const auto& checked, const char* process) -> int
{
    const auto& common = checked.value.common;
    return run<Role>(checked, std::string(process) + ":" + common.name, common.logLevel, [](wire::MainLoop&, Role&) {});
}

} // namespace

auto main(int argc, char** argv) -> int
{
    reportCrashes();
    absl::SetProgramUsageMessage(
        "The daemon of eelgrassrouter.\n\n  eelgrassrouterd --role=entry|target --settings=FILE [--check]");
    absl::ParseCommandLine(argc, argv);
    const auto file = absl::GetFlag(FLAGS_settings);
    const auto role = absl::GetFlag(FLAGS_role);
    static const auto roles = std::set<std::string> { "entry", "target", "gateway", "agent" };
    if (!roles.contains(role)) {
        std::cerr << "--role must be entry, target, gateway or agent\n";
        return badUsage;
    }
    const auto text = readFile(file);
    if (!text) {
        std::cerr << file << ": cannot be read\n";
        return badUsage;
    }
    if (role == "gateway")
        return serveReloadable<serving::GatewayRole>(file, "gateway", serving::parseGatewaySettings);
    if (role == "agent")
        return serveReloadable<serving::AgentRole>(file, "agent", serving::parseAgentSettings);
    if (role == "entry")
        return serve<router::EntryRole>(router::parseEntrySettings(*text, file), "entry");
    return serve<router::TargetRole>(router::parseTargetSettings(*text, file), "target");
}
