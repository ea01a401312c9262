#include "serving/RequestRun.h"

#include "base/Log.h"
#include "serving/detail/RunLimits.h"

#include <xxhash.h>

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// Every part of a prompt but the last can be shared; the last one belongs to the request or its session.
auto sharedPrefixes(const RequestMetadata& metadata) -> std::vector<decisions::SharedPrefix>
{
    auto prefixes = std::vector<decisions::SharedPrefix>();
    auto prefix = decisions::SharedPrefix { XXH3_64bits(metadata.adapter.str().data(), metadata.adapter.str().size()) };
    for (auto index = std::size_t(0); index + 1 < metadata.prompt.size(); ++index) {
        const auto& part = metadata.prompt[index];
        prefix.id = XXH3_64bits_withSeed(part.id.data(), part.id.size(), prefix.id);
        prefix.tokens += part.tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

auto millisecondsText(Duration time) -> std::string { return std::to_string(time.count() / 1000); }

} // namespace

RequestRun::RequestRun(
    GatewayContext& gateway, std::shared_ptr<CallerExchange> caller, wire::HttpRequestMessage request)
    : gateway_(gateway)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , beganAt_(caller_->requestBegan())
{
}

auto RequestRun::start() -> void
{
    configuration_ = gateway_.configuration.configuration();
    const auto loaded = configuration_ && gateway_.directory.loaded();
    if (!loaded && gateway_.now() - beganAt_ < configurationWait) {
        caller_->watch({ .onGone = [self = shared_from_this()] { self->onCallerGone(); } });
        waitTimer_ = gateway_.loop.timers().after(placementRetryDelay, guarded(&RequestRun::start));
        return;
    }
    if (!readRequest())
        return;
    caller_->watch({ .onGone = [self = shared_from_this()] { self->onCallerGone(); },
        .onDrained =
            [self = shared_from_this()] {
                if (self->connection_ && self->caller_->backlog() < maxBacklog)
                    self->connection_->resume();
            } });
    deadlineTimer_ = gateway_.loop.timers().after(firstEventBy_ - gateway_.now(), guarded(&RequestRun::onTimeUp));
    takeQuota();
}

auto RequestRun::readRequest() -> bool
{
    auto metadata = hosting::readRequestMetadata(request_);
    if (metadata)
        metadata_ = std::move(*metadata);
    if (!configuration_ || !gateway_.directory.loaded()) {
        refuse("no configuration yet", defaultRetryAfter);
        return false;
    }
    route_ = gateway_.configuration.routes().find(request_.fields.get("Host"), request_.path());
    if (!route_) {
        fail(notFound, "no route");
        return false;
    }
    if (!metadata) {
        fail(badRequest, "no attempt id");
        return false;
    }
    if (!authenticate())
        return false;
    digest_ = digestOf(request_, metadata_, member_ ? member_->name : MemberId());
    if (gateway_.suspects.isBlocked(digest_)) {
        fail(badGateway, "breaks off wherever it runs");
        return false;
    }
    service_ = pickService(*route_, metadata_.attempt);
    const auto timeout = Duration(route_->timeout);
    const auto deadline = metadata_.deadline ? Duration(*metadata_.deadline) - answerMargin : timeout;
    endAt_ = beganAt_ + std::min(timeout, deadline);
    firstEventBy_ = route_->streamed ? std::min(endAt_, beganAt_ + clientEventTimeout(*route_)) : endAt_;
    lateAt_ = beganAt_ + Duration(route_->latencyTarget);
    sharedPrefixes_ = sharedPrefixes(metadata_);
    return true;
}

auto RequestRun::authenticate() -> bool
{
    const auto& members = gateway_.configuration.members();
    if (route_->isPublic || members.empty())
        return true;
    // An outdated configuration can neither confirm nor reject a key.
    if (!gateway_.configuration.keysUsable()) {
        gateway_.metrics.count("eelgrass_failed_closed_total", {});
        refuse("configuration not confirmed", defaultRetryAfter);
        return false;
    }
    member_ = members.find(hosting::readKey(request_));
    if (!member_)
        fail(unauthorized, "key not known");
    return member_ != nullptr;
}

auto RequestRun::keyStillValid() -> bool
{
    if (!member_)
        return true;
    if (!gateway_.configuration.keysUsable()) {
        gateway_.metrics.count("eelgrass_failed_closed_total", {});
        giveUp("configuration not confirmed");
        return false;
    }
    // The request may have waited longer than the bound within which a removed key must be out of use.
    if (gateway_.configuration.configuration() == configuration_)
        return true;
    const auto& members = gateway_.configuration.members();
    const auto* holder = members.find(hosting::readKey(request_));
    if (members.empty() || (holder && holder->name == member_->name))
        return true;
    if (runs_ > 0 || delivered_ != Delivered::Nothing)
        giveUp("key taken away");
    else
        fail(unauthorized, "key taken away");
    return false;
}

auto RequestRun::priority() const -> std::uint32_t
{
    return member_ && member_->priority ? *member_->priority : route_->priority;
}

/// Charges the quota before any replica is involved, so that a member over its limit is refused at once.
auto RequestRun::takeQuota() -> void
{
    const auto charge
        = member_ ? gateway_.quotas.chargeFor(*member_, configuration_->version, metadata_) : std::nullopt;
    if (!charge)
        return place();
    // The decision is handled from the event loop, since a promise must not be destroyed within its own callback.
    admission_ = gateway_.quotas.take(*charge, gateway_.entries)
                     .then([this, charge = *charge](QuotaDecision&& decision) {
                         gateway_.deferred.add([self = shared_from_this(), charge, decision] {
                             self->onQuotaDecision(charge, decision);
                         });
                     })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("quota charge failed", { { "reason", error.getDescription().cStr() } });
                     });
}

