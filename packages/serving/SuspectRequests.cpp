#include "serving/SuspectRequests.h"

#include "base/DurationText.h"
#include "base/Log.h"
#include "base/TextHash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace eelgrass::serving {

using decisions::CrashEvidence;
using decisions::StartHash;

auto hashOf(const ReplicaStart& start) -> StartHash
{
    return StartHash(hashText(start.startTime.value(), start.instance.str()));
}

auto SuspectRequests::findRun(const ReplicaRun& run) -> OpenRun*
{
    const auto found = runs_.find(hashOf(run.replica->record().start));
    if (found == runs_.end())
        return nullptr;
    const auto open = std::find_if(found->second.begin(), found->second.end(),
        [&](const OpenRun& candidate) { return candidate.run == &run && !candidate.endedAt; });
    return open == found->second.end() ? nullptr : &*open;
}

auto SuspectRequests::removeRun(const ReplicaRun& run) -> void
{
    const auto found = runs_.find(hashOf(run.replica->record().start));
    if (found == runs_.end())
        return;
    runCount_ -= std::erase_if(
        found->second, [&](const OpenRun& candidate) { return candidate.run == &run && !candidate.endedAt; });
    if (found->second.empty())
        runs_.erase(found);
}

auto SuspectRequests::streamedFor(const ReplicaRun& run) -> Duration
{
    return run.hasEvents ? run.heardAt - run.firstEventAt : Duration(0);
}

auto SuspectRequests::runBegan(
    const ContentPtr& content, const AttemptId& attempt, const std::shared_ptr<ReplicaRun>& run) -> void
{
    probes_.runBegan(attempt);
    if (runCount_ >= maxOpenRuns) {
        for (auto& [start, runs] : runs_)
            runCount_
                -= std::erase_if(runs, [](const OpenRun& open) { return !open.endedAt && open.progress.expired(); });
    }
    if (runCount_ >= maxOpenRuns)
        return;
    ++runCount_;
    runs_[hashOf(run->replica->record().start)].push_back(
        { .content = content, .run = run.get(), .progress = run, .replica = run->replica, .begunAt = now() });
}

auto SuspectRequests::runAnswered(const ReplicaRun& run, bool clears) -> void
{
    auto* open = findRun(run);
    if (!open)
        return;
    open->answerBegunAt = run.hasEvents ? run.firstEventAt : run.heardAt;
    if (clears && run.connection->answerEndedWithConnection()) {
        open->answered = true;
        return runLeft(run);
    }
    const auto answered = *open;
    removeRun(run);
    if (clears)
        clear(*answered.content, answered.replica, answered.answerBegunAt);
}

auto SuspectRequests::clear(const RequestContent& content, const ReplicaPtr& replica, Moment answerBegunAt) -> void
{
    tell(ledger_.ranWhole(content.run.shared, answerBegunAt, now()));
    const auto cleared = ledger_.clear(content.run.request, now());
    if (cleared.empty())
        return;
    metrics_.count("eelgrass_request_crashes_total", { { "outcome", "cleared" } });
    log::info("request cleared of crashes",
        { { "digest", std::to_string(content.run.request.value()) }, { "parts", content.partsText() },
            { "reports", std::to_string(cleared.size()) }, { "replica", replica->id().str() } });
    tell(cleared);
    refusals_.requestChanged(content.run.request, "answered");
}

auto SuspectRequests::runWentOn(const RequestContent& content, ReplicaRun& run) -> void
{
    if (run.proven || streamedFor(run) < provenStreamTime)
        return;
    run.proven = true;
    tell(ledger_.ranWhole(content.run.shared, run.firstEventAt, now()));
}

auto SuspectRequests::runBroke(const ReplicaRun& run, bool begun) -> void
{
    auto* open = findRun(run);
    if (!open)
        return;
    // Streams that have begun also break off because connections are reset, and their clients take them up and lose
    // them again.
    const auto waits = begun && run.replica->agent();
    const auto over = open->unlistedAt || over_.contains(hashOf(run.replica->record().start));
    if (waits || over || !excuse(*open).empty())
        return runLeft(run);
    const auto broken = *open;
    removeRun(run);
    count(broken, CrashEvidence::Broke, "broken off");
}

auto SuspectRequests::runLeft(const ReplicaRun& run) -> void
{
    auto* open = findRun(run);
    if (!open)
        return;
    open->heardAt = run.heardAt;
    open->streamedFor = streamedFor(run);
    open->hadEvents = run.hasEvents;
    open->endedAt = now();
    const auto why = excuse(*open);
    const auto over = open->unlistedAt || over_.contains(hashOf(run.replica->record().start));
    if (!over && why.empty()) {
        metrics_.count("eelgrass_request_crashes_total", { { "outcome", "waits" } });
        return startRepeating();
    }
    const auto ended = *open;
    open->endedAt.reset();
    removeRun(run);
    if (why.empty())
        count(ended, CrashEvidence::Crashed, "replica over");
    else
        note("run not ended by a crash", "not counted", ended, why);
}

