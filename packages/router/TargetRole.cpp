#include "router/TargetRole.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace eelgrass::router {

namespace {

constexpr auto metricMembers = std::size_t(100);
constexpr auto metricsBodyLimit = std::size_t(1024);
constexpr auto stopPollPeriod = Duration(50ms);
constexpr auto supersededExitCode = 3;
// An entry that waits for an answer acknowledges chunks or sends a heartbeat every second, and closes a session that is
// silent for three seconds. An entry that is silent for longer than this limit is gone; without the limit, its answers
// would wait for it forever.
constexpr auto activeSilenceLimit = Duration(5s);
// On a session without an answer in progress an entry sends a heartbeat once a minute; this limit allows for two
// heartbeats and a margin.
constexpr auto idleSilenceLimit = Duration(150s);
constexpr auto silenceCheckPeriod = Duration(1s);
constexpr auto retryDelay = Duration(500ms);
// Bounds how long a restart of the engine goes unnoticed. Each poll is one small request on the same host.
constexpr auto enginePollPeriod = Duration(500ms);

} // namespace

/// The calls that an authenticated entry may make to this target.
class TargetRole::Session final : public wire::schema::TargetSession::Server {
public:
    Session(TargetRole& role, std::shared_ptr<EntryActivity> activity, std::uint64_t number,
        wire::schema::EntryListener::Client listener)
        : role_(role)
        , activity_(std::move(activity))
        , listener_(kj::mv(listener))
        , number_(number)
        , pauses_(role.fence_.pauseCount())
        , alive_(role.alive_)
    {
    }
    ~Session() noexcept
    {
        // A session may be destroyed with the event loop's last tasks, after the role has been destroyed.
        if (!alive_.expired())
            role_.unsubscribe(number_);
    }

    auto heartbeat(HeartbeatContext context) -> kj::Promise<void> override
    {
        activity_->at = now();
        role_.writeState(context.getResults().initState());
        return kj::READY_NOW;
    }

    auto start(StartContext context) -> kj::Promise<void> override
    {
        return confirmSession().then([this, context]() mutable { startAttempt(context); });
    }

    auto resume(ResumeContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        markAwaited(AttemptId(params.getAttempt()));
        auto request = AttemptsController::ResumeRequest {
            .attempt = AttemptId(params.getAttempt()),
            .model = ModelName(params.getModel()),
            .chunk = ChunkNumber(params.getNextChunk()),
            .token = params.getNextToken(),
        };
        return role_.attempts_->resume(std::move(request), params.getSink()).then([context](bool known) mutable {
            context.getResults().setKnown(known);
        });
    }

    auto revoke(RevokeContext context) -> kj::Promise<void> override
    {
        auto revoked = role_.attempts_->revoke(AttemptId(context.getParams().getAttempt()));
        context.getResults().setRevoked(revoked == AttemptsController::Revoked::Yes);
        context.getResults().setKnown(revoked == AttemptsController::Revoked::Replayable);
        return kj::READY_NOW;
    }

    auto cancel(CancelContext context) -> kj::Promise<void> override
    {
        role_.attempts_->cancel(AttemptId(context.getParams().getAttempt()));
        return kj::READY_NOW;
    }

    auto release(ReleaseContext context) -> kj::Promise<void> override
    {
        role_.attempts_->release(AttemptId(context.getParams().getAttempt()));
        return kj::READY_NOW;
    }

private:
    /// After a pause of this process, pings the entry before an attempt is started. The process may resume with start
    /// requests in its sockets from entries that gave up on this process long ago, and running those requests would use
    /// the engine for no one. A closed session does not answer the ping, so its start requests are dropped with the
    /// session.
    auto confirmSession() -> kj::Promise<void>
    {
        const auto pauses = role_.fence_.pauseCount();
        if (pauses == pauses_)
            return kj::READY_NOW;
        return listener_.pingRequest().send().ignoreResult().then([this, pauses] {
            pauses_ = pauses;
            activity_->at = now();
        });
    }

    auto markAwaited(AttemptId attempt) -> void
    {
        activity_->at = now();
        activity_->awaited.insert(std::move(attempt));
    }

    auto startAttempt(StartContext& context) -> void
    {
        auto params = context.getParams();
        markAwaited(AttemptId(params.getRequest().getAttempt()));
        auto refused = role_.attempts_->start(read(params.getRequest()), params.getSink());
        auto results = context.getResults();
        results.setAccepted(!refused);
        if (refused)
            write(std::move(*refused).at(role_.settings_.common.name), results.initRefusal());
        role_.writeState(results.initState());
    }

