// The part of RequestRun that handles a replica's answer and its failures.
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// Statuses that promise the client that its request has not run. A replica may send one for a request that it did run,
/// and the client would then repeat the request.
auto promisesNotRun(int status) -> bool { return status == 408 || status == 421 || status == 429 || status == 503; }

} // namespace

auto RequestRun::noteHeard() -> void
{
    run_->heardAt = gateway_.now();
    run_->replica->heard(run_->heardAt, run_->sentAt);
    if (!std::exchange(run_->silent, false))
        return;
    noteSilentRun("silent run went on", "eelgrass_silent_runs_gone_on_total", "heard of");
    run_->replica->wentOn();
    withdrawSearch();
}

auto RequestRun::onHead(const wire::HttpResponseHead& head) -> void
{
    auto& replica = *run_->replica;
    noteHeard();
    run_->head = head;
    run_->answer = hosting::readAnswerMetadata(head, metadata_.attempt);
    gateway_.rateLimits.observe(replica, run_->answer, run_->sentAt);
    gateway_.availability.observe(replica, run_->answer, gateway_.entries);
    gateway_.unknownFields.record(head.fields, replica.id());
    checkAnsweredVersion();
    run_->streaming = route_->streamed && head.status == ok;
    if (run_->streaming)
        startSilenceTimer();
}

auto RequestRun::onBody(std::string_view bytes) -> void
{
    noteHeard();
    if (run_->streaming)
        return onEvents(bytes);
    if (!run_->body.append(bytes))
        onFault(ReplicaFault::BadBytes);
}

auto RequestRun::onEvents(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    startSilenceTimer();
    for (const auto& event : run_->events.feed(bytes)) {
        if (!forwardEvent(event))
            return;
    }
    if (running() && run_->events.incomplete().size() > maxEventBytes)
        return onFault(ReplicaFault::BadBytes);
    if (running() && caller_->backlog() > maxBacklog)
        pauseRun();
}

/// A replica that is not read from is not silent.
auto RequestRun::pauseRun() -> void
{
    run_->paused = true;
    run_->connection->pause();
    silenceTimer_.cancel();
}

auto RequestRun::resumeRun() -> void
{
    if (!running() || !run_->paused || caller_->backlog() >= maxBacklog)
        return;
    run_->paused = false;
    run_->heardAt = gateway_.now();
    run_->connection->resume();
    startSilenceTimer();
}

/// Forwards one complete event to the client. Returns false if the request ended.
auto RequestRun::forwardEvent(const StreamEvent& event) -> bool
{
    if (event.id && lastEventId_) {
        // After a change of replica an event may arrive twice and is skipped. A gap means that part of the answer is
        // lost.
        if (*event.id <= *lastEventId_)
            return true;
        if (*event.id > *lastEventId_ + 1) {
            releaseRun(false);
            giveUp("events missing");
            return false;
        }
    }
    if (event.id)
        lastEventId_ = event.id;
    if (!std::exchange(run_->hasEvents, true)) {
        run_->firstEventAt = gateway_.now();
        onFirstEventOfRun();
    }
    if (!std::exchange(firstEventSeen_, true)) {
        firstEventAt_ = gateway_.now();
        noteServed();
        startDeadlineTimer();
    }
    if (delivered_ == Delivered::Nothing) {
        delivered_ = Delivered::Part;
        caller_->begin({ run_->head.status, hosting::returnedFields(run_->head) });
    }
    const auto now = gateway_.now();
    if (lastForwardedAt_ != Moment())
        longestPause_ = std::max(longestPause_, now - lastForwardedAt_);
    lastForwardedAt_ = now;
    ++forwarded_;
    caller_->writeChunk(event.text);
    gateway_.suspects.runWentOn(*content_, *run_);
    return true;
}

