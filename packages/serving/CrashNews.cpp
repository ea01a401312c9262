#include "serving/CrashNews.h"

#include "decisions/FirstByRendezvous.h"

#include <optional>
#include <tuple>
#include <utility>

namespace eelgrass::serving {

using decisions::CrashEvidence;
using decisions::CrashReport;
using decisions::WholeRun;

namespace {

auto keyOf(const CrashReport& report) { return std::tuple(report.request, report.start, report.breaksBefore); }

} // namespace

auto CrashNews::hubs() const -> Hubs
{
    // By endpoint, since an agent has two links while two starts of its replica are listed.
    auto hubs = Hubs();
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (agent && agent->isHub() && agent->alive())
            hubs[agent->endpointHash()] = agent;
    }
    return hubs;
}

template <typename Hash> auto CrashNews::keepersOf(Hash hash, const Hubs& hubs) -> std::vector<AgentLink*>
{
    auto first = decisions::FirstByRendezvous<AgentLink*>(hash.value(), keepersPerHash);
    for (const auto& [hubHash, agent] : hubs)
        first.offer(agent, hubHash);
    return first.nodes();
}

auto CrashNews::tell(const std::vector<CrashReport>& reports) const -> void
{
    if (reports.empty())
        return;
    const auto hubs = this->hubs();
    for (const auto& report : reports) {
        for (auto* agent : keepersOf(report.request, hubs))
            agent->noteCrashes({ report });
    }
}

auto CrashNews::tell(const std::vector<WholeRun>& runs) const -> void
{
    if (runs.empty())
        return;
    const auto hubs = this->hubs();
    for (const auto& run : runs) {
        for (auto* agent : keepersOf(run.held, hubs))
            agent->noteCrashes({}, { run });
    }
}

auto CrashNews::tellMissing(const decisions::CrashLedger& ledger, Duration recent, Moment now) const -> void
{
    auto reports = ledger.reports(now);
    std::erase_if(reports, [&](const CrashReport& report) { return now - report.at < recent; });
    const auto hubs = this->hubs();
    auto untold = UntoldByAgent();
    addReports(untold, reports, hubs);
    addWholeRuns(untold, ledger, hubs, now);
    for (const auto& [agent, news] : untold)
        agent->noteCrashes(news.reports, news.wholeRuns);
}

auto CrashNews::addReports(UntoldByAgent& untold, const std::vector<CrashReport>& reports, const Hubs& hubs) -> void
{
    using Stated = std::map<decltype(keyOf(CrashReport())), CrashEvidence>;
    auto stated = std::map<AgentLink*, Stated>();
    for (const auto& report : reports) {
        for (auto* agent : keepersOf(report.request, hubs)) {
            const auto [states, added] = stated.try_emplace(agent);
            for (const auto& one : added ? agent->state().crashes : std::vector<CrashReport>())
                states->second[keyOf(one)] = one.evidence;
            const auto found = states->second.find(keyOf(report));
            if (found == states->second.end() || found->second < report.evidence)
                untold[agent].reports.push_back(report);
        }
    }
}

auto CrashNews::addWholeRuns(UntoldByAgent& untold, const decisions::CrashLedger& ledger, const Hubs& hubs, Moment now)
    -> void
{
    auto stated = std::map<std::pair<AgentLink*, decisions::SharedHash>, Moment>();
    for (const auto& [hash, agent] : hubs) {
        for (const auto& run : agent->state().wholeRuns)
            stated[{ agent, run.held }] = run.begunAt;
    }
    for (const auto& run : ledger.wholeRuns(now)) {
        for (auto* agent : keepersOf(run.held, hubs)) {
            const auto known = stated.find({ agent, run.held });
            if (ledger.isNews(run, known == stated.end() ? std::nullopt : std::optional(known->second), now))
                untold[agent].wholeRuns.push_back(run);
        }
    }
}

auto CrashNews::keepersText(decisions::RequestDigest request) const -> std::string
{
    auto text = std::string();
    for (const auto* agent : keepersOf(request, hubs()))
        text += (text.empty() ? "" : " ") + agent->endpoint().str();
    return text;
}

} // namespace eelgrass::serving
