// The part of RequestRun that replaces a run whose replica is silent. The run goes on until the request is about to be
// written to another replica: a search may find none, and a silent replica may only have paused.
#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

} // namespace

/// Limits how long a request that may run again waits for a silent replica before another one is searched, so that time
/// is left to run there.
auto RequestRun::startSilenceTimer() -> void
{
    silenceTimer_.cancel();
    if (!route_->repeatable() || runs_ >= route_->maxRuns || sends_ >= maxSends)
        return;
    const auto begun = firstEventSeen_ || run_->streaming;
    const auto limit = begun ? streamSilenceLimit : (firstEventBy_ - gateway_.now()) / 2;
    silenceTimer_ = gateway_.loop.timers().after(limit, guarded(&RequestRun::onSilence));
}

auto RequestRun::onSilence() -> void
{
    const auto now = gateway_.now();
    const auto searchAt = latestSearch();
    if (replicaIsSilent(now) && searchAt > now) {
        silenceTimer_ = gateway_.loop.timers().after(searchAt - now, guarded(&RequestRun::onSilence));
        return;
    }
    noteSilentRun("replica silent", "eelgrass_silent_runs_total", "silence");
    run_->replica->failed(now);
    run_->silent = true;
    searchReplacement();
}

auto RequestRun::replicaIsSilent(Moment now) const -> bool
{
    return run_->replica->silence(now) >= (now - run_->heardAt) / 2;
}

auto RequestRun::latestSearch() const -> Moment
{
    if (!route_->streamed) {
        // Pauses make the mean time longer than a run takes, so it claims a quarter of the request's time at most.
        const auto most = std::max(plainMoveTime, (endAt_ - beganAt_) / 4);
        return endAt_ - std::clamp(plainMoveRuns * run_->replica->meanTime(), plainMoveTime, most);
    }
    return (firstEventSeen_ ? lastForwardedAt_ + clientEventTimeout(*route_) : firstEventBy_) - moveTime;
}

auto RequestRun::searchReplacement() -> void
{
    replica_ = run_->replica;
    tried_ = ranAt_;
    lateReplicas_.clear();
    lateRedirects_ = 0;
    soonestReplica_ = nullptr;
    retry("silence");
}

auto RequestRun::mayTakeOver(const Replica& replica, Moment now) const -> bool
{
    // An agent knows an attempt once, so a new start of the run's replica cannot be asked while the run holds its
    // grant.
    if (run_->agent && replica.agent() == run_->agent)
        return false;
    return replica.silence(now) < (now - run_->heardAt) / 2;
}

auto RequestRun::keepsRun(std::string_view why) -> bool
{
    if (!running())
        return false;
    if (searching_)
        noteSilentRun("silent run kept", "eelgrass_silent_runs_kept_total", why);
    withdrawSearch();
    if (mayRunAgain())
        silenceTimer_ = gateway_.loop.timers().after(nextSearchDelay, guarded(&RequestRun::searchReplacement));
    return true;
}

auto RequestRun::withdrawSearch() -> void
{
    searching_ = false;
    replicaClosed_.reset();
    waitTimer_.cancel();
    returnPermit();
    dropPrepared(RunEnd::Unsent);
    if (admittingAgent_)
        admittingAgent_->release(metadata_.attempt, RunEnd::Unsent);
    admittingAgent_ = nullptr;
    grantedVersion_.reset();
    // The promise is destroyed from the event loop, because this function may run within the promise's own callback.
    gateway_.deferred.add([self = shared_from_this(), number = ++admissionCount_] {
        if (number == self->admissionCount_)
            self->admission_ = nullptr;
    });
}

auto RequestRun::dropPrepared(RunEnd end) -> void
{
    const auto run = std::exchange(prepared_, nullptr);
    if (!run)
        return;
    if (admittingAgent_)
        admittingAgent_->release(metadata_.attempt, end);
    admittingAgent_ = nullptr;
    permit_.reset();
    run->replica->requestEnded();
    run->connection->abort();
    if (end == RunEnd::Unsent) {
        --sends_;
        retryGrantedAt_ = sendGrantedAt_;
    }
    // Destroyed from the event loop, because this function may run within the connection's callback.
    gateway_.deferred.add([run] { run->connection.reset(); });
}

auto RequestRun::startRun() -> void
{
    if (running()) {
        noteSilentRun("run given up", "eelgrass_runs_given_up_total", "silence");
        ++givenUp_;
        noteUnanswered("given up");
        releaseRun(false, RunEnd::Broke);
    }
    run_ = std::exchange(prepared_, nullptr);
    run_->agent = std::exchange(admittingAgent_, nullptr);
    run_->heardAt = gateway_.now();
    gateway_.suspects.runBegan(content_, metadata_.attempt, run_);
    permit_.reset();
    searching_ = false;
    ++runs_;
    tried_.insert(run_->replica->id());
    ranAt_.insert(run_->replica->id());
    startSilenceTimer();
}

auto RequestRun::noteSilentRun(std::string_view event, std::string_view metric, std::string_view why) const -> void
{
    const auto had = std::string(run_->progress());
    gateway_.metrics.count(std::string(metric), { { "service", service_.str() }, { "had", had } });
    log::info(event,
        { { "request", metadata_.attempt.str() }, { "replica", run_->replica->id().str() },
            { "reason", std::string(why) }, { "had", had }, { "events", std::to_string(forwarded_) },
            { "silent_ms", millisecondsText(gateway_.now() - run_->heardAt) },
            { "left_ms", millisecondsText(timeLeft()) } });
}

} // namespace eelgrass::serving
