#include "serving/RequestRun.h"

#include "base/Log.h"
#include "serving/detail/RunLimits.h"

#include <xxhash.h>

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// All parts but the last are shared; the last one belongs to the request or its session.
auto sharedPrefixes(const RequestMetadata& facts) -> std::vector<decisions::SharedPrefix>
{
    auto prefixes = std::vector<decisions::SharedPrefix>();
    auto prefix = decisions::SharedPrefix { XXH3_64bits(facts.adapter.str().data(), facts.adapter.str().size()) };
    for (auto index = std::size_t(0); index + 1 < facts.prompt.size(); ++index) {
        const auto& part = facts.prompt[index];
        prefix.id = XXH3_64bits_withSeed(part.id.data(), part.id.size(), prefix.id);
        prefix.tokens += part.tokens;
        prefixes.push_back(prefix);
    }
    return prefixes;
}

auto text(Duration time) -> std::string { return std::to_string(time.count() / 1000); }

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
    const auto known = configuration_ && gateway_.directory.known();
    if (!known && gateway_.now() - beganAt_ < configurationWait) {
        caller_->watch({ .onGone = [self = shared_from_this()] { self->onCallerGone(); } });
        wait_ = gateway_.loop.timers().after(placeAgain, guarded(&RequestRun::start));
        return;
    }
    if (!readRequest())
        return;
    caller_->watch({ .onGone = [self = shared_from_this()] { self->onCallerGone(); },
        .onDrained =
            [self = shared_from_this()] {
                if (self->connection_ && self->caller_->backlog() < mostBacklog)
                    self->connection_->resume();
            } });
    end_ = gateway_.loop.timers().after(firstBy_ - gateway_.now(), guarded(&RequestRun::onTimeUp));
    takeQuota();
}

auto RequestRun::readRequest() -> bool
{
    auto facts = hosting::readRequestMetadata(request_);
    if (facts)
        facts_ = std::move(*facts);
    if (!configuration_ || !gateway_.directory.known()) {
        refuse("no configuration yet", retryWhenUnknown);
        return false;
    }
    route_ = gateway_.configuration.routes().find(request_.fields.get("Host"), request_.path());
    if (!route_) {
        fail(notFound, "no route");
        return false;
    }
    if (!facts) {
        fail(badRequest, "no attempt id");
        return false;
    }
    if (!authenticate())
        return false;
    digest_ = digestOf(request_, facts_, member_ ? member_->name : MemberId());
    if (gateway_.suspects.refused(digest_)) {
        fail(badGateway, "breaks off wherever it runs");
        return false;
    }
    service_ = pickService(*route_, facts_.attempt);
    const auto timeout = Duration(route_->timeout);
    const auto deadline = facts_.deadline ? Duration(*facts_.deadline) - answerMargin : timeout;
    endAt_ = beganAt_ + std::min(timeout, deadline);
    firstBy_ = route_->streamed ? std::min(endAt_, beganAt_ + patience(*route_)) : endAt_;
    lateAt_ = beganAt_ + Duration(route_->latencyTarget);
    shared_ = sharedPrefixes(facts_);
    return true;
}

auto RequestRun::authenticate() -> bool
{
    const auto& members = gateway_.configuration.members();
    if (route_->isPublic || members.empty())
        return true;
    // What is not known to be in force says nothing, neither for a key nor against it.
    if (!gateway_.configuration.keysHold()) {
        gateway_.metrics.count("eelgrass_failed_closed_total", {});
        refuse("configuration not confirmed", retryWhenUnknown);
        return false;
    }
    member_ = members.find(hosting::readKey(request_));
    if (!member_)
        fail(unauthorized, "key not known");
    return member_ != nullptr;
}

auto RequestRun::keyHolds() -> bool
{
    if (!member_)
        return true;
    if (!gateway_.configuration.keysHold()) {
        gateway_.metrics.count("eelgrass_failed_closed_total", {});
        giveUp("configuration not confirmed");
        return false;
    }
    // It may have waited for longer than a key that was taken away may be used.
    if (gateway_.configuration.configuration() == configuration_)
        return true;
    const auto& members = gateway_.configuration.members();
    const auto* holder = members.find(hosting::readKey(request_));
    if (members.empty() || (holder && holder->name == member_->name))
        return true;
    if (runs_ > 0 || told_ != Told::Nothing)
        giveUp("key taken away");
    else
        fail(unauthorized, "key taken away");
    return false;
}

auto RequestRun::urgency() const -> std::uint32_t
{
    return member_ && member_->priority ? *member_->priority : route_->priority;
}