    TargetRole& role_;
    std::shared_ptr<EntryActivity> activity_;
    wire::schema::EntryListener::Client listener_;
    std::uint64_t number_;
    std::uint64_t pauses_;
    std::weak_ptr<char> alive_;
};

TargetRole::TargetRole(wire::MainLoop& loop, TargetSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(metricMembers)
    , platform_(settings_.common.platform.address, settings_.common.platform.port)
    , fence_(loop, platform_, TargetId(settings_.common.name), settings_.honoursFence)
    , listener_(settings_.listen.address, settings_.listen.port, [this](auto stream) { accept(kj::mv(stream)); })
    , metricsServer_(settings_.metrics.address, settings_.metrics.port, metricsBodyLimit,
          [this](auto& exchange) { serveMetrics(exchange); })
{
    const auto limits = AttemptsController::Limits { settings_.queueLimit, settings_.batch };
    if (settings_.kind == TargetSettings::Kind::Engine) {
        engine_ = std::make_unique<targets::EngineClient>(settings_.target.address, settings_.target.port);
        slots_ = std::make_unique<SlotsController>(loop_, *engine_, settings_.slots);
        slots_->setTurns(
            std::make_unique<LoadTurns>(loop_, settings_.common.name, [this] { return loadQueueHolder(); }));
        slots_->setOwnershipCheck([this] { return fence_.confirmOwnership(); });
        auto runner = EngineRunner(loop_, *engine_);
        runner.onMissing([this] { pollEngine(); });
        attempts_ = std::make_unique<AttemptsController>(loop_, std::move(runner), slots_.get(), metrics_, limits);
    } else {
        service_ = std::make_unique<targets::ServiceClient>(settings_.target.address, settings_.target.port);
        attempts_ = std::make_unique<AttemptsController>(loop_, ServiceRunner(*service_), nullptr, metrics_, limits);
    }
    attempts_->onChange([this] { scheduleStatePush(); });
    attempts_->setOwnershipCheck([this] { return fence_.confirmOwnership(); });
    fence_.onSuperseded([this] {
        // Another process owns the target. Entries reconnect to that process when they lose their sessions here, and
        // that process adopts the streams that the engine runs.
        attempts_->setLeaving();
        loop_.quit(supersededExitCode);
    });
}

TargetRole::~TargetRole()
{
    // The pointer is released first, so that callbacks of the closing sessions do not use a partly destroyed role.
    alive_.reset();
    connections_.clear();
    subscribers_.clear();
}

auto TargetRole::start() -> void
{
    auto ready = fence_.raise()
                     .then([this]() -> kj::Promise<void> {
                         attempts_->setEpoch(fence_.epoch());
                         if (!slots_)
                             return kj::READY_NOW;
                         slots_->setEpoch(fence_.epoch());
                         return readEngineState();
                     })
                     .then([this] {
                         ready_ = true;
                         silenceTimer_ = loop_.timers().every(silenceCheckPeriod, [this] { dropSilentConnections(); });
                         if (engine_)
                             engineTimer_ = loop_.timers().every(enginePollPeriod, [this] { pollEngine(); });
                         log::info("ready", { { "epoch", std::to_string(fence_.epoch().value()) } });
                     });
    loop_.spawn(kj::mv(ready));
    log::info(
        "listening", { { "port", std::to_string(port()) }, { "metrics_port", std::to_string(metricsServer_.port()) } });
}

auto TargetRole::readEngineState() -> kj::Promise<void>
{
    return engine_->state().then(
        [this](const targets::EngineState& state) -> kj::Promise<void> {
            incarnation_ = state.incarnation;
            attempts_->setEngineSoftware(state.software);
            attempts_->setEngineStart(EngineCrashes::numberOf(incarnation_));
            slots_->applyEngineState(state);
            for (const auto& stream : state.streams)
                attempts_->adopt(stream.attempt, stream.model);
            return kj::READY_NOW;
        },
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return readEngineState(); }); });
}

