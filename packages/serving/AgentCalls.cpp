// The part of AgentLink that makes the calls of a session.
#include "serving/AgentLink.h"
#include "serving/detail/ClaimMessages.h"
#include "serving/detail/CrashMessages.h"
#include "serving/detail/NewsAge.h"
#include "serving/detail/OneWayCall.h"
#include "serving/detail/StreamOriginMessages.h"

#include <utility>

namespace eelgrass::serving {

namespace {

auto fill(wire::schema::QuotaCharge::Builder into, const QuotaCharge& charge) -> void
{
    into.setMember(charge.member.str());
    into.setAmount(charge.amount);
    into.setConfigVersion(charge.version.value());
    into.setRatePerSecond(charge.rate.perSecond);
    into.setBurst(charge.rate.burst);
    into.setLenience(charge.rate.lenience);
}

auto readNamed(wire::schema::AdmitAnswer::Reader answer, Moment now) -> std::optional<AdmitResult::Named>
{
    if (answer.getNamedVersion() == 0)
        return std::nullopt;
    return AdmitResult::Named { AdapterVersion(answer.getNamedVersion()),
        detail::momentOfAge(answer.getNamedAgeMs(), now) };
}

} // namespace

auto AgentLink::admit(const AgentAdmissionRequest& admission) -> kj::Promise<AdmitResult>
{
    usedAt_ = loop_.timers().now();
    if (!session_)
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    KJ_IF_MAYBE (client, session_->client) {
        auto call = client->admitRequest();
        auto request = call.initRequest();
        request.setAttempt(admission.attempt.str());
        request.setAdapter(admission.adapter.str());
        request.setVersion(admission.version.value());
        request.setVersionAgeMs(detail::ageOfMoment(admission.versionNamedAfter, loop_.timers().now()));
        request.setPromptTokens(admission.promptTokens);
        auto shared = request.initShared(static_cast<unsigned>(admission.shared.size()));
        for (auto index = 0U; index < admission.shared.size(); ++index) {
            shared[index].setId(admission.shared[index].id);
            shared[index].setTokens(admission.shared[index].tokens);
        }
        request.setOutputTokens(admission.outputTokens);
        request.setPriority(admission.priority);
        request.setAimMs(static_cast<std::uint32_t>(admission.timeUntilLate.count()));
        request.setLeftMs(static_cast<std::uint32_t>(admission.timeUntilGiveUp.count()));
        request.setElsewhere(admission.elsewhere);
        request.setRequestClass(admission.route.str());
        request.setSession(admission.session);
        request.setSharedPart(admission.sharedPart);
        detail::fillService(request, admission.keys, loop_.timers().now());
        return call.send().then([this, admission, alive = alive_](auto&& response) {
            const auto answer = response.getAnswer();
            if (*alive && answer.getGranted())
                granted_.emplace(admission.attempt, Granted { admission });
            // The answer contains load figures only. Until an update from the agent has named the replica, it is not
            // known which start of the replica the figures belong to.
            if (*alive && state_.receivedAt != Moment() && answer.hasState()) {
                applyFigures(answer.getState());
                hooks_.onFigures();
            }
            return AdmitResult { answer.getGranted(), AdapterVersion(answer.getVersion()),
                milliseconds(answer.getRetryAfterMs()), answer.getReason().cStr(), answer.getLate(),
                readNamed(answer, loop_.timers().now()) };
        });
    }
    return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
}

auto AgentLink::started(const AttemptId& attempt, const std::optional<StreamOrigins::Statement>& origin) -> void
{
    if (const auto granted = granted_.find(attempt); granted != granted_.end())
        granted->second.origin = origin;
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.startedRequest();
        call.setAttempt(attempt.str());
        if (origin)
            detail::fill(call.initOrigin(), *origin, loop_.timers().now());
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::findStreamOrigin(const StreamId& stream, bool askEntries)
    -> kj::Promise<std::optional<StreamOrigins::Known>>
{
    using Known = std::optional<StreamOrigins::Known>;
    return open().then([this, stream, askEntries, alive = alive_]() -> kj::Promise<Known> {
        if (!*alive || !session_)
            return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
        KJ_IF_MAYBE (client, session_->client) {
            auto call = client->findStreamOriginRequest();
            call.setMember(stream.member.str());
            call.setAttempt(stream.attempt.str());
            call.setAskEntries(askEntries);
            return call.send().then([timers = &loop_.timers()](auto&& answer) -> Known {
                if (!answer.getKnown())
                    return std::nullopt;
                return detail::readKnown(answer.getOrigin(), timers->now());
            });
        }
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    });
}

auto AgentLink::release(const AttemptId& attempt, RunEnd end) -> void
{
    granted_.erase(attempt);
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.releaseRequest();
        call.setAttempt(attempt.str());
        const auto unsent = end == RunEnd::Unsent;
        call.setUnsent(unsent);
        call.setEnd(unsent ? wire::schema::RunEnd::PLAIN : static_cast<wire::schema::RunEnd>(end));
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::noteCrashes(
    const std::vector<decisions::CrashReport>& crashes, const std::vector<decisions::WholeRun>& wholeRuns) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.noteCrashesRequest();
        const auto now = loop_.timers().now();
        detail::fill(call.initCrashes(static_cast<unsigned>(crashes.size())), crashes, now);
        detail::fill(call.initWholeRuns(static_cast<unsigned>(wholeRuns.size())), wholeRuns, now);
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::takeProbe(std::uint64_t key) -> kj::Promise<bool>
{
    if (session_) {
        KJ_IF_MAYBE (client, session_->client) {
            auto call = client->takeProbeRequest();
            call.setKey(key);
            return call.send().then([](auto&& answer) { return answer.getGranted(); });
        }
    }
    return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
}

auto AgentLink::noteService(const std::vector<decisions::ServiceKey>& keys, bool served) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.noteServiceRequest();
        detail::fill(call.initKeys(static_cast<unsigned>(keys.size())), keys);
        call.setServed(served);
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::findService(const std::vector<decisions::ServiceKey>& keys) -> kj::Promise<decisions::RequestedKeys>
{
    if (session_) {
        KJ_IF_MAYBE (client, session_->client) {
            auto call = client->findServiceRequest();
            detail::fill(call.initKeys(static_cast<unsigned>(keys.size())), keys);
            return call.send().then([keys, timers = &loop_.timers()](auto&& answer) {
                auto known = decisions::RequestedKeys();
                for (const auto& key : keys)
                    known.push_back({ key });
                detail::readService(answer.getService(), known, timers->now());
                return known;
            });
        }
    }
    return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
}

auto AgentLink::takeQuota(const QuotaCharge& charge) -> kj::Promise<QuotaDecision>
{
    if (!alive() && mayOpen()) {
        return open().then([this, charge, alive = alive_]() -> kj::Promise<QuotaDecision> {
            if (!*alive)
                return KJ_EXCEPTION(DISCONNECTED, "the agent was removed");
            return takeQuota(charge);
        });
    }
    usedAt_ = loop_.timers().now();
    if (!session_)
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    KJ_IF_MAYBE (client, session_->client) {
        auto call = client->takeQuotaRequest();
        fill(call.initCharge(), charge);
        return call.send().then([](auto&& answer) {
            return QuotaDecision { answer.getGranted(), milliseconds(answer.getRetryAfterMs()), answer.getLevel() };
        });
    }
    return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
}

auto AgentLink::noteQuota(const QuotaCharge& charge, double level) -> void
{
    if (!alive() && mayOpen()) {
        return loop_.spawn(open()
                               .then([this, charge, level, alive = alive_] {
                                   if (*alive)
                                       noteQuota(charge, level);
                               })
                               .catch_([](kj::Exception&&) {}));
    }
    usedAt_ = loop_.timers().now();
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.noteQuotaRequest();
        fill(call.initCharge(), charge);
        call.setLevel(level);
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::noteRateLimit(const ReplicaRateLimit& limit, bool own) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) { sendRateLimit(client, limit, own); });
}

auto AgentLink::sendRateLimit(wire::schema::AgentSession::Client& client, const ReplicaRateLimit& limit, bool own)
    -> void
{
    auto call = client.noteRateLimitRequest();
    detail::fill(call.initStatement(), limit, loop_.timers().now());
    call.setOwn(own);
    detail::sendOneWay(loop_, call);
}

auto AgentLink::takePermit(const ReplicaRateLimit& limit, std::uint32_t priority, bool standIn)
    -> kj::Promise<PermitDecision>
{
    usedAt_ = loop_.timers().now();
    if (!session_)
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    KJ_IF_MAYBE (client, session_->client) {
        auto call = client->takePermitRequest();
        detail::fill(call.initStatement(), limit, loop_.timers().now());
        call.setPriority(priority);
        call.setStandIn(standIn);
        return call.send().then([](auto&& answer) {
            return PermitDecision { answer.getGranted(), milliseconds(answer.getAskAgainAfterMs()) };
        });
    }
    return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
}

auto AgentLink::returnPermit(const ReplicaRateLimit& limit, bool standIn) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.returnPermitRequest();
        detail::fill(call.initStatement(), limit, loop_.timers().now());
        call.setStandIn(standIn);
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::noteHostRest(const ReplicaStart& start, Duration length) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.noteHostRestRequest();
        call.setInstance(start.instance.str());
        call.setBirth(start.startTime.value());
        call.setRestMs(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(length).count()));
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::noteLeaving(const ReplicaStart& start) -> void
{
    withClient([&](wire::schema::AgentSession::Client& client) {
        auto call = client.noteLeavingRequest();
        call.setInstance(start.instance.str());
        call.setBirth(start.startTime.value());
        detail::sendOneWay(loop_, call);
    });
}

