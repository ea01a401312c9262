#include "ctl/CheckCommand.h"

#include "ctl/File.h"
#include "router/Settings.h"

#include <nlohmann/json.hpp>

namespace eelgrass::ctl {

namespace {

using Json = nlohmann::json;

auto problemsOf(const std::string& role, const std::string& text, const std::string& file)
    -> std::vector<SettingsProblem>
{
    if (role == "target")
        return router::parseTargetSettings(text, file).problems;
    return router::parseEntrySettings(text, file).problems;
}

auto toJson(const std::vector<SettingsProblem>& problems) -> Json
{
    auto list = Json::array();
    for (const auto& problem : problems)
        list.push_back({ { "file", problem.file }, { "line", problem.line }, { "key", problem.key },
            { "reason", problem.reason } });
    return { { "problems", list } };
}

} // namespace

auto checkSettings(const Invocation& invocation, const Streams& streams) -> ExitCode
{
    const auto& file = invocation.words.back();
    const auto text = readFile(file);
    if (!text) {
        streams.err << file << ": cannot be read\n";
        return ExitCode::Usage;
    }
    const auto guessed = text->starts_with("target:") || text->find("\ntarget:") != std::string::npos;
    const auto role = invocation.role.empty() ? (guessed ? "target" : "entry") : invocation.role;
    const auto problems = problemsOf(role, *text, file);
    if (invocation.json)
        streams.out << toJson(problems).dump() << "\n";
    else if (problems.empty())
        streams.out << file << ": good settings of a" << (role == "entry" ? "n entry" : " target") << "\n";
    else
        for (const auto& problem : problems)
            streams.err << problem << "\n";
    return problems.empty() ? ExitCode::Done : ExitCode::Usage;
}

} // namespace eelgrass::ctl
