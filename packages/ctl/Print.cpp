#include "ctl/Print.h"

#include <iomanip>

namespace eelgrass::ctl {

namespace {

constexpr auto nameWidth = 24;
constexpr auto zoneWidth = 12;
constexpr auto numberWidth = 8;

auto printError(const Invocation& invocation, const Streams& streams, const EntryAnswer& answer) -> void
{
    if (invocation.json) {
        streams.err << answer.body.dump() << "\n";
        return;
    }
    const auto error = answer.body.is_object() ? answer.body.value("error", Json::object()) : Json::object();
    streams.err << "error: " << error.value("message", "HTTP status " + std::to_string(answer.status)) << " ("
                << error.value("type", "unclassified") << ", step " << error.value("step", "connect");
    const auto request = error.value("request_id", "");
    if (!request.empty())
        streams.err << ", request " << request;
    streams.err << ")\n";
}

auto stateOf(const Json& target) -> std::string
{
    if (!target.value("reachable", true))
        return "not reachable";
    if (target.value("leaving", false))
        return "leaving";
    return target.value("drained", false) ? "drained" : "live";
}

} // namespace

auto show(const Invocation& invocation, const Streams& streams, const EntryAnswer& answer, const Printer& printer)
    -> ExitCode
{
    const auto code = answer.status == 0 ? ExitCode::Unavailable : exitCodeFor(answer.status);
    if (code != ExitCode::Done) {
        printError(invocation, streams, answer);
        return code;
    }
    if (invocation.json)
        streams.out << answer.body.dump() << "\n";
    else
        printer(streams.out, answer.body);
    return code;
}

auto printDocument(std::ostream& out, const Json& document) -> void
{
    constexpr auto indent = 2;
    out << document.dump(indent) << "\n";
}

auto printVersion(std::ostream& out, const Json& accepted) -> void
{
    out << "accepted as version " << accepted.value("version", 0) << "\n";
}

auto printHistory(std::ostream& out, const Json& history) -> void
{
    for (const auto& change : history) {
        out << std::setw(numberWidth) << change.value("version", 0) << "  " << std::left << std::setw(nameWidth)
            << change.value("operator", "") << std::right << "  " << change.value("patch", Json()).dump() << "\n";
    }
}

auto printStatus(std::ostream& out, const Json& status) -> void
{
    out << status.value("entry", "") << " in " << status.value("availability_zone", "") << ": "
        << (status.value("ready", false) ? "ready" : "not ready") << ", configuration "
        << status.value("config_version", 0) << ", " << status.value("adapters", 0) << " adapters, "
        << status.value("under_way", 0) << " requests under way\n";
    out << std::left << std::setw(nameWidth) << "TARGET" << std::setw(zoneWidth) << "ZONE" << std::setw(nameWidth)
        << "SERVES" << std::setw(nameWidth) << "STATE" << std::right << std::setw(numberWidth) << "QUEUED"
        << std::setw(numberWidth) << "RUNNING" << std::setw(numberWidth) << "ADAPTERS"
        << "\n";
    for (const auto& target : status.value("targets", Json::array())) {
        out << std::left << std::setw(nameWidth) << target.value("target", "") << std::setw(zoneWidth)
            << target.value("availability_zone", "") << std::setw(nameWidth) << target.value("serves", "")
            << std::setw(nameWidth) << stateOf(target) << std::right << std::setw(numberWidth)
            << target.value("queued", 0) << std::setw(numberWidth) << target.value("running", 0)
            << std::setw(numberWidth) << target.value("resident", Json::array()).size() << "\n";
    }
}

auto printExplanation(std::ostream& out, const Json& explanation) -> void
{
    const auto target = explanation.value("target", Json());
    out << explanation.value("model", "") << " for " << explanation.value("member", "") << " at "
        << explanation.value("entry", "") << ": "
        << (target.is_string() ? "would go to " + target.get<std::string>() : "no target can take it now") << "\n";
    for (const auto& candidate : explanation.value("candidates", Json::array())) {
        out << "  " << std::left << std::setw(nameWidth) << candidate.value("target", "") << std::setw(nameWidth)
            << candidate.value("reason", "") << std::right << "expected start in "
            << candidate.value("expected_start_ms", 0) << " ms\n";
    }
}

} // namespace eelgrass::ctl