auto TargetRole::pollEngine() -> void
{
    if (std::exchange(pollingEngine_, true))
        return;
    auto look = engine_->state().then(
        [this](const targets::EngineState& state) {
            if (!attempts_->engineAlive())
                scheduleStatePush();
            attempts_->setEngineAlive(true);
            attempts_->reconcileEngineStreams(state.streams);
            if (state.incarnation == incarnation_)
                return;
            // The engine restarted between two polls and lost its adapters, so the slot table is replaced before any
            // request relies on it.
            log::warn("engine restarted", { { "step", "engine" } });
            incarnation_ = state.incarnation;
            attempts_->setEngineSoftware(state.software);
            attempts_->setEngineStart(EngineCrashes::numberOf(incarnation_));
            slots_->applyEngineState(state);
            scheduleStatePush();
        },
        [this](kj::Exception&& lost) {
            if (attempts_->engineAlive())
                log::warn("engine unreachable", { { "step", "engine" }, { "reason", lost.getDescription().cStr() } });
            attempts_->setEngineAlive(false);
            scheduleStatePush();
        });
    loop_.spawn(look.then([this] { pollingEngine_ = false; }));
}

auto TargetRole::accept(kj::Own<wire::GlibStream> stream) -> void
{
    auto activity = std::make_shared<EntryActivity>(EntryActivity { .at = now() });
    auto door = kj::heap<wire::Door>(settings_.common.secret, [this, activity](auto name, auto listener) {
        return openSession(std::move(name), kj::mv(listener), activity);
    });
    auto entry = std::make_shared<EntryConnection>();
    entry->activity = activity;
    entry->connection = std::make_unique<wire::Connection>(kj::mv(stream), kj::mv(door));
    connections_.push_back(entry);
    loop_.spawn(entry->connection->closed().then([this, gone = std::weak_ptr(entry)] {
        if (auto held = gone.lock())
            dropConnection(held);
    }));
}

auto TargetRole::dropConnection(const std::shared_ptr<EntryConnection>& entry) -> void
{
    connections_.remove(entry);
    // The connection may be on the stack when it reports that it is closed.
    loop_.releaseLater(entry);
}

auto TargetRole::dropSilentConnections() -> void
{
    const auto pauses = fence_.pauseCount();
    for (const auto& entry : std::list<std::shared_ptr<EntryConnection>>(connections_)) {
        // Nothing could be received while this process was paused, so the silence of each entry is counted anew.
        if (pauses != lastPauseCount_)
            entry->activity->at = now();
        std::erase_if(entry->activity->awaited, [this](const auto& attempt) { return !attempts_->awaited(attempt); });
        const auto limit = entry->activity->awaited.empty() ? idleSilenceLimit : activeSilenceLimit;
        const auto heardAt = std::max(entry->activity->at, entry->connection->heardAt());
        if (now() - heardAt > limit)
            dropConnection(entry);
    }
    // Lets a process that was replaced during a pause end soon, even if it receives no request.
    if (std::exchange(lastPauseCount_, pauses) != pauses)
        loop_.spawn(fence_.confirmOwnership().ignoreResult());
}

auto TargetRole::openSession(std::string name, wire::schema::EntryListener::Client listener,
    std::shared_ptr<EntryActivity> activity) -> wire::schema::TargetSession::Client
{
    KJ_REQUIRE(ready_, "this target is not ready yet");
    log::info("session opened", { { "peer", name } });
    subscribers_.push_back({ ++lastSession_, name, listener });
    return kj::heap<Session>(*this, std::move(activity), lastSession_, kj::mv(listener));
}

auto TargetRole::unsubscribe(std::uint64_t session) -> void
{
    // Entries close unused sessions and open new ones, so closed sessions must not accumulate here. The session is
    // removed in a later event loop turn, because the connection that holds the listener may be on the stack.
    loop_.spawn(kj::evalLater([this, session, alive = std::weak_ptr(alive_)] {
        if (alive.lock())
            subscribers_.remove_if([&](const Subscriber& known) { return known.session == session; });
    }));
}

auto TargetRole::writeEngineCrashes(wire::schema::TargetState::Builder into) const -> void
{
    const auto now = loop_.timers().now();
    auto reports = attempts_->engineCrashes().reports(now);
    std::erase_if(reports, [](const auto& report) { return report.evidence != decisions::CrashEvidence::Crashed; });
    auto crashes = into.initEngineCrashes(static_cast<unsigned>(reports.size()));
    for (auto index = 0U; index < crashes.size(); ++index) {
        const auto& report = reports[index];
        crashes[index].setRequest(report.request.value());
        crashes[index].setWeights(report.shared.empty() ? 0 : report.shared.front().value());
        crashes[index].setEngineStart(report.start.value());
        crashes[index].setBefore(report.breaksBefore);
        crashes[index].setAgeMs(
            static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now - report.at).count()));
    }
}

