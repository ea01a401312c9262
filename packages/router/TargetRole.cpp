#include "router/TargetRole.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace eelgrass::router {

namespace {

constexpr auto metricMembers = std::size_t(100);
constexpr auto metricsBodyLimit = std::size_t(1024);
constexpr auto stopPoll = Duration(50ms);
constexpr auto superseded = 3;
// An entry that awaits an answer acknowledges chunks or beats every second, and gives a session up after three; one
// that is silent for longer is gone, and what it reads would wait for it for ever.
constexpr auto awaitedSilence = Duration(5s);
// On a session without an answer under way an entry beats once a minute: two of these and some.
constexpr auto idleSilence = Duration(150s);
constexpr auto sessionLook = Duration(1s);
constexpr auto retryDelay = Duration(500ms);
// How soon an engine that restarted unnoticed is seen; the look is one small request on the same host.
constexpr auto engineLook = Duration(500ms);

} // namespace

/// What an entry that proved the secret may ask of this target.
class TargetRole::Session final : public wire::schema::TargetSession::Server {
public:
    Session(TargetRole& role, std::shared_ptr<Heard> heard, std::uint64_t number,
        wire::schema::EntryListener::Client listener)
        : role_(role)
        , heard_(std::move(heard))
        , listener_(kj::mv(listener))
        , number_(number)
        , pauses_(role.fence_.pauses())
        , alive_(role.alive_)
    {
    }
    ~Session() noexcept
    {
        // A session may be freed with the loop's last tasks, after the role.
        if (!alive_.expired())
            role_.forget(number_);
    }

    auto heartbeat(HeartbeatContext context) -> kj::Promise<void> override
    {
        heard_->at = now();
        role_.describe(context.getResults().initState());
        return kj::READY_NOW;
    }

    auto start(StartContext context) -> kj::Promise<void> override
    {
        return alive().then([this, context]() mutable { startNow(context); });
    }

    auto resume(ResumeContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        await(AttemptId(params.getAttempt()));
        auto order = AttemptsController::ResumeOrder {
            .attempt = AttemptId(params.getAttempt()),
            .model = ModelName(params.getModel()),
            .chunk = ChunkNumber(params.getNextChunk()),
            .token = params.getNextToken(),
        };
        return role_.attempts_->resume(std::move(order), params.getSink()).then([context](bool known) mutable {
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
    /// Failure: this process stood still, and wakes with starts of entries that gave it up long ago in its sockets.
    /// Run, they would take the engine's time for nobody. So after a pause the entry is asked first; a session that is
    /// gone does not answer, and its starts are dropped with it.
    auto alive() -> kj::Promise<void>
    {
        const auto pauses = role_.fence_.pauses();
        if (pauses == pauses_)
            return kj::READY_NOW;
        return listener_.pingRequest().send().ignoreResult().then([this, pauses] {
            pauses_ = pauses;
            heard_->at = now();
        });
    }

    auto await(AttemptId attempt) -> void
    {
        heard_->at = now();
        heard_->awaited.insert(std::move(attempt));
    }

    auto startNow(StartContext& context) -> void
    {
        auto params = context.getParams();
        await(AttemptId(params.getRequest().getAttempt()));
        auto refused = role_.attempts_->start(read(params.getRequest()), params.getSink());
        auto results = context.getResults();
        results.setAccepted(!refused);
        if (refused)
            write(std::move(*refused).at(role_.settings_.common.name), results.initRefusal());
        role_.describe(results.initState());
    }

    TargetRole& role_;
    std::shared_ptr<Heard> heard_;
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
          [this](auto& exchange) { metricsPage(exchange); })
{
    const auto limits = AttemptsController::Limits { settings_.queueLimit, settings_.batch };
    if (settings_.kind == TargetSettings::Kind::Engine) {
        engine_ = std::make_unique<targets::EngineClient>(settings_.target.address, settings_.target.port);
        slots_ = std::make_unique<SlotsController>(loop_, *engine_, settings_.slots);
        slots_->setTurns(
            std::make_unique<LoadTurns>(loop_, settings_.common.name, [this] { return loadQueueHolder(); }));
        slots_->setOwnershipCheck([this] { return fence_.confirm(); });
        auto runner = EngineRunner(loop_, *engine_);
        runner.onMissing([this] { watchEngine(); });
        attempts_ = std::make_unique<AttemptsController>(loop_, std::move(runner), slots_.get(), metrics_, limits);
    } else {
        service_ = std::make_unique<targets::ServiceClient>(settings_.target.address, settings_.target.port);
        attempts_ = std::make_unique<AttemptsController>(loop_, ServiceRunner(*service_), nullptr, metrics_, limits);
    }
    attempts_->onChange([this] { changed(); });
    attempts_->setOwnershipCheck([this] { return fence_.confirm(); });
    fence_.onSuperseded([this] {
        // Another process owns the target: entries find it by their lost sessions, and it adopts what the engine runs.
        attempts_->setLeaving();
        loop_.quit(superseded);
    });
}

TargetRole::~TargetRole()
{
    // First of all, so that what ends with the sessions finds no half-destroyed role.
    alive_.reset();
    connections_.clear();
    peers_.clear();
}

auto TargetRole::start() -> void
{
    auto ready = fence_.raise()
                     .then([this]() -> kj::Promise<void> {
                         attempts_->setEpoch(fence_.epoch());
                         if (!slots_)
                             return kj::READY_NOW;
                         slots_->setEpoch(fence_.epoch());
                         return readEngine();
                     })
                     .then([this] {
                         ready_ = true;
                         sessionTimer_ = loop_.timers().every(sessionLook, [this] { dropSilent(); });
                         if (engine_)
                             engineTimer_ = loop_.timers().every(engineLook, [this] { watchEngine(); });
                         log::info("ready", { { "epoch", std::to_string(fence_.epoch().value()) } });
                     });
    loop_.spawn(kj::mv(ready));
    log::info(
        "listening", { { "port", std::to_string(port()) }, { "metrics_port", std::to_string(metricsServer_.port()) } });
}

auto TargetRole::readEngine() -> kj::Promise<void>
{
    return engine_->state().then(
        [this](const targets::EngineState& state) -> kj::Promise<void> {
            incarnation_ = state.incarnation;
            slots_->take(state);
            for (const auto& stream : state.streams)
                attempts_->adopt(stream.attempt, stream.model);
            return kj::READY_NOW;
        },
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return readEngine(); }); });
}