auto SuspectRequests::excuse(const OpenRun& run) const -> std::string_view
{
    const auto progress = run.endedAt ? nullptr : run.progress.lock();
    const auto heardAt = progress ? progress->heardAt : run.heardAt;
    if (run.replica->leavesByPlan())
        return "the replica left by plan";
    if (run.unlistedAt && heardAt > *run.unlistedAt)
        return "the replica served after it had left the list";
    if (run.endedAt && run.replica->provenAliveAt() > *run.endedAt)
        return "the replica outlived the run";
    if ((progress ? streamedFor(*progress) : run.streamedFor) >= provenStreamTime)
        return "the stream had gone on for long";
    return {};
}

auto SuspectRequests::hadEvents(const OpenRun& run) -> bool
{
    const auto progress = run.endedAt ? nullptr : run.progress.lock();
    return progress ? progress->hasEvents : run.hadEvents;
}

auto SuspectRequests::count(const OpenRun& run, CrashEvidence evidence, std::string_view source) -> void
{
    const auto start = hashOf(run.replica->record().start);
    const auto& content = run.content->run;
    const auto report = CrashReport { .request = content.request,
        .start = start,
        .breaksBefore = ledger_.breaksAt(content.request, start, run.begunAt),
        .evidence = evidence,
        .at = run.endedAt.value_or(now()),
        .shared = content.shared,
        .begun = hadEvents(run) };
    const auto fresh = ledger_.apply(report, now());
    note(evidence == CrashEvidence::Crashed ? "crash counted" : "break counted",
        evidence == CrashEvidence::Crashed ? "crashed" : "broke", run, source);
    if (!fresh)
        return;
    tell({ report });
    refusals_.requestChanged(content.request, "this entry");
}

auto SuspectRequests::startEnded(const ReplicaStart& start, StartEnd end, std::string_view source) -> void
{
    const auto hash = hashOf(start);
    if (end == StartEnd::Over && !over_.emplace(hash, now()).second)
        return;
    if (const auto found = runs_.find(hash); found != runs_.end()) {
        auto ended = OpenRuns();
        for (auto& run : found->second) {
            // A row that has gained or lost its time of birth is another start here: the end of this run was not found.
            if (!run.endedAt && run.progress.expired())
                continue;
            if (end == StartEnd::Over || run.endedAt)
                ended.push_back(run);
            else if (end == StartEnd::Unlisted)
                run.unlistedAt = now();
        }
        runCount_
            -= std::erase_if(found->second, [&](const OpenRun& run) { return end == StartEnd::Over || run.endedAt; });
        if (found->second.empty())
            runs_.erase(found);
        for (const auto& run : ended) {
            if (const auto why = excuse(run); why.empty())
                count(run, CrashEvidence::Crashed, source);
            else
                note("run not ended by a crash", "not counted", run, why);
        }
    }
    // A replica that cannot be reached may only pause, unless its connections broke off a moment ago.
    const auto since = end == StartEnd::Unreachable ? now() - breakBeforeLoss : Moment::min();
    const auto confirmed = ledger_.confirm(hash, since, now());
    for (const auto& one : confirmed) {
        metrics_.count("eelgrass_request_crashes_total", { { "outcome", "confirmed" } });
        log::info("crash confirmed",
            { { "digest", std::to_string(one.request.value()) }, { "replica", start.instance.str() },
                { "birth", std::to_string(start.startTime.value()) }, { "source", std::string(source) } });
    }
    tell(confirmed);
}

auto SuspectRequests::startListed(const Replica& replica) -> void
{
    const auto& start = replica.record().start;
    // A late heartbeat of a start that is over lists it again.
    if (over_.contains(hashOf(start)))
        return;
    auto [last, added] = listedAt_.try_emplace(replica.record().endpoint.str(), start);
    if (added || hashOf(last->second) == hashOf(start))
        return;
    const auto before = std::exchange(last->second, start);
    startEnded(before, StartEnd::Over, "list");
}

auto SuspectRequests::applyPublished(const AgentLink& agent) -> void
{
    const auto& state = agent.state();
    if (!state.lostStart.instance.empty())
        startEnded(state.lostStart, state.lostIsOver ? StartEnd::Over : StartEnd::Unreachable, agent.endpoint().str());
    auto changed = std::set<RequestDigest>();
    for (const auto& report : state.crashes) {
        if (ledger_.apply(report, now()))
            changed.insert(report.request);
    }
    auto wholeRuns = false;
    for (const auto& run : state.wholeRuns)
        wholeRuns = ledger_.apply(run, now()) || wholeRuns;
    for (const auto& request : changed)
        refusals_.requestChanged(request, agent.endpoint().str());
    if (wholeRuns)
        refusals_.contentsChanged(agent.endpoint().str());
    if (!changed.empty())
        startRepeating();
}

