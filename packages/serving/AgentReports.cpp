// The part of ReplicaAgent that acquires the fencing token and reads what the replica says of itself: its report, its
// name, and in any answer what it asks for.
#include "base/DurationText.h"
#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "platform/AnswerHeaders.h"
#include "serving/AvailabilityRecord.h"
#include "serving/ReplicaAgent.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// The replica runs on this host and answers within a millisecond, unless it is silent or has ended.
constexpr auto reportTimeout = Duration(400ms);
// While an adapter is loading, the report is read at intervals of an eighth of the time that the load has taken so far,
// between these bounds, so that requests for the adapter start within one interval of the end of the load. A load from
// the replica's own memory takes some 30 ms, one from the weight store ten times that; each read costs as much as
// generating a token.
constexpr auto minBusyInterval = Duration(15ms);
constexpr auto maxBusyInterval = Duration(50ms);
constexpr auto busyIntervalDivisor = 8;
// The interval between reports when no order is in progress.
constexpr auto idleInterval = Duration(250ms);
// The replica is identified by its answer to a health check, which waits for a place in the replica's batch like any
// request.
constexpr auto identificationTimeout = Duration(1500ms);
// How far a report may be out of date when it arrives.
constexpr auto maxReportLag = Duration(500ms);
constexpr auto fencingRetryDelay = Duration(500ms);
constexpr auto fencingTable = "epoch";

using Failure = decisions::ReplicaSilence::Failure;

} // namespace

/// Returns a delay derived from the host name, which spreads the first writes of all agents over time.
auto ReplicaAgent::firstFencingDelay() const -> Duration
{
    const auto places = std::max<std::uint64_t>(static_cast<std::uint64_t>(settings_.firstWriteSpread.count()), 1);
    return milliseconds(decisions::nameHash(settings_.host.name) % places);
}

/// Writes the token without reading the row first, as if it did not exist. If the row exists, the store answers with a
/// conflict that contains the current row.
auto ReplicaAgent::acquireFencingToken() -> void
{
    writeFencingToken({ .table = fencingTable, .key = settings_.replica.str() });
}

auto ReplicaAgent::writeFencingToken(const hosting::Row& row) -> void
{
    fencingState_ = FencingState::Requested;
    const auto token = wire::decimal(row.value).value_or(0) + 1;
    auto next = row;
    next.value = std::to_string(token);
    fencingWork_ = store_.transact({ .conditions = { row }, .writes = { next } })
                       .then([this, token](hosting::StoreAnswer&& written) { fencingTokenWritten(token, written); })
                       .eagerlyEvaluate([](kj::Exception&& error) {
                           log::error("fencing token not acquired", { { "reason", error.getDescription().cStr() } });
                       });
}

/// Continues from a timer, because another store call from here would replace the promise that is running this
/// function.
auto ReplicaAgent::fencingTokenWritten(std::uint64_t token, const hosting::StoreAnswer& answer) -> void
{
    if (answer.outcome == hosting::StoreOutcome::Conflict && !answer.rows.empty()) {
        fencingTimer_
            = loop_.timers().after(Duration(0), [this, row = answer.rows.front()] { writeFencingToken(row); });
        return;
    }
    if (answer.outcome != hosting::StoreOutcome::Done) {
        // The write may have succeeded although its answer was lost. The next attempt then sees the new token and skips
        // a number, which is harmless.
        log::warn("fencing token not acquired", { { "reason", answer.reason } });
        fencingTimer_ = loop_.timers().after(fencingRetryDelay, [this] { acquireFencingToken(); });
        return;
    }
    fencingToken_ = Epoch(token);
    fencingState_ = FencingState::Held;
    log::info("fencing token acquired", { { "token", std::to_string(token) } });
    runPendingWork();
}

auto ReplicaAgent::requestReport() -> void
{
    // The timer of the rest asks when it is over.
    if (resting() || std::exchange(reportInFlight_, true))
        return;
    reportTimer_.cancel();
    reportAskedAt_ = loop_.timers().now();
    reportWork_ = replica_.call(hosting::reportCall(reportTimeout))
                      .then([this](wire::HttpAnswer&& answer) { handleReport(answer); },
                          [this](kj::Exception&& error) {
                              const auto late = error.getType() == kj::Exception::Type::OVERLOADED;
                              handleReportFailure(
                                  late ? Failure::NoAnswerInTime : Failure::NoReport, error.getDescription().cStr());
                          })
                      .eagerlyEvaluate([](kj::Exception&& error) {
                          log::error("reading the report failed", { { "reason", error.getDescription().cStr() } });
                      });
}

