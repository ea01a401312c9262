#include "serving/RequestRun.h"

#include "base/Log.h"
#include "base/TextHash.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// Every part of a prompt but the last can be shared; the last one belongs to the request or its session.
auto sharedPrefixes(const RequestMetadata& metadata) -> std::vector<decisions::SharedPrefix>
{
    auto prefixes = std::vector<decisions::SharedPrefix>();
    auto prefix = decisions::SharedPrefix { hashText(0, metadata.adapter.view()) };
    for (auto index = std::size_t(0); index + 1 < metadata.prompt.size(); ++index) {
        const auto& part = metadata.prompt[index];
        prefix.id = hashText(prefix.id, part.id);
        prefix.tokens += part.tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

/// The same with every adapter, and whatever comes before it; 0 if the prompt shares none.
auto lastSharedPart(const RequestMetadata& metadata) -> std::uint64_t
{
    const auto parts = metadata.prompt.size();
    return parts < 2 ? 0 : hashText(0, metadata.prompt[parts - 2].id);
}

/// The session that the last part of the prompt names, together with the adapter; 0 if the route has none.
auto sessionOf(const RequestMetadata& metadata, const RouteRecord& route) -> std::uint64_t
{
    if (!route.sticky || metadata.prompt.empty())
        return 0;
    return hashText(hashText(0, metadata.adapter.view()), metadata.prompt.back().id);
}

} // namespace

RequestRun::RequestRun(
    GatewayContext& gateway, std::shared_ptr<CallerExchange> caller, wire::HttpRequestMessage request)
    : gateway_(gateway)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , beganAt_(caller_->requestBegan())
    , readAt_(gateway.now())
{
}

auto RequestRun::start() -> void
{
    configuration_ = gateway_.configuration.configuration();
    const auto loaded = configuration_ && gateway_.directory.loaded();
    if (!loaded && gateway_.now() - beganAt_ < configurationWait) {
        watchCaller();
        waitTimer_ = gateway_.loop.timers().after(placementRetryDelay, guarded(&RequestRun::start));
        return;
    }
    if (!readRequest())
        return;
    watchCaller();
    startDeadlineTimer();
    takeQuota();
}

auto RequestRun::watchCaller() -> void
{
    caller_->watch({ .onGone = [self = shared_from_this()] { self->onCallerGone(); },
        .onDrained = [self = shared_from_this()] { self->resumeRun(); },
        .onStop = [self = shared_from_this()] { self->onStop(); },
        .onStopEnds = [self = shared_from_this()] { self->onStopEnds(); },
        .stage = [self = shared_from_this()] { return self->stage(); } });
}

auto RequestRun::startDeadlineTimer() -> void
{
    deadlineTimer_ = gateway_.loop.timers().after(nextEnd() - gateway_.now(), guarded(&RequestRun::onTimeUp));
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
        fail(badRequest, "no attempt id, or a model name that is no text");
        return false;
    }
    if (!authenticate())
        return false;
    service_ = pickService(*route_, metadata_.attempt);
    // Adapters belong to engines: a replica without one holds none, and would never be found to hold this one.
    const auto service = configuration_->services.find(service_);
    if (service == configuration_->services.end() || !service->second.engine)
        metadata_.adapter = AdapterId();
    gateway_.retryBudgets.received(service_);
    gateway_.metrics.count("eelgrass_service_requests_total", { { "service", service_.str() } });
    setTimes();
    if (gateway_.stop && !gateway_.stop->serves(readAt_, endAt_)) {
        refuseForStop();
        return false;
    }
    limitToStop();
    sharedPrefixes_ = sharedPrefixes(metadata_);
    lastSharedPart_ = lastSharedPart(metadata_);
    session_ = sessionOf(metadata_, *route_);
    setContent(knownVersion().version);
    if (gateway_.suspects.refusesNew(*content_, metadata_.attempt)) {
        refuseAsCrashing();
        return false;
    }
    watchRefusals();
    return true;
}

auto RequestRun::setTimes() -> void
{
    const auto timeout = Duration(route_->timeout);
    const auto deadline = metadata_.deadline ? Duration(*metadata_.deadline) : Duration::max();
    const auto answerBy = beganAt_ + std::min(timeout, deadline - answerMargin);
    firstEventBy_ = route_->streamed ? std::min(answerBy, beganAt_ + clientEventTimeout(*route_)) : answerBy;
    // No failure can be told to the client of a stream that is under way.
    endAt_ = route_->streamed ? beganAt_ + std::min(timeout, deadline) : answerBy;
    lateAt_ = beganAt_ + Duration(route_->latencyTarget);
}