/// Counted before anything is asked of a replica: who is over its limit hears so at once.
auto RequestRun::takeQuota() -> void
{
    const auto charge = member_ ? gateway_.quotas.chargeFor(*member_, configuration_->version, facts_) : std::nullopt;
    if (!charge)
        return place();
    // Answered from the loop, as an admission is.
    admission_ = gateway_.quotas.take(*charge, gateway_.entries)
                     .then([this, charge = *charge](QuotaDecision&& verdict) {
                         gateway_.deferred.add(
                             [self = shared_from_this(), charge, verdict] { self->quotaAnswered(charge, verdict); });
                     })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("quota not counted", { { "reason", error.getDescription().cStr() } });
                     });
}

auto RequestRun::quotaAnswered(const QuotaCharge& charge, const QuotaDecision& verdict) -> void
{
    if (over_) {
        if (verdict.granted)
            gateway_.quotas.giveBack(charge);
        return;
    }
    if (!verdict.granted)
        return refuseWith(tooManyRequests, "over the member's limit", verdict.retryAfter);
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

auto RequestRun::send(std::optional<AdapterVersion> version) -> void
{
    // Not enough time to be an offer: it would be cut off at once, and then nobody could say that it has not run.
    if (timeLeft() < leastTime)
        return onTimeUp();
    if (!keyHolds())
        return;
    const auto now = gateway_.now();
    auto& budget = gateway_.budget(service_);
    if (sends_ == 0)
        budget.sent(now);
    else if (!budget.take(now, gateway_.entries))
        return giveUp("retry budget spent");
    const auto once = !route_->repeatable();
    connection_ = replica_->pool().take(once);
    if (!connection_->usable()) {
        connection_.reset();
        tried_.insert(replica_->id());
        return again("no connection");
    }
    ++sends_;
    sentAt_ = now;
    head_ = {};
    body_.clear();
    streaming_ = false;
    events_.clear();
    auto options = hosting::ForwardOptions { .instance = replica_->id(), .version = version };
    options.timeLeft = std::max(std::chrono::duration_cast<milliseconds>(timeLeft()), milliseconds(1));
    if (replica_->agent())
        options.priority = std::min(urgency(), leastUrgent);
    if (member_)
        options.member = member_->name;
    if (told_ == Told::Streaming)
        options.lastEventId = lastEvent_;
    const auto fields = hosting::forwardedFields(request_, options);
    const auto head = wire::requestHeadText(request_.method, request_.target, fields, request_.body.size());
    replica_->requestSent(facts_.promptTokens);
    if (replica_->agent())
        replica_->prompts().remember(shared_);
    logDecision("sent", {});
    armSilence();
    connection_->send(head, request_.body,
        [attempt = facts_.attempt](const wire::HttpResponseHead& answer) {
            return !hosting::readAnswerMetadata(answer, attempt).forOtherAttempt;
        },
        { .onHead = [this](const wire::HttpResponseHead& answer) { onHead(answer); },
            .onBody = [this](std::string_view bytes) { onBody(bytes); },
            .onDone = [this] { onDone(); },
            .onFault = [this](LegFault fault) { onFault(fault); } });
}

auto RequestRun::mayRunAgain() const -> bool
{
    return route_->repeatable() && runs_ < route_->maxRuns && sends_ < mostSends && !gateway_.suspects.refused(digest_)
        && (told_ == Told::Nothing || (route_->resumable && lastEvent_));
}

auto RequestRun::again(std::string_view why) -> void
{
    if (runs_ > 0 && !mayRunAgain())
        return giveUp(why);
    if (replica_)
        tried_.insert(replica_->id());
    // From the loop, not from within a connection's callback.
    wait_ = gateway_.loop.timers().after(Duration(0), guarded(&RequestRun::place));
}

auto RequestRun::leaveReplica(bool keepConnection, RunEnd end) -> void
{
    silence_.cancel();
    if (grantedBy_)
        grantedBy_->release(facts_.attempt, firstEventSeen_ ? RunEnd::Plain : end);
    grantedBy_ = nullptr;
    if (!connection_)
        return;
    replica_->requestEnded();
    if (!keepConnection)
        connection_->abort();
    // Handed on from the loop: this may run within the connection's own callback.
    gateway_.deferred.add([held = std::move(connection_), replica = replica_] { replica->pool().giveBack(held); });
    connection_.reset();
}

auto RequestRun::onTimeUp() -> void
{
    const auto self = shared_from_this();
    if (connection_) {
        ++runs_;
        leaveReplica(false, gateway_.now() - sentAt_ > longSilence ? RunEnd::Broke : RunEnd::Plain);
    }
    if (told_ == Told::Streaming) {
        caller_->abort();
        return finish(gatewayTimeout, "broken_off", "time up");
    }
    if (runs_ > 0)
        return fail(gatewayTimeout, "time up");
    refuse("time up", retryWhenUnknown);
}

auto RequestRun::onCallerGone() -> void
{
    const auto self = shared_from_this();
    if (connection_)
        leaveReplica(false);
    finish(0, "caller_gone", {});
}

auto RequestRun::refuse(std::string_view why, milliseconds retryAfter) -> void
{
    const auto self = shared_from_this();
    // A refusal promises that the request has not run; where it may have, or part of its answer is out, that is untrue.
    if (runs_ > 0 || told_ != Told::Nothing)
        return giveUp(why);
    refuseWith(unavailable, why, retryAfter);
}

auto RequestRun::refuseWith(int status, std::string_view why, milliseconds retryAfter) -> void
{
    const auto self = shared_from_this();
    told_ = Told::Whole;
    caller_->respond({ status, hosting::ownFields(facts_.attempt, retryAfter) }, {});
    finish(status, "refused", why);
}

auto RequestRun::fail(int status, std::string_view why) -> void
{
    const auto self = shared_from_this();
    told_ = Told::Whole;
    caller_->respond({ status, hosting::ownFields(facts_.attempt, std::nullopt) }, {});
    finish(status, "failed", why);
}

/// Nothing more can be tried: says so, as truly as it is known.
auto RequestRun::giveUp(std::string_view why) -> void
{
    const auto self = shared_from_this();
    if (told_ == Told::Streaming) {
        caller_->abort();
        return finish(badGateway, "broken_off", why);
    }
    if (runs_ > 0)
        return fail(badGateway, why);
    refuse(why, retryWhenUnknown);
}

auto RequestRun::finish(int status, std::string_view outcome, std::string_view why) -> void
{
    if (std::exchange(over_, true))
        return;
    end_.cancel();
    silence_.cancel();
    wait_.cancel();
    if (grantedBy_)
        grantedBy_->release(facts_.attempt);
    grantedBy_ = nullptr;
    // A refusal promises that it has not run.
    if (charged_ && outcome == "refused")
        gateway_.quotas.giveBack(*charged_);
    const auto now = gateway_.now();
    const auto name = route_ ? route_->name.str() : std::string("none");
    // A caller that left or was answered is the ordinary case; of everything else no line may be left out.
    const auto ordinary = outcome == "answered" || outcome == "caller_gone";
    (ordinary ? log::info : log::warn)("request over",
        { { "request", facts_.attempt.str() }, { "route", name }, { "outcome", std::string(outcome) },
            { "status", std::to_string(status) }, { "reason", std::string(why) },
            { "member", member_ ? member_->name.str() : "" },
            { "configuration_age_ms", member_ ? text(gateway_.configuration.age()) : "" },
            { "replica", replica_ ? replica_->id().str() : "" }, { "sends", std::to_string(sends_) },
            { "runs", std::to_string(runs_) }, { "took_ms", text(now - beganAt_) },
            { "first_ms", firstAt_ == Moment() ? "" : text(firstAt_ - beganAt_) },
            { "pause_ms", text(longestPause_) } });
    // Where nobody is asked for a key the service stands in for the member.
    const auto member = member_ ? member_->name : MemberId(service_.str());
    gateway_.metrics.observe("eelgrass_request_seconds", member, RequestClass(name), now - beganAt_);
    gateway_.metrics.count("eelgrass_requests_total",
        { { "class", name }, { "outcome", std::string(outcome) }, { "status", std::to_string(status) } });
    // The promise of an admission may be running this very code.
    gateway_.deferred.add([self = shared_from_this()] { self->admission_ = nullptr; });
}

auto RequestRun::logDecision(std::string_view event, std::string_view why) const -> void
{
    const auto* agent = replica_ ? replica_->agent() : nullptr;
    const auto age
        = agent && agent->state().receivedAt != Moment() ? text(gateway_.now() - agent->state().receivedAt) : "";
    log::info(event,
        { { "request", facts_.attempt.str() }, { "replica", replica_ ? replica_->id().str() : "" },
            { "adapter", facts_.adapter.str() }, { "reason", std::string(why) }, { "state_age_ms", age },
            { "left_ms", text(timeLeft()) } });
}

} // namespace eelgrass::serving