auto TargetRole::watchEngine() -> void
{
    if (std::exchange(watchingEngine_, true))
        return;
    auto look = engine_->state().then(
        [this](const targets::EngineState& state) {
            if (!attempts_->engineAlive())
                changed();
            attempts_->setEngineAlive(true);
            attempts_->reconcileEngineStreams(state.streams);
            if (state.incarnation == incarnation_)
                return;
            // It restarted between two looks: what it held is gone, and no request may be sent on the belief that it
            // is there.
            log::warn("engine restarted", { { "step", "engine" } });
            incarnation_ = state.incarnation;
            slots_->take(state);
        },
        [this](kj::Exception&& lost) {
            if (attempts_->engineAlive())
                log::warn("engine away", { { "step", "engine" }, { "reason", lost.getDescription().cStr() } });
            attempts_->setEngineAlive(false);
            changed();
        });
    loop_.spawn(look.then([this] { watchingEngine_ = false; }));
}

auto TargetRole::accept(kj::Own<wire::GlibStream> stream) -> void
{
    auto heard = std::make_shared<Heard>(Heard { .at = now() });
    auto door = kj::heap<wire::Door>(settings_.common.secret,
        [this, heard](auto name, auto listener) { return admit(std::move(name), kj::mv(listener), heard); });
    auto peer = std::make_shared<Connected>();
    peer->heard = heard;
    peer->connection = std::make_unique<wire::Connection>(kj::mv(stream), kj::mv(door));
    connections_.push_back(peer);
    loop_.spawn(peer->connection->closed().then([this, gone = std::weak_ptr(peer)] {
        if (auto held = gone.lock())
            drop(held);
    }));
}

auto TargetRole::drop(const std::shared_ptr<Connected>& peer) -> void
{
    connections_.remove(peer);
    // Freed in a later turn: the connection may be on the stack when it says that it is closed.
    loop_.spawn(kj::evalLater([] {}).then([] { return kj::evalLater([] {}); }).attach(kj::heap(peer)));
}