auto ReplicaAgent::handleReport(const wire::HttpAnswer& answer) -> void
{
    reportInFlight_ = false;
    constexpr auto ok = 200;
    auto read = orElse(
        [&]() -> Result<std::optional<hosting::ReplicaReport>> {
            BOOST_LEAF_AUTO(report, hosting::readReport(answer.body));
            return std::optional(std::move(report));
        },
        [&](const Error& error) -> std::optional<hosting::ReplicaReport> {
            log::error("report not valid", { { "reason", error.message() } });
            return std::nullopt;
        });
    if (answer.status != ok || !read) {
        noteAvailability(answer);
        return handleReportFailure(Failure::NoReport, "status " + std::to_string(answer.status));
    }
    if (isFromLaterStart(*read))
        resetReplicaState("started again");
    // The report may be slightly older than the answer to the last order.
    if (report_)
        read->sequence = std::max(read->sequence, report_->sequence);
    // Without a start time, the report does not show that another instance has taken the replica's place meanwhile.
    nameUncertain_ = nameUncertain_ || (report_ && silence_.lasting() && read->startTime == StartTime());
    noteSilenceEnd();
    if (!report_)
        log::info("replica available", { { "sequence", std::to_string(read->sequence) } });
    report_ = std::move(read);
    reportedAt_ = loop_.timers().now();
    noteAvailability(answer);
    dropForeignRateLimit();
    synchronizeSlots();
    observeVersionsInForce();
    runPendingWork();
    hooks_.onChange();
    reportTimer_ = loop_.timers().after(reportInterval(), [this] { requestReport(); });
}

auto ReplicaAgent::reportInterval() const -> Duration
{
    // A load that waits for a slot needs no report: this agent is notified when the run that frees the slot ends.
    const auto ordersInProgress = !report_->loading.empty() || report_->orderInProgress || !pendingUnloads_.empty()
        || !pendingReplacements_.empty();
    if (!ordersInProgress)
        return idleInterval;
    if (pendingLoads_.empty())
        return minBusyInterval;
    const auto newest = std::max_element(pendingLoads_.begin(), pendingLoads_.end(),
        [](const auto& left, const auto& right) { return left.second.since < right.second.since; });
    const auto elapsed = loop_.timers().now() - newest->second.since;
    return std::clamp(Duration(elapsed / busyIntervalDivisor), minBusyInterval, maxBusyInterval);
}

/// A replica may restart under the same name between two reports; it is then empty and counts its orders from 0. If the
/// restart went unnoticed, requests would be sent to adapters that are not loaded, and orders would carry a
/// precondition that never holds.
auto ReplicaAgent::isFromLaterStart(const hosting::ReplicaReport& read) const -> bool
{
    if (!report_)
        return false;
    if (read.startTime != StartTime() && report_->startTime != StartTime())
        return read.startTime != report_->startTime;
    // If a start time is unknown, a lower order count shows a restart, unless the last order is so recent that the
    // report may not include it yet.
    return read.sequence < report_->sequence && loop_.timers().now() - orderCountedAt_ >= maxReportLag;
}

auto ReplicaAgent::handleReportFailure(Failure failure, const std::string& reason) -> void
{
    reportInFlight_ = false;
    const auto now = loop_.timers().now();
    // A process that has not run for a while finds the limit passed before it has read the answer.
    const auto suspended = failure == Failure::NoAnswerInTime && now - reportAskedAt_ > reportTimeout + idleInterval;
    if (suspended)
        log::info("report not read in time", { { "replica", instance_.str() } });
    else if (silence_.reportFailed(failure, reportAskedAt_, now)) {
        resetReplicaState(reason);
        hooks_.onChange();
    } else if (report_ && failure == Failure::NoAnswerInTime)
        noteSilence(reason);
    reportTimer_ = loop_.timers().after(idleInterval, [this] { requestReport(); });
}