auto RequestRun::onQuotaDecision(const QuotaCharge& charge, const QuotaDecision& decision) -> void
{
    if (finished_) {
        if (decision.granted)
            gateway_.quotas.giveBack(charge);
        return;
    }
    if (!decision.granted)
        return refuseWith(tooManyRequests, "over the member's limit", decision.retryAfter);
    charged_ = charge;
    place();
}

auto RequestRun::guarded(void (RequestRun::*step)()) -> std::function<void()>
{
    return [weak = weak_from_this(), step] {
        if (const auto self = weak.lock())
            ((*self).*step)();
    };
}

auto RequestRun::timeLeft() const -> Duration { return endAt_ - gateway_.now(); }

auto RequestRun::chargeSend() -> bool
{
    if (std::exchange(nextSendCharged_, false))
        return true;
    auto& budget = gateway_.budget(service_);
    if (sends_ > 0)
        return budget.take(gateway_.now(), gateway_.entries);
    budget.sent(gateway_.now());
    return true;
}

auto RequestRun::send(std::optional<AdapterVersion> version) -> void
{
    const auto now = gateway_.now();
    if (!replica_->accepts(now)) {
        gateway_.availability.countWithheld(*replica_);
        return onReplicaClosed();
    }
    replicaClosed_.reset();
    // With less time left the request would be cut off at once, and the client could not be told that it has not run.
    if (timeLeft() < minTimeToSend)
        return onTimeUp();
    if (!keyStillValid())
        return;
    if (!chargeSend())
        return giveUp("retry budget spent");
    const auto nonRepeatable = !route_->repeatable();
    connection_ = replica_->pool().take(nonRepeatable);
    if (!connection_->usable()) {
        connection_.reset();
        returnPermit();
        tried_.insert(replica_->id());
        return retry("no connection");
    }
    ++sends_;
    sentAt_ = now;
    head_ = {};
    answer_ = {};
    body_.clear();
    streaming_ = false;
    events_.clear();
    auto options = hosting::ForwardOptions { .instance = replica_->id(), .version = version };
    options.timeLeft = std::max(std::chrono::duration_cast<milliseconds>(timeLeft()), milliseconds(1));
    if (replica_->agent())
        options.priority = std::min(priority(), lowestPriority);
    if (member_)
        options.member = member_->name;
    if (delivered_ == Delivered::Part)
        options.lastEventId = lastEventId_;
    const auto fields = hosting::forwardedFields(request_, options);
    const auto head = wire::requestHeadText(request_.method, request_.target, fields, request_.body.size());
    replica_->requestSent(metadata_.promptTokens, now);
    if (replica_->agent())
        replica_->prompts().remember(sharedPrefixes_);
    gateway_.rateLimits.countSend(*replica_);
    gateway_.availability.countSend(*replica_);
    logDecision("sent", {});
    startSilenceTimer();
    connection_->send(head, request_.body,
        [attempt = metadata_.attempt](const wire::HttpResponseHead& answer) {
            return !hosting::readAnswerMetadata(answer, attempt).forOtherAttempt;
        },
        { .onHead = [this](const wire::HttpResponseHead& answer) { onHead(answer); },
            .onBody = [this](std::string_view bytes) { onBody(bytes); },
            .onDone = [this] { onDone(); },
            .onFault = [this](ReplicaFault fault) { onFault(fault); },
            .mayWrite = [this] { return !replica_->leaving() && !replica_->rest().resting(gateway_.now()); } });
}

