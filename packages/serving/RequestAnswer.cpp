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

/// Limits how long a request that may run again waits for a silent replica, so that time is left to try another one.
auto RequestRun::startSilenceTimer() -> void
{
    silenceTimer_.cancel();
    if (!route_->repeatable() || runs_ + 1 >= route_->maxRuns || sends_ >= maxSends)
        return;
    const auto limit = firstEventSeen_ || streaming_ ? streamSilenceLimit : timeLeft() / 2;
    silenceTimer_ = gateway_.loop.timers().after(limit, guarded(&RequestRun::onSilence));
}

auto RequestRun::onSilence() -> void
{
    const auto self = shared_from_this();
    ++runs_;
    noteGivenUp("silence");
    replica_->failed(gateway_.now());
    releaseReplica(false, RunEnd::Broke);
    retry("silence");
}

auto RequestRun::onHead(const wire::HttpResponseHead& head) -> void
{
    head_ = head;
    heardAt_ = gateway_.now();
    answer_ = hosting::readAnswerMetadata(head, metadata_.attempt);
    gateway_.rateLimits.observe(*replica_, answer_, sentAt_);
    gateway_.availability.observe(*replica_, answer_, gateway_.entries);
    gateway_.unknownFields.record(head.fields, replica_->id());
    checkAnsweredVersion();
    streaming_ = route_->streamed && head.status == ok;
    if (streaming_)
        startSilenceTimer();
}

auto RequestRun::onBody(std::string_view bytes) -> void
{
    heardAt_ = gateway_.now();
    if (streaming_)
        return onEvents(bytes);
    body_.append(bytes);
}

auto RequestRun::onEvents(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    startSilenceTimer();
    for (const auto& event : events_.feed(bytes)) {
        if (!forwardEvent(event))
            return;
    }
    if (connection_ && caller_->backlog() > maxBacklog)
        connection_->pause();
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
            ++runs_;
            releaseReplica(false);
            giveUp("events missing");
            return false;
        }
    }
    if (event.id)
        lastEventId_ = event.id;
    if (!std::exchange(runHasEvents_, true))
        onFirstEventOfRun();
    if (!std::exchange(firstEventSeen_, true)) {
        firstEventAt_ = gateway_.now();
        deadlineTimer_ = gateway_.loop.timers().after(endAt_ - firstEventAt_, guarded(&RequestRun::onTimeUp));
    }
    if (delivered_ == Delivered::Nothing) {
        delivered_ = Delivered::Part;
        caller_->begin({ head_.status, hosting::returnedFields(head_) });
    }
    const auto now = gateway_.now();
    if (lastForwardedAt_ != Moment())
        longestPause_ = std::max(longestPause_, now - lastForwardedAt_);
    lastForwardedAt_ = now;
    ++forwarded_;
    caller_->writeChunk(event.text);
    return true;
}

auto RequestRun::onDone() -> void
{
    const auto self = shared_from_this();
    const auto now = gateway_.now();
    silenceTimer_.cancel();
    if (answer_.notRun) {
        if (answer_.otherInstance && !answer_.instance.empty() && answer_.instance != replica_->id())
            gateway_.directory.markGone(replica_->id(), "another instance has its address");
        else if (!answer_.otherInstance)
            replica_->reportedFull(now);
        // The agent counts it as a failure: a replica that turns requests away looks idle, and would draw the next ones
        // from entries that it has not told to rest.
        releaseReplica(true, answer_.availability.rest ? RunEnd::Failed : RunEnd::Plain);
        return onNotRun(head_.status == unavailable ? "replica full" : "replica did not run it");
    }
    ++runs_;
    gateway_.suspects.recordSuccess(digest_);
    if (streaming_) {
        if (!events_.incomplete().empty()) {
            releaseReplica(false);
            return giveUp("stream ended within an event");
        }
        replica_->succeeded(now - sentAt_);
        releaseReplica(true);
        if (delivered_ == Delivered::Nothing)
            caller_->begin({ head_.status, hosting::returnedFields(head_) });
        delivered_ = Delivered::Everything;
        caller_->finish();
        return finish(ok, "answered", {});
    }
    if (head_.status >= firstServerError)
        replica_->failed(now);
    else
        replica_->succeeded(now - sentAt_);
    const auto failed = head_.status >= firstServerError && head_.status != gatewayTimeout;
    releaseReplica(true, failed ? RunEnd::Failed : RunEnd::Plain);
    if (head_.status >= firstServerError && mayRunAgain())
        return retry("replica failed");
    if (delivered_ == Delivered::Part)
        return giveUp("stream not resumed");
    // An answer without the replica's seal is not forwarded. A status that promises that the request has not run is not
    // forwarded without the header that confirms this.
    if (!answer_.sealed || promisesNotRun(head_.status))
        return fail(badGateway, "answer not to be trusted");
    delivered_ = Delivered::Everything;
    caller_->respond({ head_.status, hosting::returnedFields(head_) }, body_);
    finish(head_.status, "answered", {});
}

/// The request goes elsewhere as if it had not been sent: the replica got nothing and did not fail.
auto RequestRun::onWithheld() -> void
{
    countWithheld();
    logDecision("send withheld", withheldReason().text);
    returnPermit();
    releaseReplica(false, RunEnd::Unsent);
    --sends_;
    retryGrantedAt_ = sendGrantedAt_;
    waitTimer_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::onFault(ReplicaFault fault) -> void
{
    const auto self = shared_from_this();
    silenceTimer_.cancel();
    if (fault == ReplicaFault::Withheld)
        return onWithheld();
    replica_->failed(gateway_.now());
    releaseReplica(false, fault == ReplicaFault::NotSent ? RunEnd::Plain : RunEnd::Broke);
    if (fault == ReplicaFault::NotSent)
        return onNotRun("not reached");
    ++runs_;
    gateway_.suspects.recordBreak(digest_, *replica_, runHasEvents_ || origin_);
    logDecision("replica connection failed", toString(fault));
    if (mayRunAgain())
        return retry(toString(fault));
    giveUp("the replica broke off");
}

auto RequestRun::onNotRun(std::string_view why) -> void
{
    logDecision("not run", why);
    tried_.insert(replica_->id());
    if (sends_ >= maxSends)
        return giveUp(why);
    retry(why);
}

} // namespace eelgrass::serving
