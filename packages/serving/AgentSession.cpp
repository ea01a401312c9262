#include "serving/AgentSession.h"

#include "base/Log.h"
#include "serving/detail/ClaimMessages.h"
#include "serving/detail/CrashMessages.h"
#include "serving/detail/NewsAge.h"
#include "serving/detail/StreamOriginMessages.h"

#include <utility>

namespace eelgrass::serving {

namespace {

auto permitCost(bool standIn) -> double { return standIn ? decisions::ArrivalPermits::standInCost : 1; }

} // namespace

AgentRole::Session::Session(AgentRole& role, wire::ConnectionSet::Id connection, std::string entry, bool sameZone)
    : role_(role.self_)
    , connection_(connection)
    , entry_(std::move(entry))
    , sameZone_(sameZone)
{
    role.sessions_.insert(this);
}

AgentRole::Session::~Session() noexcept(false)
{
    log::info("entry detached", { { "peer", entry_ } });
    const auto held = role_.lock();
    if (!held)
        return;
    held->sessions_.erase(this);
    held->publisher_.remove(this);
    if (held->sameZoneEntries_.erase(this) > 0)
        held->publisher_.changed();
    for (const auto& attempt : std::exchange(attempts_, {}))
        held->agent_.release(attempt);
}

auto AgentRole::Session::requiredVersion(wire::schema::AdmitRequest::Reader request) const -> RequiredVersion
{
    return { .version = AdapterVersion(request.getVersion()),
        .source = entry_,
        .namedAfter = detail::momentOfAge(request.getVersionAgeMs(), role().loop_.timers().now()) };
}

auto AgentRole::Session::adopt(wire::schema::RunningRequest::Reader running) -> void
{
    const auto attempt = AttemptId(running.getAttempt().cStr());
    for (auto* session : role().sessions_)
        session->attempts_.erase(attempt);
    attempts_.insert(attempt);
    role().agent_.adopt({ .attempt = attempt,
        .adapter = AdapterId(running.getAdapter().cStr()),
        .promptTokens = running.getPromptTokens(),
        .outputTokens = running.getOutputTokens() });
    detail::note(role().origins_, running.getOrigin(), role().loop_.timers().now());
}

auto AgentRole::Session::admit(AdmitContext context) -> kj::Promise<void>
{
    const auto request = context.getParams().getRequest();
    const auto attempt = AttemptId(request.getAttempt().cStr());
    const auto now = role().loop_.timers().now();
    auto pair = kj::newPromiseAndFulfiller<ReplicaAgent::Decision>();
    role().pendingAdmissions_.erase(attempt);
    role().pendingAdmissions_.emplace(attempt, PendingAdmission { this, kj::mv(pair.fulfiller) });
    attempts_.insert(attempt);
    role().publisher_.noteRequest(this);
    auto shared = std::vector<decisions::SharedPrefix>();
    for (auto prefix : request.getShared())
        shared.push_back({ prefix.getId(), prefix.getTokens() });
    const auto route = RequestClass(request.getRequestClass().cStr());
    auto keys = decisions::RequestedKeys();
    for (auto& key : decisions::serviceKeys(
             route, AdapterId(request.getAdapter().cStr()), request.getSharedPart(), request.getSession()))
        keys.push_back({ std::move(key) });
    detail::readService(request.getService(), keys, now);
    role().agent_.admit({ .attempt = attempt,
                            .adapter = AdapterId(request.getAdapter().cStr()),
                            .requestClass = route,
                            .sharedPart = request.getSharedPart(),
                            .session = request.getSession(),
                            .promptTokens = request.getPromptTokens(),
                            .outputTokens = request.getOutputTokens(),
                            .priority = request.getPriority(),
                            .arrivedAt = now,
                            .firstEventDeadline = now + Duration(milliseconds(request.getAimMs())),
                            .callerDeadline = now + Duration(milliseconds(request.getLeftMs())),
                            .elsewhere = request.getElsewhere(),
                            .keys = std::move(keys) },
        requiredVersion(request), shared);
    role().publisher_.changed();
    const auto adapter = AdapterId(request.getAdapter().cStr());
    return pair.promise.then([this, context, adapter](ReplicaAgent::Decision&& decision) mutable {
        auto answer = context.getResults().initAnswer();
        answer.setGranted(decision.granted);
        answer.setVersion(decision.version.value());
        answer.setRetryAfterMs(
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(decision.retryAfter).count()));
        answer.setReason(decision.reason);
        answer.setLate(decision.late);
        answer.setInstance(role().agent_.instance().str());
        if (const auto& known = role().agent_.knownVersion(adapter); known.learnedAt) {
            answer.setNamedVersion(known.version.value());
            answer.setNamedAgeMs(detail::ageOfMoment(known.namedAfter, role().loop_.timers().now()));
        }
        role().publisher_.fillFigures(answer.initState());
    });
}

