#include "ctl/Commands.h"

#include "ctl/CheckCommand.h"
#include "ctl/ConfigCommands.h"
#include "ctl/File.h"
#include "ctl/Print.h"
#include "ctl/TraceCommand.h"

#include <algorithm>
#include <array>

namespace eelgrass::ctl {

namespace {

using Words = std::vector<std::string>;

auto showStatus(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    return show(invocation, streams, entry.get("status"), printStatus);
}

auto drain(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    const auto path = "targets/" + urlEscaped(invocation.words.back()) + "/drain";
    return show(invocation, streams, entry.send(invocation.undo ? "DELETE" : "POST", path), printVersion);
}

auto explain(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    const auto path
        = "explain?model=" + urlEscaped(invocation.words.back()) + "&member=" + urlEscaped(invocation.member);
    return show(invocation, streams, entry.get(path), printExplanation);
}

/// A command that asks an entry; `words` names it, and `arguments` more words follow.
struct Command {
    std::array<std::string_view, 2> words;
    std::size_t arguments = 0;
    ExitCode (*run)(const Invocation&, const Streams&, EntryClient&) = nullptr;
};

constexpr auto commands = std::array {
    Command { { "config", "get" }, 0, getConfig },
    Command { { "config", "patch" }, 1, patchConfig },
    Command { { "config", "history" }, 0, showHistory },
    Command { { "adapters", "create" }, 1, createAdapter },
    Command { { "adapters", "version" }, 1, addVersion },
    Command { { "adapters", "allow" }, 1, allowMember },
    Command { { "status", "" }, 0, showStatus },
    Command { { "drain", "" }, 1, drain },
    Command { { "explain", "" }, 1, explain },
};

auto names(const Command& command, const Words& words) -> bool
{
    const auto two = !command.words[1].empty();
    const auto named = (two ? 2U : 1U) + command.arguments;
    return words.size() == named && words[0] == command.words[0] && (!two || words[1] == command.words[1]);
}

auto trimmed(std::string text) -> std::string
{
    text.erase(std::find_if(text.begin(), text.end(), [](char letter) { return letter == '\n' || letter == '\r'; }),
        text.end());
    return text;
}

auto ask(const Command& command, const Invocation& invocation, const Streams& streams) -> ExitCode
{
    if (invocation.entry.empty() || invocation.keyFile.empty()) {
        streams.err << "--entry=URL and --key-file=FILE are needed\n";
        return ExitCode::Usage;
    }
    const auto key = readFile(invocation.keyFile);
    if (!key) {
        streams.err << invocation.keyFile << ": cannot be read\n";
        return ExitCode::Usage;
    }
    auto entry = EntryClient(invocation.entry, trimmed(*key));
    return command.run(invocation, streams, entry);
}

} // namespace

auto run(const Invocation& invocation, const Streams& streams) -> ExitCode
{
    const auto& words = invocation.words;
    if (words.size() == 2 && words[0] == "check")
        return checkSettings(invocation, streams);
    if (words.size() >= 3 && words[0] == "trace")
        return traceRequest(invocation, streams);
    const auto* found
        = std::find_if(commands.begin(), commands.end(), [&](const Command& command) { return names(command, words); });
    if (found != commands.end())
        return ask(*found, invocation, streams);
    streams.err << "no such command; --help lists them\n";
    return ExitCode::Usage;
}

auto usage() -> std::string_view
{
    return R"(The operators' client of eelgrassrouter.

  eelgrassctl --entry=URL --key-file=FILE COMMAND

  config get                        the configuration in force
  config patch FILE --against=N     submit a JSON merge patch against version N (FILE - reads standard input)
  config history                    the accepted patches
  adapters create NAME --base=MODEL --digest=D [--class=C] [--allow=MEMBER,...]
  adapters version NAME --digest=D [--activate]
                                    add the next version; --activate puts it in force
  adapters allow NAME --member=M [--undo]
                                    let a member call the adapter, or no longer
  status                            the entry and the targets as it sees them
  drain TARGET [--undo]             no new work for a target, at any entry
  explain MODEL [--member=M]        where a request would go now, and why
  check FILE [--role=entry|target]  check a settings file; asks no entry
  trace ID FILE...                  the story of one request from the logs of all processes; asks no entry

  --json prints results and errors as JSON. The key is read from a file and never taken from the command line.

Exit codes: 0 done, 1 answer not understood, 2 bad usage or settings, 3 stale version, 4 not found, 5 not allowed,
6 refused, 7 entry or platform away.)";
}

} // namespace eelgrass::ctl