auto RequestRun::authenticate() -> bool
{
    const auto& members = gateway_.configuration.members();
    if (route_->isPublic || members.empty())
        return true;
    noteKeyCheck();
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
    noteKeyCheck();
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
    // While several versions serve, a new stream can begin at any replica, and this one can continue at some only.
    if (origin_ && gateway_.directory.servesSeveralVersions(service_))
        return 0;
    return member_ && member_->priority ? *member_->priority : route_->priority;
}

/// Charges the quota before any replica is involved, so that a member over its limit is refused at once.
auto RequestRun::takeQuota() -> void
{
    const auto charge
        = member_ ? gateway_.quotas.chargeFor(*member_, configuration_->version, metadata_) : std::nullopt;
    if (!charge)
        return resumesStream() ? findOrigin() : place();
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
    resumesStream() ? findOrigin() : place();
}

auto RequestRun::guarded(void (RequestRun::*step)()) -> std::function<void()>
{
    return [weak = weak_from_this(), step] {
        if (const auto self = weak.lock())
            ((*self).*step)();
    };
}

auto RequestRun::stage() const -> CallerStage
{
    if (!running())
        return runs_ > 0 || firstEventSeen_ ? CallerStage::Searching : CallerStage::Waiting;
    return run_->silent ? CallerStage::Silent : CallerStage::AtWork;
}

auto RequestRun::hasTimeToRun() const -> bool
{
    const auto left = nextEnd() - gateway_.now();
    // The stop would probably cut the run off, and another entry can still serve the request.
    if (endsWithStop() && runs_ == 0 && left < replica_->meanTime())
        return false;
    return left >= minTimeToSend;
}

auto RequestRun::timeLeft() const -> Duration { return endAt_ - gateway_.now(); }

auto RequestRun::grantUsable(const std::optional<Moment>& grantedAt) const -> bool
{
    return grantedAt && gateway_.now() - *grantedAt <= retryGrantLifetime;
}

auto RequestRun::chargeSend() -> bool
{
    sendGrantedAt_ = std::exchange(retryGrantedAt_, std::nullopt);
    if (sends_ == 0 || grantUsable(sendGrantedAt_))
        return true;
    const auto verdict = gateway_.retryBudgets.takeEarned(service_);
    if (!verdict.decision.granted) {
        askRetryReserve();
        return false;
    }
    noteRetry(verdict);
    sendGrantedAt_ = gateway_.now();
    return true;
}

auto RequestRun::askRetryReserve() -> void
{
    const auto number = ++admissionCount_;
    const auto askedAt = gateway_.now();
    // The decision is handled from the event loop, since a promise must not be destroyed within its own callback.
    admission_ = gateway_.retryBudgets.takeFromReserve(service_)
                     .then([this, number, askedAt](RetryVerdict&& verdict) {
                         gateway_.deferred.add([self = shared_from_this(), verdict, number, askedAt] {
                             if (number == self->admissionCount_ && !self->finished_)
                                 self->onReserveVerdict(verdict, askedAt);
                         });
                     })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("retry reserve not asked", { { "reason", error.getDescription().cStr() } });
                     });
}

auto RequestRun::onReserveVerdict(const RetryVerdict& verdict, Moment askedAt) -> void
{
    noteRetry(verdict);
    if (!verdict.decision.granted)
        return giveUp(retryBudgetReason);
    retryGrantedAt_ = askedAt;
    send();
}

auto RequestRun::send() -> void
{
    const auto grantedVersion = std::exchange(grantedVersion_, std::nullopt);
    runVersion_ = grantedVersion.value_or(replica_->heldVersion(metadata_.adapter));
    setContent(runVersion_);
    // That of an earlier send.
    sendGrantedAt_.reset();
    if (const auto reason = withheldReason(!replica_->rest().allows(gateway_.now()))) {
        countWithheld(*reason);
        return isCrashing() ? refuseAsCrashing() : abandonAdmission(reason->text);
    }
    replicaClosed_.reset();
    // With less time left the request would be cut off at once, and the client could not be told that it has not run.
    if (!hasTimeToRun())
        return running() ? giveUp("time up") : onTimeUp();
    if (!keyStillValid())
        return;
    if (!chargeSend()) {
        grantedVersion_ = grantedVersion;
        return;
    }
    // A connection that its replica may just be closing is not enough to end a run for.
    auto connection = replica_->pool().take(!route_->repeatable() || running());
    if (!connection->usable()) {
        returnPermit();
        retryGrantedAt_ = sendGrantedAt_;
        return retry("no connection");
    }
    prepareRun(std::move(connection));
}