auto ReplicaAgent::noteSilence(const std::string& reason) -> void
{
    log::warn("replica silent",
        { { "replica", instance_.str() }, { "silent_ms", millisecondsText(silence_.length(loop_.timers().now())) },
            { "queued", std::to_string(queue_.queued()) }, { "running", std::to_string(queue_.running()) },
            { "reason", reason } });
    divertQueued();
    hooks_.onChange();
}

auto ReplicaAgent::noteSilenceEnd() -> void
{
    const auto length = silence_.length(loop_.timers().now());
    const auto silent = silence_.silent() && report_;
    silence_.reported();
    if (silent)
        log::info(
            "replica answers again", { { "replica", instance_.str() }, { "silent_ms", millisecondsText(length) } });
}

auto ReplicaAgent::identify() -> void
{
    if (identifying_ || healthPath_.empty() || resting())
        return;
    identifying_ = true;
    identityWork_ = replica_.call({ .target = healthPath_, .timeout = identificationTimeout })
                        .then(
                            [this](wire::HttpAnswer&& answer) {
                                noteAvailability(answer);
                                const auto name = hosting::answeredBy(answer);
                                if (!name.empty())
                                    applyName(name);
                                identified(name.empty() ? "status " + std::to_string(answer.status) : "");
                            },
                            [this](kj::Exception&& error) { identified(error.getDescription().cStr()); })
                        .eagerlyEvaluate(nullptr);
}

auto ReplicaAgent::applyName(const InstanceId& name) -> void
{
    if (!instance_.empty() && instance_ != name)
        resetReplicaState("another instance");
    instance_ = name;
    nameUncertain_ = false;
    compareWithLostStart();
}

auto ReplicaAgent::compareWithLostStart() -> void
{
    if (!lostStart_ || lostStart_->over)
        return;
    if (sameStart(lostStart_->start, { instance_, startTime() }))
        lostStart_.reset();
    else
        lostStart_->over = true;
    hooks_.onChange();
}

/// Continues from a timer, because asking again from here would replace the promise that is running this function.
auto ReplicaAgent::identified(const std::string& failure) -> void
{
    dropForeignRateLimit();
    if (failure.empty())
        log::info("replica identified", { { "replica", instance_.str() } });
    else
        log::warn("replica not identified", { { "reason", failure } });
    identityTimer_ = loop_.timers().after(failure.empty() ? Duration(0) : idleInterval, [this] {
        identifying_ = false;
        runPendingWork();
    });
}

auto ReplicaAgent::noteAvailability(const wire::HttpAnswer& answer) -> void
{
    const auto said = hosting::readAvailability(answer.status, answer.fields);
    recordInvalidAvailability(instance_, said);
    if (said.rest)
        applyRest(*said.rest, "answer");
    if (said.leaving)
        noteLeaving({ instance_, startTime() }, "answer");
}

auto ReplicaAgent::noteHostRest(const ReplicaStart& start, Duration length, std::string_view source) -> void
{
    if (mayBeCurrentStart(start))
        applyRest(length, source);
}

/// Only the calls of this process stop: what other hosts may send is between them and the replica.
auto ReplicaAgent::applyRest(Duration length, std::string_view source) -> void
{
    const auto now = loop_.timers().now();
    const auto extended = rest_.resting(now);
    if (!rest_.ask(length, Duration(0), now))
        return;
    const auto left = *rest_.end() - now;
    recordRest(instance_, left, extended, source);
    hooks_.onChange();
    restTimer_ = loop_.timers().after(left, [this, askedAt = now] {
        recordRestEnd(instance_, loop_.timers().now() - askedAt, "over");
        requestReport();
    });
}

auto ReplicaAgent::noteLeaving(const ReplicaStart& start, std::string_view source) -> void
{
    if (leaving_ || !mayBeCurrentStart(start))
        return;
    leaving_ = true;
    log::info("replica leaving",
        { { "replica", start.instance.str() }, { "birth", std::to_string(startTime().value()) },
            { "source", std::string(source) } });
    refuseQueued("replica leaving");
    hooks_.onChange();
}

} // namespace eelgrass::serving
