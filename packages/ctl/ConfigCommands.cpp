#include "ctl/ConfigCommands.h"

#include "base/JsonText.h"
#include "ctl/File.h"
#include "ctl/Print.h"

#include <algorithm>

namespace eelgrass::ctl {

namespace {

constexpr auto notFound = 404;

auto adapterPath(const Invocation& invocation) -> std::string
{
    return "adapters/" + urlEscaped(invocation.words.back());
}

auto submit(const Invocation& invocation, const Streams& streams, EntryClient& entry, Json change,
    const std::string& version) -> ExitCode
{
    const auto patch = Json { { "adapters", { { invocation.words.back(), std::move(change) } } } };
    return show(invocation, streams, entry.patch(patch, version), printVersion);
}

auto needed(const Streams& streams, const std::string& value, const char* flag) -> bool
{
    if (value.empty())
        streams.err << flag << " is needed\n";
    return !value.empty();
}

auto nextVersion(const Json& adapter) -> std::uint64_t
{
    auto highest = std::uint64_t(0);
    const auto versions = adapter.value("versions", Json::object());
    for (const auto& [number, version] : versions.items())
        highest = std::max<std::uint64_t>(highest, std::stoull(number));
    return highest + 1;
}

} // namespace

auto getConfig(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    const auto answer = entry.get("config");
    return show(invocation, streams, answer, [&](std::ostream& out, const Json& document) {
        printDocument(out, document);
        streams.err << "version " << answer.version << "\n";
    });
}

auto patchConfig(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    if (!needed(streams, invocation.against, "--against=VERSION"))
        return ExitCode::Usage;
    const auto text = readFile(invocation.words.back());
    const auto patch = text ? parseJson(*text) : Json();
    if (!patch.is_object()) {
        streams.err << invocation.words.back() << ": is not a JSON object\n";
        return ExitCode::Usage;
    }
    return show(invocation, streams, entry.patch(patch, invocation.against), printVersion);
}

auto showHistory(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    return show(invocation, streams, entry.get("config/history"), printHistory);
}

auto createAdapter(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    if (!needed(streams, invocation.base, "--base=MODEL") || !needed(streams, invocation.digest, "--digest=DIGEST"))
        return ExitCode::Usage;
    const auto known = entry.get(adapterPath(invocation));
    if (known.status == 200) {
        streams.err << "error: there is an adapter '" << invocation.words.back() << "' already\n";
        return ExitCode::Refused;
    }
    if (known.status != notFound)
        return show(invocation, streams, known, printDocument);
    auto adapter = Json { { "base", invocation.base }, { "in_force", 1 }, { "allow", invocation.allow },
        { "versions", { { "1", { { "digest", invocation.digest } } } } } };
    if (!invocation.requestClass.empty())
        adapter["class"] = invocation.requestClass;
    return submit(invocation, streams, entry, std::move(adapter), known.version);
}

auto addVersion(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    if (!needed(streams, invocation.digest, "--digest=DIGEST"))
        return ExitCode::Usage;
    const auto known = entry.get(adapterPath(invocation));
    if (known.status != 200)
        return show(invocation, streams, known, printDocument);
    const auto number = nextVersion(known.body);
    auto change = Json { { "versions", { { std::to_string(number), { { "digest", invocation.digest } } } } } };
    if (invocation.activate)
        change["in_force"] = number;
    return submit(invocation, streams, entry, std::move(change), known.version);
}

auto allowMember(const Invocation& invocation, const Streams& streams, EntryClient& entry) -> ExitCode
{
    if (!needed(streams, invocation.member, "--member=MEMBER"))
        return ExitCode::Usage;
    const auto known = entry.get(adapterPath(invocation));
    if (known.status != 200)
        return show(invocation, streams, known, printDocument);
    // A merge patch replaces a list as a whole.
    auto allowed = known.body.value("allow", std::vector<std::string>());
    std::erase(allowed, invocation.member);
    if (!invocation.undo)
        allowed.push_back(invocation.member);
    return submit(invocation, streams, entry, { { "allow", allowed } }, known.version);
}

} // namespace eelgrass::ctl
