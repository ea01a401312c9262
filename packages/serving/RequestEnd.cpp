// The part of RequestRun that ends a request: refused, failed, broken off or answered.
#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

namespace eelgrass::serving {

namespace {

using namespace detail;

} // namespace

auto RequestRun::onTimeUp() -> void
{
    const auto self = shared_from_this();
    const auto byStop = endsWithStop();
    const auto* why = byStop ? stopReason : "time up";
    if (byStop)
        noteCutOff();
    if (running()) {
        const auto replicaFailed = !byStop && gateway_.now() - run_->sentAt > failureSilence;
        noteUnanswered(why);
        releaseRun(false, replicaFailed ? RunEnd::Broke : RunEnd::Plain);
    }
    if (delivered_ == Delivered::Part) {
        caller_->abort();
        return finish(gatewayTimeout, "broken_off", why);
    }
    if (runs_ > 0)
        return fail(gatewayTimeout, why);
    if (byStop)
        return refuseForStop();
    refuse(why, defaultRetryAfter);
}

auto RequestRun::refuseForStop() -> void { refuse(stopReason, otherEntryRetryAfter); }

auto RequestRun::onStop() -> void
{
    // A request that waits for the first configuration has no times yet.
    if (!route_)
        return;
    limitToStop();
    startDeadlineTimer();
}

auto RequestRun::limitToStop() -> void
{
    if (!gateway_.stop || endAt_ <= gateway_.stop->requestsEnd())
        return;
    ownEndAt_ = endAt_;
    endAt_ = gateway_.stop->requestsEnd();
    firstEventBy_ = std::min(firstEventBy_, endAt_);
}

auto RequestRun::onStopEnds() -> void
{
    if (!route_)
        return refuseForStop();
    onTimeUp();
}

auto RequestRun::onCallerGone() -> void
{
    const auto self = shared_from_this();
    if (running())
        noteUnanswered("client gone");
    releaseRun(false);
    finish(0, "caller_gone", {});
}

auto RequestRun::refuseAsCrashing() -> void
{
    if (runs_ > 0 || delivered_ != Delivered::Nothing)
        return giveUp(crashingReason);
    fail(badGateway, crashingReason);
}

auto RequestRun::refuse(std::string_view why, milliseconds retryAfter) -> void
{
    const auto self = shared_from_this();
    // A refusal promises that the request has not run, so it is not sent if the request may have run or if part of its
    // answer has been written.
    if (runs_ > 0 || delivered_ != Delivered::Nothing)
        return giveUp(why);
    refuseWith(unavailable, why, retryAfter);
}

auto RequestRun::refuseWith(int status, std::string_view why, std::optional<milliseconds> retryAfter) -> void
{
    const auto self = shared_from_this();
    delivered_ = Delivered::Everything;
    caller_->respond({ status, hosting::ownFields(metadata_.attempt, retryAfter) }, {});
    finish(status, "refused", why);
}

auto RequestRun::fail(int status, std::string_view why) -> void
{
    const auto self = shared_from_this();
    delivered_ = Delivered::Everything;
    caller_->respond({ status, hosting::ownFields(metadata_.attempt, std::nullopt) }, {});
    finish(status, "failed", why);
}

/// Ends the request when no retry is left. The client gets an aborted stream, a failure if the request may have run,
/// and a refusal otherwise. If every replica rests, it may come back after the first rest.
auto RequestRun::giveUp(std::string_view why) -> void
{
    const auto self = shared_from_this();
    if (keepsRun(why))
        return;
    if (delivered_ == Delivered::Part) {
        caller_->abort();
        return finish(badGateway, "broken_off", why);
    }
    if (runs_ > 0)
        return fail(badGateway, why);
    if (const auto end = firstEndOfRests())
        return refuse(restReason, gateway_.availability.retryAfter(*end, priority()));
    refuse(why, defaultRetryAfter);
}

auto RequestRun::finish(int status, std::string_view outcome, std::string_view why) -> void
{
    if (std::exchange(finished_, true))
        return;
    deadlineTimer_.cancel();
    silenceTimer_.cancel();
    withdrawSearch();
    releaseRun(false);
    // A refused request has not run.
    if (charged_ && outcome == "refused")
        gateway_.quotas.giveBack(*charged_);
    const auto now = gateway_.now();
    const auto name = route_ ? route_->name.str() : std::string("none");
    const auto& latest = gateway_.configuration.configuration();
    const auto changed = configuration_ && latest != configuration_;
    const auto& replica = run_ ? run_->replica : replica_;
    const auto version = run_ ? run_->answer.version : std::nullopt;
    // Every other outcome is logged as a warning, since the logger may drop lines of lower levels.
    const auto ordinary = outcome == "answered" || outcome == "caller_gone";
    (ordinary ? log::info : log::warn)("request over",
        { { "request", metadata_.attempt.str() }, { "route", name }, { "outcome", std::string(outcome) },
            { "status", std::to_string(status) }, { "reason", std::string(why) },
            { "member", member_ ? member_->name.str() : "" },
            { "configuration_version", keyCheck_ ? std::to_string(keyCheck_->version.value()) : "" },
            { "configuration_age_ms", keyCheck_ ? keyCheck_->ageText() : "" },
            { "configuration_source", keyCheck_ ? keyCheck_->confirmation.source : "" },
            { "configuration_clock", keyCheck_ ? std::string(keyCheck_->confirmation.clock) : "" },
            { "adapter", metadata_.adapter.str() }, { "prefix", prefixText() }, { "session", sessionText() },
            { "replica", replica ? replica->id().str() : "" },
            { "version", version ? std::to_string(version->value()) : "" },
            { "resumes", metadata_.resumed ? metadata_.resumed->attempt.str() : "" },
            { "began_on", origin_ ? origin_->software.str() : "" }, { "sends", std::to_string(sends_) },
            { "runs", std::to_string(runs_) }, { "took_ms", millisecondsText(now - beganAt_) },
            { "given_up", std::to_string(givenUp_) }, { "events", std::to_string(forwarded_) },
            { "left_ms", route_ ? millisecondsText(ownEndAt_.value_or(endAt_) - now) : "" },
            { "after_stop_ms", afterStopText() }, { "silent_ms", run_ ? millisecondsText(now - run_->heardAt) : "" },
            { "began_with", configuration_ ? std::to_string(configuration_->version.value()) : "" },
            { "ended_with", latest ? std::to_string(latest->version.value()) : "" },
            { "changed_ms", changed ? millisecondsText(now - gateway_.configuration.inForceSince()) : "" },
            { "first_ms", firstEventAt_ == Moment() ? "" : millisecondsText(firstEventAt_ - beganAt_) },
            { "pause_ms", millisecondsText(longestPause_) } });
    if (origin_ || resumesStream()) {
        const auto* way = resumesStream() ? "by client" : "same answer";
        if (outcome == "refused" || outcome == "broken_off")
            gateway_.metrics.count(
                "eelgrass_streams_not_continued_total", { { "way", way }, { "reason", std::string(why) } });
    }
    recordServedDemand(outcome, status, why);
    recordService(outcome, status);
    // Without keys the metric is counted by service instead of member.
    const auto member = member_ ? member_->name : MemberId(service_.str());
    gateway_.metrics.observe("eelgrass_request_seconds", member, RequestClass(name), now - beganAt_);
    gateway_.metrics.count("eelgrass_requests_total",
        { { "class", name }, { "outcome", std::string(outcome) }, { "status", std::to_string(status) } });
}

auto RequestRun::prefixText() const -> std::string
{
    return lastSharedPart_ == 0 ? "" : std::to_string(lastSharedPart_);
}

auto RequestRun::serviceKeys() const -> std::vector<decisions::ServiceKey>
{
    return decisions::serviceKeys(RequestClass(route_->name.str()), metadata_.adapter, lastSharedPart_, session_);
}

auto RequestRun::noteServed() -> void
{
    if (std::exchange(servedNoted_, true))
        return;
    gateway_.serviceKeepers.served(
        metadata_.adapter, knownService_.value_or(gateway_.serviceKeepers.own(serviceKeys())));
}

auto RequestRun::sessionText() const -> std::string { return session_ == 0 ? "" : std::to_string(session_); }

auto RequestRun::recordServedDemand(std::string_view outcome, int status, std::string_view why) const -> void
{
    // A client that left after it had a part of its answer may have had all that it wanted.
    if (!route_ || (outcome == "caller_gone" && delivered_ != Delivered::Nothing))
        return;
    const auto ended = ServedDemand::Ended {
        .served = outcome == "answered" && status < firstServerError, .at = gateway_.now(), .reason = why
    };
    gateway_.servedDemand.note(ended, serviceKeys());
}

auto RequestRun::recordService(std::string_view outcome, int status) -> void
{
    if (!route_)
        return;
    if (outcome == "answered" && status < firstServerError)
        return noteServed();
    // What is wrong with a request, its key or its quota, and what replicas fail, is no reason to serve it before
    // others.
    const auto forWantOfService = outcome == "caller_gone" || status == unavailable || status == gatewayTimeout;
    if (forWantOfService && delivered_ != Delivered::Part)
        gateway_.serviceKeepers.wentWithout(metadata_.adapter, serviceKeys());
}

} // namespace eelgrass::serving
