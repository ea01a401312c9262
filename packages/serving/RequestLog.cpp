// The part of RequestRun that logs its decisions, its sends and the versions that answers name.
#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/RequestRun.h"

namespace eelgrass::serving {

auto RequestRun::logSend() const -> void
{
    const auto now = gateway_.now();
    const auto verdict = gateway_.suspects.verdict(*content_);
    const auto parts = gateway_.suspects.partsKnown(*content_);
    const auto digest = std::to_string(content_->run.request.value());
    const auto crashes = std::to_string(verdict.crashes);
    const auto crashAge = verdict.crashes > 0 ? millisecondsText(now - verdict.last) : "";
    if (metadata_.adapter.empty()) {
        log::info("sent",
            { { "request", metadata_.attempt.str() }, { "replica", replica_->id().str() }, { "digest", digest },
                { "crashes", crashes }, { "crash_age_ms", crashAge }, { "parts", parts.parts },
                { "part_crashes", parts.crashes }, { "part_whole_run_ms", parts.wholeRunMs },
                { "left_ms", millisecondsText(timeLeft()) } });
        return;
    }
    const auto& known = knownVersion();
    const auto* agent = replica_->agent();
    const auto* decider = admittingAgent_ ? "agent" : "entry";
    const auto decidedAt = admittingAgent_ ? admissionAskedAt_ : now;
    const auto stateKnown = agent && agent->state().receivedAt != Moment();
    log::info("sent",
        { { "request", metadata_.attempt.str() }, { "replica", replica_->id().str() },
            { "software", replica_->record().software.str() }, { "adapter", metadata_.adapter.str() },
            { "version", std::to_string(runVersion_.value()) }, { "decided_by", decider },
            { "decided_ms", millisecondsText(now - decidedAt) },
            { "known_version", std::to_string(known.version.value()) },
            { "known_ms", known.learnedAt ? millisecondsText(now - *known.learnedAt) : "" },
            { "known_from", known.source }, { "confirmed_ms", millisecondsText(gateway_.configuration.age()) },
            { "state_age_ms", stateKnown ? millisecondsText(now - agent->state().receivedAt) : "" },
            { "digest", digest }, { "crashes", crashes }, { "crash_age_ms", crashAge }, { "parts", parts.parts },
            { "part_crashes", parts.crashes }, { "part_whole_run_ms", parts.wholeRunMs },
            { "left_ms", millisecondsText(timeLeft()) } });
}

auto RequestRun::noteUnanswered(std::string_view how) const -> void
{
    const auto now = gateway_.now();
    const auto& start = run_->replica->record().start;
    const auto had = std::string(run_->progress());
    const auto parts = gateway_.suspects.partsKnown(*content_);
    gateway_.metrics.count("eelgrass_unanswered_runs_total", { { "how", std::string(how) }, { "had", had } });
    log::info("run not answered",
        { { "request", metadata_.attempt.str() }, { "digest", std::to_string(content_->run.request.value()) },
            { "parts", parts.parts }, { "part_crashes", parts.crashes }, { "part_whole_run_ms", parts.wholeRunMs },
            { "replica", start.instance.str() }, { "birth", std::to_string(start.startTime.value()) },
            { "how", std::string(how) }, { "had", had }, { "ran_ms", millisecondsText(now - run_->sentAt) },
            { "silent_ms", millisecondsText(now - run_->heardAt) },
            { "crashes", std::to_string(gateway_.suspects.verdict(*content_).crashes) } });
}

auto RequestRun::noteCutOff() const -> void
{
    const auto had = std::string(run_ ? run_->progress() : "nothing");
    const auto stage = std::string(toString(this->stage()));
    gateway_.metrics.count("eelgrass_requests_cut_off_total", { { "stage", stage }, { "had", had } });
    log::warn("request cut off",
        { { "request", metadata_.attempt.str() }, { "route", route_->name.str() }, { "stage", stage }, { "had", had },
            { "events", std::to_string(forwarded_) }, { "runs", std::to_string(runs_) },
            { "replica", run_ ? run_->replica->id().str() : "" },
            { "silent_ms", run_ ? millisecondsText(gateway_.now() - run_->heardAt) : "" },
            { "took_ms", millisecondsText(gateway_.now() - beganAt_) }, { "after_stop_ms", afterStopText() },
            { "left_ms", millisecondsText(ownEndAt_.value_or(endAt_) - gateway_.now()) } });
}

auto RequestRun::afterStopText() const -> std::string
{
    return gateway_.stop ? millisecondsText(readAt_ - gateway_.stop->began()) : "";
}

auto RequestRun::noteKeyCheck() -> void
{
    const auto& configuration = gateway_.configuration;
    keyCheck_ = KeyCheck { .version = configuration.configuration()->version,
        .age = configuration.age(),
        .confirmation = configuration.confirmation() };
}

auto RequestRun::KeyCheck::ageText() const -> std::string
{
    return age == Duration::max() ? "never" : millisecondsText(age);
}

auto RequestRun::noteRetry(const RetryVerdict& verdict) const -> void
{
    const auto& decision = verdict.decision;
    const auto outcome = std::string(decision.granted ? "sent" : "refused");
    gateway_.metrics.count("eelgrass_retries_total", { { "service", service_.str() }, { "outcome", outcome } });
    log::info("retry " + outcome,
        { { "request", metadata_.attempt.str() }, { "service", service_.str() },
            { "replica", replica_ ? replica_->id().str() : "" }, { "send", std::to_string(sends_ + 1) },
            { "requests", std::to_string(decision.requests) }, { "retries", std::to_string(decision.retries) },
            { "left", std::to_string(decision.left) }, { "counted_by", verdict.countedBy } });
}

auto RequestRun::checkAnsweredVersion() -> void
{
    const auto& known = knownVersion();
    const auto& version = run_->answer.version;
    if (metadata_.adapter.empty() || !version || *version >= known.version)
        return;
    gateway_.metrics.count("eelgrass_older_version_runs_total", { { "decided_by", run_->agent ? "agent" : "entry" } });
    log::warn("run on older version",
        { { "request", metadata_.attempt.str() }, { "replica", run_->replica->id().str() },
            { "adapter", metadata_.adapter.str() }, { "version", std::to_string(version->value()) },
            { "known_version", std::to_string(known.version.value()) },
            { "known_ms", millisecondsText(gateway_.now() - *known.learnedAt) } });
}

auto RequestRun::logDecision(std::string_view event, std::string_view why) const -> void
{
    logDecision(event, why, replica_);
}

auto RequestRun::logDecision(std::string_view event, std::string_view why, const ReplicaPtr& replica) const -> void
{
    const auto* agent = replica ? replica->agent() : nullptr;
    const auto age = agent && agent->state().receivedAt != Moment()
        ? millisecondsText(gateway_.now() - agent->state().receivedAt)
        : "";
    log::info(event,
        { { "request", metadata_.attempt.str() }, { "replica", replica ? replica->id().str() : "" },
            { "adapter", metadata_.adapter.str() }, { "reason", std::string(why) }, { "state_age_ms", age },
            { "left_ms", millisecondsText(timeLeft()) } });
}

} // namespace eelgrass::serving
