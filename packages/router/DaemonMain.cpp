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

/// Exit code for bad flags or settings.
constexpr auto badUsage = 2;

/// Prints the call stack to standard error, so that a crash of the process shows its cause.
auto printStack() -> void
{
    constexpr auto maxFrames = 64;
    auto frames = std::array<void*, maxFrames>();
    const auto count = backtrace(frames.data(), maxFrames);
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
}

/// Prints the call stack when the process ends by std::terminate or a fatal signal.
auto installCrashHandlers() -> void
{
    std::set_terminate([] {
        printStack();
        std::abort();
    });
    auto action = (struct sigaction) {};
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    action.sa_handler = [](int signal) {
        printStack();
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

/// Prints the problems of the settings, or runs a role until it stops. Calls `prepare` with the loop and the role
/// before the role starts. Returns the exit code.
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
        // Exits without destroying the role and the loop: requests and sessions that are still open at a planned stop
        // are events in the loop's queue, and destroying a non-empty queue ended the process with an error or an abort.
        std::exit(loop.run());
    } catch (const std::exception& error) {
        log::error("not started", { { "step", "connect" }, { "reason", error.what() } });
        return 1;
    }
}

/// Runs a gateway or an agent. The settings file is read again on a reload signal. If the file has problems, they are
/// logged and the old settings stay in use.
template <typename Role, typename Parse>
auto serveReloadable(const std::string& file, const char* process, Parse parse) -> int
{
    const auto checked = parse(readFile(file).value_or(std::string()), file);
    const auto& host = checked.value.host;
    return run<Role>(
        checked, std::string(process) + ":" + host.name, host.logLevel, [&](wire::MainLoop& loop, Role& role) {
            loop.onReloadSignal([&] {
                const auto reloaded = parse(readFile(file).value_or(std::string()), file);
                for (const auto& problem : reloaded.problems)
                    log::error("settings rejected", { { "key", problem.key }, { "reason", problem.reason } });
                if (reloaded.ok())
                    role.reload(reloaded.value);
            });
        });
}

/// Runs an entry or a target. Their settings are read only at the start.
template <typename Role> auto serve(const auto& checked, const char* process) -> int
{
    const auto& common = checked.value.common;
    return run<Role>(checked, std::string(process) + ":" + common.name, common.logLevel, [](wire::MainLoop&, Role&) {});
}

} // namespace

auto main(int argc, char** argv) -> int
{
    installCrashHandlers();
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