auto RequestRun::onDone() -> void
{
    const auto self = shared_from_this();
    silenceTimer_.cancel();
    if (run_->silent)
        withdrawSearch();
    // Complete by its framing only: the replica closed its connection in the middle of an event.
    if (run_->streaming && !run_->events.incomplete().empty())
        return onFault(ReplicaFault::Broken);
    const auto failed = run_->head.status >= firstServerError;
    gateway_.suspects.runAnswered(*run_, !run_->answer.notRun && !failed && run_->answer.sealed);
    if (run_->answer.notRun)
        return onAnsweredNotRun();
    if (run_->streaming)
        return onStreamDone();
    const auto now = gateway_.now();
    const auto status = run_->head.status;
    if (failed)
        run_->replica->failed(now);
    else
        run_->replica->succeeded(now - run_->sentAt);
    releaseRun(true, failed && status != gatewayTimeout ? RunEnd::Failed : RunEnd::Plain);
    if (failed && mayRunAgain())
        return retryAfterRun("replica failed", "replica failed");
    if (delivered_ == Delivered::Part)
        return giveUp("stream not resumed");
    // An answer without the replica's seal is not forwarded. A status that promises that the request has not run is not
    // forwarded without the header that confirms this.
    if (!run_->answer.sealed || promisesNotRun(status))
        return fail(badGateway, "answer not to be trusted");
    delivered_ = Delivered::Everything;
    caller_->respond({ status, hosting::returnedFields(run_->head) }, run_->body.text());
    finish(status, "answered", {});
}

auto RequestRun::onStreamDone() -> void
{
    run_->replica->succeeded(gateway_.now() - run_->sentAt);
    releaseRun(true);
    if (delivered_ == Delivered::Nothing)
        caller_->begin({ run_->head.status, hosting::returnedFields(run_->head) });
    delivered_ = Delivered::Everything;
    caller_->finish();
    finish(ok, "answered", {});
}

auto RequestRun::onAnsweredNotRun() -> void
{
    --runs_;
    const auto& answer = run_->answer;
    const auto replica = run_->replica;
    if (answer.otherInstance && !answer.instance.empty() && answer.instance != replica->id())
        gateway_.directory.markGone(replica->id(), "another instance has its address");
    else if (!answer.otherInstance)
        replica->reportedFull(gateway_.now());
    // The agent counts it as a failure: a replica that turns requests away looks idle, and would draw the next ones
    // from entries that it has not told to rest.
    releaseRun(true, answer.availability.rest ? RunEnd::Failed : RunEnd::Plain);
    onNotRun(replica, run_->head.status == unavailable ? "replica full" : "replica did not run it");
}

/// The request goes elsewhere as if it had not been sent: the replica got nothing and did not fail.
auto RequestRun::onWithheld() -> void
{
    if (const auto reason = withheldFromWrite()) {
        countWithheld(*reason);
        logDecision("send withheld", reason->text);
    }
    returnPermit();
    dropPrepared(RunEnd::Unsent);
    if (isCrashing())
        return refuseAsCrashing();
    waitTimer_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::onNotReached() -> void
{
    replica_->failed(gateway_.now());
    dropPrepared(RunEnd::Plain);
    onNotRun(replica_, "not reached");
}

auto RequestRun::onFault(ReplicaFault fault) -> void
{
    const auto self = shared_from_this();
    if (fault == ReplicaFault::Withheld)
        return onWithheld();
    if (fault == ReplicaFault::NotSent)
        return onNotReached();
    const auto replica = run_->replica;
    replica->failed(gateway_.now());
    noteUnanswered(toString(fault));
    // Bytes that are no answer come from a replica that goes on.
    if (fault == ReplicaFault::Broken)
        gateway_.suspects.runBroke(*run_, run_->hasEvents || origin_);
    releaseRun(false, RunEnd::Broke);
    logDecision("replica connection failed", toString(fault), replica);
    retryAfterRun(toString(fault), "the replica broke off");
}

auto RequestRun::onNotRun(const ReplicaPtr& replica, std::string_view why) -> void
{
    logDecision("not run", why, replica);
    tried_.insert(replica->id());
    if (sends_ >= maxSends)
        return giveUp(why);
    retry(why);
}

} // namespace eelgrass::serving