auto AgentRole::Session::started(StartedContext context) -> kj::Promise<void>
{
    role().agent_.started(AttemptId(context.getParams().getAttempt().cStr()));
    detail::note(role().origins_, context.getParams().getOrigin(), role().loop_.timers().now());
    role().publisher_.changed();
    return kj::READY_NOW;
}

auto AgentRole::Session::release(ReleaseContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto attempt = AttemptId(params.getAttempt().cStr());
    attempts_.erase(attempt);
    role().pendingAdmissions_.erase(attempt);
    role().agent_.release(attempt, params.getUnsent() ? RunEnd::Unsent : static_cast<RunEnd>(params.getEnd()));
    role().publisher_.changed();
    return kj::READY_NOW;
}

auto AgentRole::Session::configured(ConfiguredContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    if (sameZone_) {
        role().sameZoneEntries_[this] = { params.getHolder().cStr(), params.getReaderWeight() };
        role().publisher_.changed();
    }
    const auto shares = std::size_t(params.getRetryShares());
    role().retryReserve_.assign(std::exchange(retryShares_, shares), shares, role().loop_.timers().now());
    role().applyConfiguration(params.getVersion(), params.getHolder().cStr(), params.getLimits());
    role().publisher_.publishInitial(this);
    return kj::READY_NOW;
}

auto AgentRole::Session::noteCrashes(NoteCrashesContext context) -> kj::Promise<void>
{
    const auto now = role().loop_.timers().now();
    auto fresh = std::size_t(0);
    for (const auto& crash : detail::readCrashes(context.getParams().getCrashes(), now))
        fresh += role().crashes_.apply(crash, now) ? 1 : 0;
    for (const auto& run : detail::readWholeRuns(context.getParams().getWholeRuns(), now))
        fresh += role().crashes_.apply(run, now) ? 1 : 0;
    if (fresh > 0) {
        log::info("crashes noted", { { "peer", entry_ }, { "reports", std::to_string(fresh) } });
        role().publisher_.changed();
    }
    return kj::READY_NOW;
}

auto AgentRole::Session::takeProbe(TakeProbeContext context) -> kj::Promise<void>
{
    const auto key = context.getParams().getKey();
    const auto granted = role().probes_.take(key, role().loop_.timers().now());
    if (granted)
        log::info("probe granted", { { "peer", entry_ }, { "key", std::to_string(key) } });
    context.getResults().setGranted(granted);
    return kj::READY_NOW;
}

auto AgentRole::Session::noteService(NoteServiceContext context) -> kj::Promise<void>
{
    const auto now = role().loop_.timers().now();
    for (const auto& key : detail::readKeys(context.getParams().getKeys())) {
        if (context.getParams().getServed())
            role().keptService_.served(key, now);
        else
            role().keptService_.unserved(key, now);
    }
    return kj::READY_NOW;
}

auto AgentRole::Session::findService(FindServiceContext context) -> kj::Promise<void>
{
    auto known = decisions::RequestedKeys();
    for (const auto& key : detail::readKeys(context.getParams().getKeys()))
        known.push_back({ key, role().keptService_.of(key) });
    detail::fillService(context.getResults(), known, role().loop_.timers().now());
    return kj::READY_NOW;
}

auto AgentRole::Session::takeQuota(TakeQuotaContext context) -> kj::Promise<void>
{
    const auto charge = context.getParams().getCharge();
    const auto now = role().loop_.timers().now();
    auto& bucket = role().quotas_.bucketFor(charge, now);
    const auto verdict = bucket.take(charge.getAmount(), now);
    auto results = context.getResults();
    results.setGranted(verdict.granted);
    results.setRetryAfterMs(
        static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(verdict.retryAfter).count()));
    results.setLevel(bucket.level(now));
    return kj::READY_NOW;
}