auto TargetRole::writeState(wire::schema::TargetState::Builder into) const -> void
{
    into.setTarget(settings_.common.name);
    into.setEpoch(fence_.epoch().value());
    into.setLeaving(attempts_->leaving());
    into.setQueued(static_cast<std::uint32_t>(attempts_->queued()));
    into.setRunning(static_cast<std::uint32_t>(attempts_->running()));
    into.setSlots(settings_.slots);
    into.setBatchLimit(settings_.batch);
    into.setEngineAlive(attempts_->engineAlive());
    into.setEngineSoftware(attempts_->engineSoftware().str());
    writeEngineCrashes(into);
    into.setPlaceTimeUs(static_cast<std::uint32_t>(attempts_->requests().placeTime().count()));
    if (!slots_)
        return;
    const auto isReady = [this](const ModelName& model) { return slots_->ready(model); };
    const auto& waiting = attempts_->requests().all();
    into.setAwaitingLoad(static_cast<std::uint32_t>(
        std::count_if(waiting.begin(), waiting.end(), [&](const auto& request) { return !isReady(request.model); })));
    into.setLoadsWaiting(static_cast<std::uint32_t>(attempts_->requests().loadCandidates(isReady, now()).size()));
    into.setEvictionCost(slots_->evictionCost());
    const auto resident = slots_->resident();
    auto names = into.initResidentAdapters(static_cast<unsigned>(resident.size()));
    auto index = 0U;
    for (const auto& name : resident)
        names.set(index++, name.str());
}

// All targets choose the same entry among those connected to them, so that there is one load queue. Targets that are
// connected to different entries may use two queues for a while; loads are then slower, but not incorrect. If an entry
// has two sessions, the newer one is used.
auto TargetRole::loadQueueHolder() -> std::optional<LoadTurns::Listener>
{
    static const auto key = decisions::nameHash("load queue");
    const auto score = [](const Subscriber& subscriber) {
        return std::pair(decisions::rendezvousScore(key, decisions::nameHash(subscriber.name)), subscriber.session);
    };
    const auto best = std::max_element(subscribers_.begin(), subscribers_.end(),
        [&](const Subscriber& a, const Subscriber& b) { return score(a) < score(b); });
    return best == subscribers_.end() ? std::nullopt : std::optional(best->listener);
}

auto TargetRole::summary() const -> decisions::ReportThrottle::Summary
{
    auto summary = decisions::ReportThrottle::Summary { .leaving = attempts_->leaving(),
        .work = attempts_->queued() + attempts_->running(),
        .batchLimit = settings_.batch };
    if (slots_) {
        for (auto& name : slots_->resident())
            summary.resident.insert(name);
    }
    return summary;
}

auto TargetRole::scheduleStatePush() -> void
{
    if (pushTimer_.active())
        return;
    const auto delay = reports_.due(summary(), now());
    if (!delay)
        return;
    pushTimer_ = loop_.timers().after(*delay, [this] {
        if (reports_.due(summary(), now()))
            pushState();
    });
}

auto TargetRole::pushState() -> void
{
    reports_.sent(summary(), now());
    for (auto subscriber = subscribers_.begin(); subscriber != subscribers_.end(); ++subscriber) {
        auto request = subscriber->listener.targetChangedRequest();
        writeState(request.initState());
        loop_.spawn(request.send().ignoreResult().then(
            [] {}, [this, session = subscriber->session](kj::Exception&&) { unsubscribe(session); }));
    }
}

auto TargetRole::stop() -> void
{
    if (stopping_)
        return;
    stopping_ = true;
    log::info("leaving");
    attempts_->setLeaving();
    pushState();
    stopTimer_ = loop_.timers().every(stopPollPeriod, [this] {
        if (!attempts_->idle())
            return;
        log::info("stopped");
        loop_.quitWhenFlushed();
    });
}

auto TargetRole::serveMetrics(const wire::HttpExchangePtr& exchange) -> void
{
    if (exchange->path() == "/metrics")
        return exchange->respond(200, "text/plain; version=0.0.4", metrics_.text());
    if (exchange->path() == "/healthz")
        return exchange->respond(200, "text/plain", "ok\n");
    if (exchange->path() == "/readyz")
        return exchange->respond(ready_ && !stopping_ ? 200 : 503, "text/plain", ready_ ? "ready\n" : "not ready\n");
    exchange->respond(404, "text/plain", "no such page\n");
}

} // namespace eelgrass::router