auto SuspectRequests::verdict(const RequestContent& content) const -> decisions::CrashLedger::Verdict
{
    return ledger_.verdict(content.run, now());
}

auto SuspectRequests::refusesNew(const RequestContent& content, const AttemptId& attempt) -> bool
{
    for (const auto& refusal : ledger_.refusals(content.run, now())) {
        if (now() < refusal.probeFrom || !probes_.claim(refusal.key, attempt))
            return true;
    }
    return false;
}

auto SuspectRequests::isRefused(const RequestContent& content, const AttemptId& attempt) const -> bool
{
    const auto refusals = ledger_.refusals(content.run, now());
    return std::any_of(
        refusals.begin(), refusals.end(), [&](const auto& refusal) { return !probes_.isProbe(refusal.key, attempt); });
}

auto SuspectRequests::partsKnown(const RequestContent& content) const -> PartsKnown
{
    auto known = PartsKnown { .parts = content.partsText() };
    for (const auto& one : content.shared) {
        if (one.what != RequestContent::partKind)
            continue;
        const auto standing = ledger_.standing(one.hash, now());
        const auto* separator = known.crashes.empty() ? "" : " ";
        known.crashes += separator + std::to_string(standing.crashes);
        known.wholeRunMs
            += separator + (standing.wholeRunAt ? millisecondsText(now() - *standing.wholeRunAt) : std::string("-"));
    }
    return known;
}

auto SuspectRequests::tell(const std::vector<CrashReport>& reports) -> void
{
    if (reports.empty())
        return;
    news_.tell(reports);
    startRepeating();
}

auto SuspectRequests::tell(const std::vector<decisions::WholeRun>& runs) -> void
{
    if (runs.empty())
        return;
    news_.tell(runs);
    refusals_.contentsChanged("answered");
}

auto SuspectRequests::startRepeating() -> void
{
    if (!repeatTimer_.active())
        repeatTimer_ = loop_.timers().every(repeatInterval, [this] { repeat(); });
}

auto SuspectRequests::repeat() -> void
{
    forget();
    news_.tellMissing(ledger_, repeatInterval, now());
    refusals_.timePassed();
    if (ledger_.empty() && !waitsForNews())
        repeatTimer_.cancel();
}

auto SuspectRequests::settled(const OpenRun& run) -> bool
{
    if (!run.endedAt)
        return false;
    const auto why = excuse(run);
    const auto old = now() - *run.endedAt > openRunTime;
    if (why.empty() && !old)
        return false;
    if (run.answered)
        clear(*run.content, run.replica, run.answerBegunAt);
    else if (!why.empty())
        note("run not ended by a crash", "not counted", run, why);
    else
        note("run not ended by a crash", "forgotten", run, "nothing was heard of an end of its replica");
    return true;
}

auto SuspectRequests::forget() -> void
{
    const auto now = this->now();
    (void)ledger_.expire(now);
    for (auto& [start, runs] : runs_)
        runCount_ -= std::erase_if(runs, [this](const OpenRun& run) { return settled(run); });
    std::erase_if(runs_, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(over_, [&](const auto& entry) { return now - entry.second > startMemory; });
}

auto SuspectRequests::waitsForNews() const -> bool
{
    return std::any_of(runs_.begin(), runs_.end(), [](const auto& entry) {
        return std::any_of(
            entry.second.begin(), entry.second.end(), [](const OpenRun& run) { return run.endedAt.has_value(); });
    });
}

auto SuspectRequests::note(
    std::string_view event, std::string_view outcome, const OpenRun& run, std::string_view why) const -> void
{
    const auto verdict = this->verdict(*run.content);
    const auto known = partsKnown(*run.content);
    const auto& start = run.replica->record().start;
    metrics_.count("eelgrass_request_crashes_total", { { "outcome", std::string(outcome) } });
    log::info(event,
        { { "digest", std::to_string(run.content->run.request.value()) }, { "parts", known.parts },
            { "part_crashes", known.crashes }, { "part_whole_run_ms", known.wholeRunMs },
            { "replica", start.instance.str() }, { "birth", std::to_string(start.startTime.value()) },
            { "reason", std::string(why) }, { "ended_ms", run.endedAt ? millisecondsText(now() - *run.endedAt) : "" },
            { "crashes", std::to_string(verdict.crashes) }, { "unexplained", std::to_string(verdict.unexplained) },
            { "kept_by", news_.keepersText(run.content->run.request) } });
}

} // namespace eelgrass::serving
