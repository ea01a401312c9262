#include "serving/AgentLink.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "serving/detail/CrashMessages.h"
#include "serving/detail/RunLimits.h"
#include "serving/detail/StreamOriginMessages.h"

namespace eelgrass::serving {

namespace {

// Delay before a lost session is opened again; a restarted agent is back within a second.
constexpr auto reconnectDelay = Duration(500ms);
constexpr auto fixedPointScale = 1000.0;
// If the first packets of a connection are lost, the kernel retransmits them only after seconds; reconnecting is
// faster.
constexpr auto openingTimeout = Duration(2s);
// An agent that has sent no update for this long is considered gone. The time is more than two heartbeat intervals; the
// interval is shorter for entries in the agent's zone than for those in other zones.
constexpr auto sameZoneSilence = Duration(1500ms);
constexpr auto otherZoneSilence = Duration(4500ms);
// An open session is looked at so often, and ended once no bytes have come between this many checks in a row: its
// connection may have gone silent for good while a new one would work. Counted in checks, not in time, since this
// process itself may have been suspended. A heartbeat interval is never longer than two checks.
constexpr auto sameZoneCheckInterval = Duration(500ms);
constexpr auto otherZoneCheckInterval = Duration(1500ms);
constexpr auto maxSilentChecks = 4U;
// An agent that restarts or was suspended is back sooner.
constexpr auto goneTime = Duration(6s);
// An agent sends its load figures within 400 ms of a request; the rest of this limit is a margin for slow hosts.
constexpr auto answerLimit = Duration(1200ms);
// An agent batches changes for up to this long before it publishes them to entries of its zone and of other zones.
constexpr auto sameZoneAge = Duration(400ms);
constexpr auto otherZoneAge = Duration(700ms);

} // namespace

class AgentLink::Listener final : public wire::schema::ReplicaListener::Server {
public:
    Listener(AgentLink& link, std::shared_ptr<bool> alive)
        : link_(link)
        , alive_(std::move(alive))
    {
    }

    auto changed(ChangedContext context) -> kj::Promise<void> override
    {
        if (*alive_)
            link_.applyState(context.getParams().getState());
        return kj::READY_NOW;
    }