auto AgentRole::Session::noteQuota(NoteQuotaContext context) -> kj::Promise<void>
{
    const auto charge = context.getParams().getCharge();
    const auto now = role().loop_.timers().now();
    auto& bucket = role().quotas_.bucketFor(charge, now);
    bucket.charge(charge.getAmount(), now);
    if (charge.getAmount() > 0)
        bucket.capLevel(context.getParams().getLevel(), now);
    return kj::READY_NOW;
}

auto AgentRole::Session::noteRateLimit(NoteRateLimitContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    role().applyRateLimit(
        detail::readRateLimit(params.getStatement(), role().loop_.timers().now()), params.getOwn(), entry_);
    return kj::READY_NOW;
}

auto AgentRole::Session::takePermit(TakePermitContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto now = role().loop_.timers().now();
    const auto limit = detail::readRateLimit(params.getStatement(), now);
    role().applyRateLimit(limit, false, entry_);
    auto* arrivals = role().keptRateLimits_.find(limit.start);
    // The entry has not heard yet that the limit has ended.
    auto verdict = decisions::ArrivalPermits::Verdict { .granted = true };
    if (arrivals && arrivals->limited())
        verdict = arrivals->permits().take(params.getPriority(), permitCost(params.getStandIn()), now);
    role().metrics_.count("eelgrass_permits_total",
        { { "granted", verdict.granted ? "yes" : "no" }, { "stand_in", params.getStandIn() ? "yes" : "no" } });
    context.getResults().setGranted(verdict.granted);
    context.getResults().setAskAgainAfterMs(
        static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(verdict.askAgainAfter).count()));
    return kj::READY_NOW;
}

auto AgentRole::Session::takeRetry(TakeRetryContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto service = ServiceName(params.getService().cStr());
    const auto terms = decisions::ReserveTerms { .perShare = params.getPerShare(),
        .window = milliseconds(params.getWindowMs()),
        .handover = milliseconds(params.getHandoverMs()) };
    const auto decision = role().retryReserve_.take(service, terms, role().loop_.timers().now());
    role().metrics_.count("eelgrass_reserve_retries_total",
        { { "service", service.str() }, { "granted", decision.granted ? "yes" : "no" } });
    auto results = context.getResults();
    results.setGranted(decision.granted);
    results.setRetries(static_cast<std::uint32_t>(decision.retries));
    results.setAllowed(decision.allowed);
    results.setSpentForMs(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(decision.spentFor).count()));
    return kj::READY_NOW;
}

auto AgentRole::Session::noteLeaving(NoteLeavingContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    role().agent_.noteLeaving({ InstanceId(params.getInstance().cStr()), StartTime(params.getBirth()) }, entry_);
    return kj::READY_NOW;
}

auto AgentRole::Session::noteHostRest(NoteHostRestContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    role().agent_.noteHostRest({ InstanceId(params.getInstance().cStr()), StartTime(params.getBirth()) },
        milliseconds(params.getRestMs()), entry_);
    return kj::READY_NOW;
}

auto AgentRole::Session::returnPermit(ReturnPermitContext context) -> kj::Promise<void>
{
    const auto params = context.getParams();
    const auto now = role().loop_.timers().now();
    auto* arrivals = role().keptRateLimits_.find(detail::readRateLimit(params.getStatement(), now).start);
    if (arrivals && arrivals->limited())
        arrivals->permits().giveBack(permitCost(params.getStandIn()), now);
    return kj::READY_NOW;
}

auto AgentRole::Session::findStreamOrigin(FindStreamOriginContext context) -> kj::Promise<void>
{
    using Known = std::optional<StreamOrigins::Known>;
    const auto params = context.getParams();
    const auto stream = StreamId { MemberId(params.getMember().cStr()), AttemptId(params.getAttempt().cStr()) };
    auto known = role().origins_.find(stream, role().loop_.timers().now());
    auto answer = known || !params.getAskEntries() ? kj::Promise<Known>(std::move(known))
                                                   : role().attachedEntries_.findStreamOrigin(stream, this);
    return answer.then([this, context, stream](Known&& found) mutable {
        role().metrics_.count("eelgrass_stream_origins_asked_total", { { "known", found ? "yes" : "no" } });
        context.getResults().setKnown(found.has_value());
        if (found)
            detail::fill(context.getResults().initOrigin(), { stream, *found }, role().loop_.timers().now());
    });
}

} // namespace eelgrass::serving