auto RequestRun::prepareRun(std::shared_ptr<ReplicaConnection> connection) -> void
{
    const auto now = gateway_.now();
    ++sends_;
    prepared_ = std::make_shared<ReplicaRun>(gateway_.answerMemory);
    prepared_->replica = replica_;
    prepared_->connection = connection;
    prepared_->sentAt = now;
    replica_->requestSent(metadata_.promptTokens, now);
    if (replica_->agent())
        replica_->prompts().remember(sharedPrefixes_);
    gateway_.rateLimits.countSend(*replica_);
    gateway_.availability.countSend(*replica_);
    logSend();
    connection->send(forwardedHead(), request_.body,
        [attempt = metadata_.attempt](const wire::HttpResponseHead& answer) {
            return !hosting::readAnswerMetadata(answer, attempt).forOtherAttempt;
        },
        { .onHead = [this](const wire::HttpResponseHead& answer) { onHead(answer); },
            .onBody = [this](std::string_view bytes) { onBody(bytes); },
            .onDone = [this] { onDone(); },
            .onFault = [this](ReplicaFault fault) { onFault(fault); },
            .mayWrite =
                [this] {
                    if (withheldFromWrite())
                        return false;
                    startRun();
                    return true;
                } });
}

auto RequestRun::forwardedHead() const -> std::string
{
    auto options = hosting::ForwardOptions { .instance = replica_->id() };
    if (!metadata_.adapter.empty())
        options.version = runVersion_;
    options.timeLeft = std::max(std::chrono::duration_cast<milliseconds>(timeLeft()), milliseconds(1));
    if (replica_->agent())
        options.priority = std::min(priority(), lowestPriority);
    if (member_)
        options.member = member_->name;
    if (delivered_ == Delivered::Part)
        options.lastEventId = lastEventId_;
    const auto fields = hosting::forwardedFields(request_, options);
    return wire::requestHeadText(request_.method, request_.target, fields, request_.body.size());
}

auto RequestRun::mayRunAgain() const -> bool
{
    return route_->repeatable() && runs_ < route_->maxRuns && sends_ < maxSends && !isCrashing()
        && (delivered_ == Delivered::Nothing || (route_->resumable && lastEventId_));
}

auto RequestRun::retry(std::string_view why) -> void
{
    if (runs_ > 0 && !mayRunAgain())
        return giveUp(why);
    // Told now, rather than after the request has waited for a place.
    if (sends_ > 0 && !grantUsable(retryGrantedAt_) && gateway_.retryBudgets.exhausted(service_)) {
        noteRetry({});
        return giveUp(retryBudgetReason);
    }
    searching_ = true;
    if (replica_)
        tried_.insert(replica_->id());
    // A stream waits for its next replica as long as a new request does.
    if (delivered_ == Delivered::Part)
        lateAt_ = std::max(lateAt_, gateway_.now() + Duration(route_->latencyTarget));
    // The next choice is made from the event loop, because `retry` may run within a connection's callback.
    waitTimer_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::retryAfterRun(std::string_view reason, std::string_view why) -> void
{
    if (searching_ && (prepared_ || mayRunAgain()))
        return;
    if (!searching_ && mayRunAgain())
        return retry(reason);
    giveUp(why);
}

auto RequestRun::releaseRun(bool keepConnection, RunEnd end) -> void
{
    silenceTimer_.cancel();
    if (!running())
        return;
    gateway_.suspects.runLeft(*run_);
    if (run_->agent)
        run_->agent->release(metadata_.attempt, firstEventSeen_ ? RunEnd::Plain : end);
    run_->agent = nullptr;
    run_->replica->requestEnded();
    if (!keepConnection)
        run_->connection->abort();
    // The connection is returned to the pool from the event loop, because this function may run within its callback.
    gateway_.deferred.add(
        [held = std::exchange(run_->connection, nullptr), replica = run_->replica] { replica->pool().giveBack(held); });
}

} // namespace eelgrass::serving