auto TargetRole::dropSilent() -> void
{
    const auto pauses = fence_.pauses();
    for (const auto& peer : std::list<std::shared_ptr<Connected>>(connections_)) {
        // After a pause of this process nobody could be heard: the entries get their time anew.
        if (pauses != pausesSeen_)
            peer->heard->at = now();
        std::erase_if(peer->heard->awaited, [this](const auto& attempt) { return !attempts_->awaited(attempt); });
        const auto limit = peer->heard->awaited.empty() ? idleSilence : awaitedSilence;
        const auto heardAt = std::max(peer->heard->at, peer->connection->heardAt());
        if (now() - heardAt > limit)
            drop(peer);
    }
    // A process that was replaced while it stood still ends soon, also when nobody asks anything of it.
    if (std::exchange(pausesSeen_, pauses) != pauses)
        loop_.spawn(fence_.confirm().ignoreResult());
}

auto TargetRole::admit(std::string name, wire::schema::EntryListener::Client listener, std::shared_ptr<Heard> heard)
    -> wire::schema::TargetSession::Client
{
    KJ_REQUIRE(ready_, "this target is not ready yet");
    log::info("session opened", { { "peer", name } });
    peers_.push_back({ ++lastSession_, name, listener });
    return kj::heap<Session>(*this, std::move(heard), lastSession_, kj::mv(listener));
}

auto TargetRole::forget(std::uint64_t session) -> void
{
    // Entries close sessions that they no longer use and open them again; each would stay here for ever. Forgotten in a
    // later turn: the connection that holds the listener may be on the stack.
    loop_.spawn(kj::evalLater([this, session, alive = std::weak_ptr(alive_)] {
        if (alive.lock())
            peers_.remove_if([&](const Peer& known) { return known.session == session; });
    }));
}

auto TargetRole::describe(wire::schema::TargetState::Builder into) const -> void
{
    into.setTarget(settings_.common.name);
    into.setEpoch(fence_.epoch().value());
    into.setLeaving(attempts_->leaving());
    into.setQueued(static_cast<std::uint32_t>(attempts_->queued()));
    into.setRunning(static_cast<std::uint32_t>(attempts_->running()));
    into.setSlots(settings_.slots);
    into.setBatchLimit(settings_.batch);
    into.setEngineAlive(attempts_->engineAlive());
    const auto& known = attempts_->suspects().known();
    auto suspects = into.initSuspects(static_cast<unsigned>(known.size()));
    auto place = 0U;
    for (const auto& [digest, crashes] : known) {
        suspects[place].setDigest(digest);
        suspects[place].setCrashes(crashes);
        ++place;
    }
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

// Every target comes to the same entry among those connected, so that there is one queue; where they differ there are
// two for a while, and loads are slower, not wrong. Of an entry's two connections the newer one counts.
auto TargetRole::loadQueueHolder() -> std::optional<LoadTurns::Listener>
{
    static const auto key = decisions::nameHash("load queue");
    const auto score = [](const Peer& peer) {
        return std::pair(decisions::rendezvousScore(key, decisions::nameHash(peer.name)), peer.session);
    };
    const auto best = std::max_element(
        peers_.begin(), peers_.end(), [&](const Peer& a, const Peer& b) { return score(a) < score(b); });
    return best == peers_.end() ? std::nullopt : std::optional(best->listener);
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

auto TargetRole::changed() -> void
{
    if (pushTimer_.active())
        return;
    const auto delay = reports_.due(summary(), now());
    if (!delay)
        return;
    pushTimer_ = loop_.timers().after(*delay, [this] {
        pushTimer_ = {};
        if (reports_.due(summary(), now()))
            pushState();
    });
}

auto TargetRole::pushState() -> void
{
    reports_.sent(summary(), now());
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
        auto request = peer->listener.targetChangedRequest();
        describe(request.initState());
        loop_.spawn(request.send().ignoreResult().then(
            [] {}, [this, session = peer->session](kj::Exception&&) { forget(session); }));
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
    stopTimer_ = loop_.timers().every(stopPoll, [this] {
        if (!attempts_->idle())
            return;
        log::info("stopped");
        loop_.quit();
    });
}

auto TargetRole::metricsPage(const wire::HttpExchangePtr& exchange) -> void
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
