#include "router/TargetRole.h"

#include "base/Log.h"

namespace eelgrass::router {

namespace {

constexpr auto metricMembers = std::size_t(100);
constexpr auto metricsBodyLimit = std::size_t(1024);
constexpr auto stopPoll = Duration(50ms);

} // namespace

/// What an entry that proved the secret may ask of this target.
class TargetRole::Session final : public wire::schema::TargetSession::Server {
public:
    Session(TargetRole& role, std::uint64_t number)
        : role_(role)
        , number_(number)
    {
    }
    ~Session() noexcept { role_.forget(number_); }

    auto heartbeat(HeartbeatContext context) -> kj::Promise<void> override
    {
        role_.describe(context.getResults().initState());
        return kj::READY_NOW;
    }

    auto start(StartContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        auto refused = role_.attempts_->start(read(params.getRequest()), params.getSink());
        auto results = context.getResults();
        results.setAccepted(!refused);
        if (refused)
            write(std::move(*refused).at(role_.settings_.common.name), results.initRefusal());
        role_.describe(results.initState());
        return kj::READY_NOW;
    }

    auto resume(ResumeContext context) -> kj::Promise<void> override
    {
        auto params = context.getParams();
        auto known = role_.attempts_->resume(
            AttemptId(params.getAttempt()), params.getSink(), ChunkNumber(params.getNextChunk()));
        context.getResults().setKnown(known);
        return kj::READY_NOW;
    }

    auto revoke(RevokeContext context) -> kj::Promise<void> override
    {
        auto revoked = role_.attempts_->revoke(AttemptId(context.getParams().getAttempt()));
        context.getResults().setRevoked(revoked == AttemptsController::Revoked::Yes);
        return kj::READY_NOW;
    }

    auto cancel(CancelContext context) -> kj::Promise<void> override
    {
        role_.attempts_->cancel(AttemptId(context.getParams().getAttempt()));
        return kj::READY_NOW;
    }

private:
    TargetRole& role_;
    std::uint64_t number_;
};

TargetRole::TargetRole(wire::MainLoop& loop, TargetSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(metricMembers)
    , platform_(settings_.common.platform.address, settings_.common.platform.port)
    , fence_(loop, platform_, TargetId(settings_.common.name))
    , listener_(settings_.listen.address, settings_.listen.port, [this](auto stream) { accept(kj::mv(stream)); })
    , metricsServer_(settings_.metrics.address, settings_.metrics.port, metricsBodyLimit,
          [this](auto& exchange) { metricsPage(exchange); })
{
    const auto limits = AttemptsController::Limits { settings_.queueLimit, settings_.batch };
    if (settings_.kind == TargetSettings::Kind::Engine) {
        engine_ = std::make_unique<targets::EngineClient>(settings_.target.address, settings_.target.port);
        slots_ = std::make_unique<SlotsController>(loop_, *engine_, settings_.slots);
        attempts_ = std::make_unique<AttemptsController>(
            loop_, EngineRunner(loop_, *engine_), slots_.get(), metrics_, limits);
    } else {
        service_ = std::make_unique<targets::ServiceClient>(settings_.target.address, settings_.target.port);
        attempts_ = std::make_unique<AttemptsController>(loop_, ServiceRunner(*service_), nullptr, metrics_, limits);
    }
    attempts_->onChange([this] { changed(); });
}

TargetRole::~TargetRole() = default;

auto TargetRole::start() -> void
{
    auto ready = fence_.raise()
                     .then([this]() -> kj::Promise<void> {
                         attempts_->setEpoch(fence_.epoch());
                         if (!slots_)
                             return kj::READY_NOW;
                         slots_->setEpoch(fence_.epoch());
                         return slots_->refresh();
                     })
                     .then([this] {
                         ready_ = true;
                         log::info("ready", { { "epoch", std::to_string(fence_.epoch().value()) } });
                     });
    loop_.spawn(kj::mv(ready));
    log::info(
        "listening", { { "port", std::to_string(port()) }, { "metrics_port", std::to_string(metricsServer_.port()) } });
}

auto TargetRole::accept(kj::Own<wire::GlibStream> stream) -> void
{
    auto door = kj::heap<wire::Door>(
        settings_.common.secret, [this](auto name, auto listener) { return admit(std::move(name), kj::mv(listener)); });
    connections_.push_back(std::make_unique<wire::Connection>(kj::mv(stream), kj::mv(door)));
    auto here = std::prev(connections_.end());
    // Freed in a later turn: the connection is still on the stack when it says that it is closed.
    loop_.spawn(
        (*here)->closed().then([] { return kj::evalLater([] {}); }).then([this, here] { connections_.erase(here); }));
}

auto TargetRole::admit(std::string name, wire::schema::EntryListener::Client listener)
    -> wire::schema::TargetSession::Client
{
    KJ_REQUIRE(ready_, "this target is not ready yet");
    log::info("session opened", { { "peer", name } });
    peers_.push_back({ ++lastSession_, std::move(name), kj::mv(listener) });
    return kj::heap<Session>(*this, lastSession_);
}

auto TargetRole::forget(std::uint64_t session) -> void
{
    // Entries close sessions that they no longer use and open them again; each would stay here for ever. Forgotten in a
    // later turn: the connection that holds the listener may be on the stack.
    loop_.spawn(kj::evalLater([this, session, alive = std::weak_ptr(alive_)] {
        if (alive.lock())
            peers_.remove_if([&](const Peer& peer) { return peer.session == session; });
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
    into.setEngineAlive(true);
    if (!slots_)
        return;
    const auto resident = slots_->resident();
    auto names = into.initResidentAdapters(static_cast<unsigned>(resident.size()));
    auto index = 0U;
    for (const auto& name : resident)
        names.set(index++, name.str());
}

auto TargetRole::summary() const -> decisions::ReportGate::Summary
{
    auto summary = decisions::ReportGate::Summary { .leaving = attempts_->leaving(),
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