    auto findStreamOrigin(FindStreamOriginContext context) -> kj::Promise<void> override
    {
        if (!*alive_)
            return kj::READY_NOW;
        const auto params = context.getParams();
        const auto stream = StreamId { MemberId(params.getMember().cStr()), AttemptId(params.getAttempt().cStr()) };
        if (const auto known = link_.hooks_.knownOrigin(stream)) {
            context.getResults().setKnown(true);
            detail::fill(context.getResults().initOrigin(), { stream, *known }, link_.loop_.timers().now());
        }
        return kj::READY_NOW;
    }

private:
    AgentLink& link_;
    std::shared_ptr<bool> alive_;
};

AgentLink::AgentLink(wire::MainLoop& loop, Endpoint endpoint, Caller caller, Hooks hooks)
    : loop_(loop)
    , endpoint_(std::move(endpoint))
    , endpointHash_(decisions::nameHash(endpoint_.str()))
    , caller_(std::move(caller))
    , hooks_(std::move(hooks))
    , lastHeardAt_(loop.timers().now())
{
}

AgentLink::~AgentLink() { *alive_ = false; }

auto AgentLink::setSessionPolicy(decisions::SessionPolicy policy) -> void
{
    policy_ = policy;
    if (persistent() && phase_ == Phase::Closed)
        connect();
    else if (phase_ == Phase::Open)
        scheduleIdleClose();
}

auto AgentLink::open() -> kj::Promise<void>
{
    usedAt_ = loop_.timers().now();
    if (alive())
        return kj::READY_NOW;
    if (phase_ == Phase::Closed)
        connect();
    if (phase_ != Phase::Opening)
        return KJ_EXCEPTION(DISCONNECTED, "no session with the agent");
    auto pair = kj::newPromiseAndFulfiller<void>();
    pendingOpens_.push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

auto AgentLink::connect() -> void
{
    phase_ = Phase::Opening;
    openingSince_ = loop_.timers().now();
    openingTimer_ = loop_.timers().after(openingTimeout, [this] { abandonOpening(); });
    work_ = wire::connectTo(endpoint_.address, endpoint_.port)
                .then([this](kj::Own<wire::GlibStream>&& stream) { return attach(kj::mv(stream)); })
                .eagerlyEvaluate([this](kj::Exception&& error) { handleSessionLoss(error.getDescription().cStr()); });
}

auto AgentLink::attach(kj::Own<wire::GlibStream> stream) -> kj::Promise<void>
{
    session_ = std::make_unique<Session>(kj::mv(stream));
    auto agent = session_->connection.bootstrap().castAs<wire::schema::Agent>();
    auto request = agent.attachRequest();
    request.setEntry(caller_.entry);
    request.setZone(caller_.zone.str());
    request.setListener(kj::heap<Listener>(*this, alive_));
    auto running = request.initRunning(static_cast<unsigned>(granted_.size()));
    auto index = 0U;
    for (const auto& [attempt, granted] : granted_) {
        auto item = running[index++];
        item.setAttempt(attempt.str());
        item.setAdapter(granted.admission.adapter.str());
        item.setPromptTokens(granted.admission.promptTokens);
        item.setOutputTokens(granted.admission.outputTokens);
        if (granted.origin)
            detail::fill(item.initOrigin(), *granted.origin, loop_.timers().now());
    }
    auto attached = request.send();
    // The notice is pipelined with the attachment, because the agent cannot admit requests before it has the limits.
    auto client = attached.getSession();
    if (const auto limit = hooks_.knownRateLimit())
        sendRateLimit(client, *limit, true);
    sendNotice(client);
    return attached
        .then([this](auto&& answer) {
            session_->client = answer.getSession();
            log::info("agent attached", { { "peer", endpoint_.str() } });
            completeOpening();
            return session_->connection.closed();
        })
        .then([this] { handleSessionLoss("closed"); });
}

/// The session is open once both the attach answer and the first state update have arrived, in either order.
auto AgentLink::completeOpening() -> void
{
    if (phase_ != Phase::Opening || !alive())
        return;
    phase_ = Phase::Open;
    for (auto& pending : std::exchange(pendingOpens_, {}))
        pending->fulfill();
    scheduleIdleClose();
    watchSilence();
}

auto AgentLink::watchSilence() -> void
{
    silentChecks_ = 0;
    heardAtLastCheck_ = {};
    silenceTimer_ = loop_.timers().every(
        caller_.sameZone ? sameZoneCheckInterval : otherZoneCheckInterval, [this] { checkSilence(); });
}

auto AgentLink::checkSilence() -> void
{
    if (phase_ != Phase::Open || !session_)
        return silenceTimer_.cancel();
    const auto heardAt = session_->connection.heardAt();
    silentChecks_ = heardAt == heardAtLastCheck_ ? silentChecks_ + 1 : 0;
    heardAtLastCheck_ = heardAt;
    if (silentChecks_ < maxSilentChecks)
        return;
    silenceTimer_.cancel();
    handleSessionLoss("silent");
}

auto AgentLink::abandonOpening() -> void
{
    if (phase_ == Phase::Opening)
        handleSessionLoss("timed out while opening");
}

auto AgentLink::inUse() const -> bool
{
    return !granted_.empty() || loop_.timers().now() - usedAt_ < decisions::SessionPlan::idleTime;
}

auto AgentLink::scheduleIdleClose() -> void
{
    if (persistent())
        return;
    idleTimer_ = loop_.timers().after(decisions::SessionPlan::idleTime, [this] {
        if (persistent() || phase_ != Phase::Open)
            return;
        if (inUse())
            scheduleIdleClose();
        else
            close();
    });
}

auto AgentLink::close() -> void
{
    log::info("agent detached", { { "peer", endpoint_.str() } });
    phase_ = Phase::Closed;
    state_.receivedAt = {};
    dropSession();
}

auto AgentLink::dropSession() -> void
{
    work_ = nullptr;
    session_.reset();
}

auto AgentLink::handleSessionLoss(const std::string& reason) -> void
{
    if (session_ && session_->client != nullptr)
        log::warn("agent lost", { { "peer", endpoint_.str() }, { "reason", reason } });
    phase_ = Phase::Backoff;
    state_.receivedAt = {};
    for (auto& pending : std::exchange(pendingOpens_, {}))
        pending->reject(KJ_EXCEPTION(DISCONNECTED, "agent unreachable"));
    // Deferred, because this may run inside a callback of the session, which must not destroy it.
    retryTimer_ = loop_.timers().after(Duration(0), [this] {
        dropSession();
        retryTimer_ = loop_.timers().after(reconnectDelay, [this] {
            phase_ = Phase::Closed;
            if (persistent() || !granted_.empty())
                connect();
        });
    });
}

auto AgentLink::mayOpen() const -> bool
{
    if (persistent())
        return false;
    return phase_ == Phase::Closed
        || (phase_ == Phase::Opening && loop_.timers().now() - openingSince_ < detail::sessionOpenLimit);
}

auto AgentLink::alive() const -> bool
{
    return session_ && session_->client != nullptr && state_.receivedAt != Moment()
        && loop_.timers().now() - state_.receivedAt < (caller_.sameZone ? sameZoneSilence : otherZoneSilence);
}

auto AgentLink::seemsGone() const -> bool
{
    return persistent() && !alive() && loop_.timers().now() - lastHeardAt_ > goneTime;
}

auto AgentLink::awayFor() const -> Duration { return alive() ? Duration(0) : loop_.timers().now() - lastHeardAt_; }

auto AgentLink::isResponsive(Moment asked) const -> bool
{
    return alive() && (state_.receivedAt >= asked || loop_.timers().now() - asked < answerLimit);
}

auto AgentLink::stateAge() const -> Duration
{
    return std::min(loop_.timers().now() - state_.receivedAt, caller_.sameZone ? sameZoneAge : otherZoneAge);
}

auto AgentLink::permitWait() const -> Duration
{
    return std::max(state_.receivedAt + Duration(state_.permitWait) - loop_.timers().now(), Duration(0));
}

auto AgentLink::applyState(wire::schema::ReplicaState::Reader state) -> void
{
    if (!state.getNumbersOnly())
        applyNames(state);
    applyFigures(state);
    hooks_.onState();
    completeOpening();
}

auto AgentLink::applyFigures(wire::schema::ReplicaState::Reader state) -> void
{
    state_.usable = state.getUsable();
    state_.running = state.getRunning();
    state_.queued = state.getQueued();
    state_.tokensAhead = state.getTokensAhead();
    state_.tokensWaiting = state.getTokensWaiting();
    state_.memoryUsed = state.getMemoryUsed();
    state_.spareSlots = state.getSpareSlots();
    state_.loadsWaiting = state.getLoadsWaiting();
    state_.readRate = static_cast<double>(state.getReadRate()) / fixedPointScale;
    state_.failureShare = static_cast<double>(state.getFailures()) / fixedPointScale;
    state_.permitWait = milliseconds(state.getPermitWaitMs());
    state_.entries = state.getEntries();
    state_.receivedAt = lastHeardAt_ = loop_.timers().now();
}

auto AgentLink::applyNames(wire::schema::ReplicaState::Reader state) -> void
{
    state_.start = { InstanceId(state.getInstance().cStr()), StartTime(state.getBirth()) };
    state_.resident.clear();
    for (auto adapter : state.getResident())
        state_.resident.emplace(AdapterName(adapter.getName().cStr()), AdapterVersion(adapter.getVersion()));
    state_.loading.clear();
    for (auto adapter : state.getLoading())
        state_.loading.emplace(adapter.cStr());
    state_.configVersion = ConfigVersion(state.getConfigVersion());
    state_.configHolder = state.getConfigHolder().cStr();
    state_.reader = state.getReader().cStr();
    state_.leaving = state.getLeaving();
    state_.hostRestUntil = loop_.timers().now() + milliseconds(state.getHostRestMs());
    state_.crashes = detail::readCrashes(state.getCrashes(), loop_.timers().now());
    state_.wholeRuns = detail::readWholeRuns(state.getWholeRuns(), loop_.timers().now());
    state_.lostStart = { InstanceId(state.getLostInstance().cStr()), StartTime(state.getLostBirth()) };
    state_.lostIsOver = state.getLostIsOver();
    hooks_.onNames();
    auto limits = std::vector<ReplicaRateLimit>();
    for (auto limit : state.getRateLimits())
        limits.push_back(detail::readRateLimit(limit, loop_.timers().now()));
    if (!limits.empty())
        hooks_.onRateLimits(limits);
}

} // namespace eelgrass::serving
