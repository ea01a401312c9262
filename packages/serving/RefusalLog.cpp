#include "serving/RefusalLog.h"

#include "base/DurationText.h"
#include "base/Log.h"

#include <utility>

namespace eelgrass::serving {

using decisions::RequestDigest;

auto RefusalLog::requestChanged(RequestDigest request, std::string_view source) -> void
{
    changed_.insert_or_assign(request, std::string(source));
    contentsChanged(source);
}

auto RefusalLog::contentsChanged(std::string_view source) -> void
{
    changedAt_ = now();
    if (!settledTimer_.active())
        lookWhenSettled();
    if (changeTimer_.active())
        return;
    changeTimer_ = loop_.timers().after(Duration(0), [this, source = std::string(source)] {
        for (const auto& [changed, from] : std::exchange(changed_, {}))
            logRequest(changed, from);
        logContents(source);
    });
}

auto RefusalLog::lookWhenSettled() -> void
{
    const auto settledAt = changedAt_ + ledger_.settleTime();
    settledTimer_ = loop_.timers().after(settledAt - now(), [this, settledAt] {
        logContents("settled");
        if (changedAt_ + ledger_.settleTime() > settledAt)
            lookWhenSettled();
    });
}

auto RefusalLog::timePassed() -> void
{
    for (const auto& request : requests_)
        requestChanged(request, "time");
    if (!contents_.empty())
        contentsChanged("time");
}

auto RefusalLog::logRequest(RequestDigest request, std::string_view source) -> void
{
    const auto verdict = ledger_.verdict(request, now());
    if (verdict.refused == requests_.contains(request))
        return;
    metrics_.count("eelgrass_request_refusals_total", { { "change", verdict.refused ? "begins" : "ends" } });
    log::warn(verdict.refused ? "request crashes replicas" : "request may run again",
        { { "digest", std::to_string(request.value()) }, { "crashes", std::to_string(verdict.crashes) },
            { "unexplained", std::to_string(verdict.unexplained) }, { "source", std::string(source) },
            { "age_ms", millisecondsText(now() - verdict.last) },
            { "probe_ms", verdict.refused ? millisecondsText(verdict.probeFrom - now()) : "" } });
    if (!verdict.refused) {
        requests_.erase(request);
        return;
    }
    requests_.insert(request);
    onRefusal_.notify();
}

auto RefusalLog::logContents(std::string_view source) -> void
{
    auto ended = std::exchange(contents_, {});
    auto begun = std::vector<const decisions::Culprit*>();
    for (const auto& culprit : ledger_.culprits(now())) {
        contents_.insert(culprit.together);
        if (ended.erase(culprit.together) == 0)
            begun.push_back(&culprit);
    }
    // First those that have ended: another set may hold some of the same contents.
    for (const auto& together : ended)
        logEnd(together, source);
    for (const auto* culprit : begun)
        logBegin(*culprit, source);
    if (!begun.empty())
        onRefusal_.notify();
}

auto RefusalLog::logBegin(const decisions::Culprit& culprit, std::string_view source) -> void
{
    metrics_.count("eelgrass_request_refusals_total", { { "change", "begins" } });
    for (const auto& hash : culprit.together) {
        const auto [what, name] = names_.of(hash);
        const auto standing = ledger_.standing(hash, now());
        const auto wholeRunMs = standing.wholeRunAt ? millisecondsText(now() - *standing.wholeRunAt) : "-";
        metrics_.set("eelgrass_crashing_contents", { { "what", what }, { "name", name } },
            static_cast<double>(culprit.together.size()));
        log::warn("content crashes replicas",
            { { "what", what }, { "name", name }, { "hash", std::to_string(hash.value()) },
                { "together", std::to_string(culprit.together.size()) },
                { "starts", std::to_string(culprit.starts.size()) },
                { "crashes", std::to_string(culprit.weight.crashes) },
                { "moments", std::to_string(culprit.weight.moments) }, { "whole_run_ms", wholeRunMs },
                { "age_ms", millisecondsText(now() - culprit.last) }, { "source", std::string(source) } });
    }
}

auto RefusalLog::logEnd(const std::vector<decisions::SharedHash>& together, std::string_view source) -> void
{
    metrics_.count("eelgrass_request_refusals_total", { { "change", "ends" } });
    for (const auto& hash : together) {
        const auto [what, name] = names_.of(hash);
        metrics_.unset("eelgrass_crashing_contents", { { "what", what }, { "name", name } });
        log::warn("content may run again",
            { { "what", what }, { "name", name }, { "hash", std::to_string(hash.value()) },
                { "source", std::string(source) } });
    }
}

} // namespace eelgrass::serving
