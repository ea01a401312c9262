// What comes back from a replica, and what becomes of it: the third part of RequestRun.
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// Answers that promise that the request has not run; a replica that says so of a request that it ran must not be
/// believed by the client.
auto promisesNotRun(int status) -> bool { return status == 408 || status == 421 || status == 429 || status == 503; }

} // namespace

/// A request that may run again is not left to one silent replica for all of its time.
auto RequestRun::armSilence() -> void
{
    silence_.cancel();
    if (!route_->repeatable() || runs_ + 1 >= route_->maxRuns || sends_ >= mostSends)
        return;
    const auto limit = firstEventSeen_ || streaming_ ? streamSilence : timeLeft() / 2;
    silence_ = gateway_.loop.timers().after(limit, guarded(&RequestRun::onSilence));
}

auto RequestRun::onSilence() -> void
{
    const auto self = shared_from_this();
    ++runs_;
    replica_->failed(gateway_.now());
    leaveReplica(false, RunEnd::Broke);
    again("silence");
}

auto RequestRun::onHead(const wire::HttpResponseHead& head) -> void
{
    head_ = head;
    streaming_ = route_->streamed && head.status == ok;
    if (streaming_)
        armSilence();
}

auto RequestRun::onBody(std::string_view bytes) -> void
{
    if (streaming_)
        return onEvents(bytes);
    body_.append(bytes);
}

auto RequestRun::onEvents(std::string_view bytes) -> void
{
    const auto self = shared_from_this();
    armSilence();
    for (const auto& event : events_.feed(bytes)) {
        if (!tellEvent(event))
            return;
    }
    if (connection_ && caller_->backlog() > mostBacklog)
        connection_->pause();
}

/// Passes one whole event on; false when the run ended over it.
auto RequestRun::tellEvent(const StreamEvent& event) -> bool
{
    if (event.id && lastEvent_) {
        // After a change of replica an event may come a second time; a gap would lose a piece of the answer.
        if (*event.id <= *lastEvent_)
            return true;
        if (*event.id > *lastEvent_ + 1) {
            ++runs_;
            leaveReplica(false);
            giveUp("events missing");
            return false;
        }
    }
    if (event.id)
        lastEvent_ = event.id;
    if (!std::exchange(firstEventSeen_, true)) {
        firstAt_ = gateway_.now();
        end_ = gateway_.loop.timers().after(endAt_ - firstAt_, guarded(&RequestRun::onTimeUp));
        if (grantedBy_)
            grantedBy_->started(facts_.attempt);
    }
    if (told_ == Told::Nothing) {
        told_ = Told::Streaming;
        caller_->begin({ head_.status, hosting::returnedFields(head_) });
    }
    const auto now = gateway_.now();
    if (lastTold_ != Moment())
        longestPause_ = std::max(longestPause_, now - lastTold_);
    lastTold_ = now;
    caller_->writeChunk(event.text);
    return true;
}

auto RequestRun::onDone() -> void
{
    const auto self = shared_from_this();
    const auto facts = hosting::readAnswerMetadata(head_, facts_.attempt);
    const auto now = gateway_.now();
    silence_.cancel();
    if (facts.notRun) {
        if (facts.otherInstance && !facts.instance.empty() && facts.instance != replica_->id())
            gateway_.directory.gone(replica_->id(), "another instance has its address");
        else if (!facts.otherInstance)
            replica_->reportedFull(now);
        leaveReplica(true);
        return onNotRun(head_.status == unavailable ? "replica full" : "replica did not run it");
    }
    ++runs_;
    gateway_.suspects.succeeded(digest_);
    if (streaming_) {
        if (!events_.rest().empty()) {
            leaveReplica(false);
            return giveUp("stream ended within an event");
        }
        replica_->succeeded(now - sentAt_);
        leaveReplica(true);
        if (told_ == Told::Nothing)
            caller_->begin({ head_.status, hosting::returnedFields(head_) });
        told_ = Told::Whole;
        caller_->finish();
        return finish(ok, "answered", {});
    }
    if (head_.status >= firstServerError)
        replica_->failed(now);
    else
        replica_->succeeded(now - sentAt_);
    const auto failed = head_.status >= firstServerError && head_.status != gatewayTimeout;
    leaveReplica(true, failed ? RunEnd::Failed : RunEnd::Plain);
    if (head_.status >= firstServerError && mayRunAgain())
        return again("replica failed");
    if (told_ == Told::Streaming)
        return giveUp("stream not resumed");
    // A replica that calls a request unrun without its mark, or an answer without its signature, is not passed on.
    if (!facts.sealed || promisesNotRun(head_.status))
        return fail(badGateway, "answer not to be trusted");
    told_ = Told::Whole;
    caller_->respond({ head_.status, hosting::returnedFields(head_) }, body_);
    finish(head_.status, "answered", {});
}

auto RequestRun::onFault(LegFault fault) -> void
{
    const auto self = shared_from_this();
    silence_.cancel();
    replica_->failed(gateway_.now());
    leaveReplica(false, fault == LegFault::NotSent ? RunEnd::Plain : RunEnd::Broke);
    if (fault == LegFault::NotSent)
        return onNotRun("not reached");
    ++runs_;
    gateway_.suspects.broke(digest_);
    logDecision("leg broken", toString(fault));
    if (mayRunAgain())
        return again(toString(fault));
    giveUp("the replica broke off");
}

auto RequestRun::onNotRun(std::string_view why) -> void
{
    logDecision("not run", why);
    tried_.insert(replica_->id());
    if (sends_ >= mostSends)
        return giveUp(why);
    again(why);
}

} // namespace eelgrass::serving