auto AgentLink::setRetryShares(std::size_t shares) -> void
{
    if (std::exchange(retryShares_, shares) != shares)
        withClient([&](wire::schema::AgentSession::Client& client) { sendNotice(client); });
}

auto AgentLink::takeRetry(const ServiceName& service, const decisions::ReserveTerms& terms)
    -> kj::Promise<decisions::ReserveDecision>
{
    return open().then([this, service, terms, alive = alive_]() -> kj::Promise<decisions::ReserveDecision> {
        if (!*alive || !session_)
            return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
        usedAt_ = loop_.timers().now();
        KJ_IF_MAYBE (client, session_->client) {
            auto call = client->takeRetryRequest();
            call.setService(service.str());
            call.setPerShare(terms.perShare);
            call.setWindowMs(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(terms.window).count()));
            call.setHandoverMs(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(terms.handover).count()));
            return call.send().then([](auto&& answer) {
                return decisions::ReserveDecision { .granted = answer.getGranted(),
                    .retries = answer.getRetries(),
                    .allowed = answer.getAllowed(),
                    .spentFor = milliseconds(answer.getSpentForMs()) };
            });
        }
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    });
}

auto AgentLink::notify(const EntryNotice& notice) -> void
{
    notice_ = notice;
    withClient([&](wire::schema::AgentSession::Client& client) { sendNotice(client); });
}

auto AgentLink::sendNotice(wire::schema::AgentSession::Client& client) -> void
{
    if (!notice_.configuration)
        return;
    const auto& configuration = *notice_.configuration;
    auto call = client.configuredRequest();
    call.setVersion(configuration.version.value());
    call.setHolder(notice_.holder);
    call.setReaderWeight(notice_.readerWeight);
    call.setRetryShares(static_cast<std::uint8_t>(retryShares_));
    auto engines = std::vector<const ServiceRecord*>();
    for (const auto& [name, service] : configuration.services) {
        if (service.engine)
            engines.push_back(&service);
    }
    auto limits = call.initLimits(static_cast<unsigned>(engines.size()));
    for (auto index = 0U; index < engines.size(); ++index) {
        const auto& engine = *engines[index]->engine;
        limits[index].setService(engines[index]->name.str());
        limits[index].setHealthPath(engines[index]->healthPath);
        limits[index].setBatch(engine.batch);
        limits[index].setMemory(engine.memory);
        limits[index].setAdapterSlots(engine.adapterSlots);
        limits[index].setBaseModel(engine.models.empty() ? "" : engine.models.front().str());
    }
    detail::sendOneWay(loop_, call);
}

} // namespace eelgrass::serving