auto RequestRun::mayRunAgain() const -> bool
{
    return route_->repeatable() && runs_ < route_->maxRuns && sends_ < maxSends && !gateway_.suspects.isBlocked(digest_)
        && (delivered_ == Delivered::Nothing || (route_->resumable && lastEventId_));
}

auto RequestRun::retry(std::string_view why) -> void
{
    if (runs_ > 0 && !mayRunAgain())
        return giveUp(why);
    if (replica_)
        tried_.insert(replica_->id());
    // The next choice is made from the event loop, because `retry` may run within a connection's callback.
    waitTimer_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::releaseReplica(bool keepConnection, RunEnd end) -> void
{
    silenceTimer_.cancel();
    if (admittingAgent_)
        admittingAgent_->release(metadata_.attempt, firstEventSeen_ && end != RunEnd::Unsent ? RunEnd::Plain : end);
    admittingAgent_ = nullptr;
    if (!connection_)
        return;
    permit_.reset();
    replica_->requestEnded();
    if (!keepConnection)
        connection_->abort();
    // The connection is returned to the pool from the event loop, because this function may run within its callback.
    gateway_.deferred.add([held = std::move(connection_), replica = replica_] { replica->pool().giveBack(held); });
    connection_.reset();
}

auto RequestRun::onTimeUp() -> void
{
    const auto self = shared_from_this();
    if (connection_) {
        ++runs_;
        releaseReplica(false, gateway_.now() - sentAt_ > failureSilence ? RunEnd::Broke : RunEnd::Plain);
    }
    if (delivered_ == Delivered::Part) {
        caller_->abort();
        return finish(gatewayTimeout, "broken_off", "time up");
    }
    if (runs_ > 0)
        return fail(gatewayTimeout, "time up");
    refuse("time up", defaultRetryAfter);
}

auto RequestRun::onCallerGone() -> void
{
    const auto self = shared_from_this();
    if (connection_)
        releaseReplica(false);
    finish(0, "caller_gone", {});
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

auto RequestRun::refuseWith(int status, std::string_view why, milliseconds retryAfter) -> void
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
    waitTimer_.cancel();
    replicaClosed_.reset();
    returnPermit();
    if (admittingAgent_)
        admittingAgent_->release(metadata_.attempt, RunEnd::Unsent);
    admittingAgent_ = nullptr;
    // A refused request has not run.
    if (charged_ && outcome == "refused")
        gateway_.quotas.giveBack(*charged_);
    const auto now = gateway_.now();
    const auto name = route_ ? route_->name.str() : std::string("none");
    // Every other outcome is logged as a warning, since the logger may drop lines of lower levels.
    const auto ordinary = outcome == "answered" || outcome == "caller_gone";
    (ordinary ? log::info : log::warn)("request over",
        { { "request", metadata_.attempt.str() }, { "route", name }, { "outcome", std::string(outcome) },
            { "status", std::to_string(status) }, { "reason", std::string(why) },
            { "member", member_ ? member_->name.str() : "" },
            { "configuration_age_ms", member_ ? millisecondsText(gateway_.configuration.age()) : "" },
            { "replica", replica_ ? replica_->id().str() : "" }, { "sends", std::to_string(sends_) },
            { "runs", std::to_string(runs_) }, { "took_ms", millisecondsText(now - beganAt_) },
            { "first_ms", firstEventAt_ == Moment() ? "" : millisecondsText(firstEventAt_ - beganAt_) },
            { "pause_ms", millisecondsText(longestPause_) } });
    // Without keys the metric is counted by service instead of member.
    const auto member = member_ ? member_->name : MemberId(service_.str());
    gateway_.metrics.observe("eelgrass_request_seconds", member, RequestClass(name), now - beganAt_);
    gateway_.metrics.count("eelgrass_requests_total",
        { { "class", name }, { "outcome", std::string(outcome) }, { "status", std::to_string(status) } });
    // The promise is destroyed from the event loop, because this function may run within the promise's own callback.
    gateway_.deferred.add([self = shared_from_this()] { self->admission_ = nullptr; });
}

auto RequestRun::logDecision(std::string_view event, std::string_view why) const -> void
{
    const auto* agent = replica_ ? replica_->agent() : nullptr;
    const auto age = agent && agent->state().receivedAt != Moment()
        ? millisecondsText(gateway_.now() - agent->state().receivedAt)
        : "";
    log::info(event,
        { { "request", metadata_.attempt.str() }, { "replica", replica_ ? replica_->id().str() : "" },
            { "adapter", metadata_.adapter.str() }, { "reason", std::string(why) }, { "state_age_ms", age },
            { "left_ms", millisecondsText(timeLeft()) } });
}

} // namespace eelgrass::serving
