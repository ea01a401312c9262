#include "serving/AgentRole.h"

#include "base/DurationText.h"
#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "decisions/SharedReading.h"
#include "serving/AgentSession.h"
#include "serving/StoreCalls.h"
#include "serving/detail/CrashMessages.h"
#include "serving/detail/NewsAge.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <tuple>

namespace eelgrass::serving {

namespace {

constexpr auto metricClasses = std::size_t(10);
constexpr auto millisecondsPerSecond = 1000.0;
// How long the agent waits for an entry to send the limits before it reads them from the store, and between reads.
// Entries attach within a second of the first configuration, which may arrive a few seconds after the agent starts.
constexpr auto limitsWait = Duration(8s);
constexpr auto crashExpiryInterval = Duration(5s);

/// How overdue service is, in tenths of what makes it due.
auto levelText(double level) -> std::string
{
    auto text = std::array<char, 32>();
    std::snprintf(text.data(), text.size(), "%.1f", level);
    return text.data();
}

} // namespace

/// A call that waits for its turn, or is being cancelled, keeps its session or door beyond the end of the role.
auto AgentRole::reach(const std::weak_ptr<AgentRole>& role) -> AgentRole&
{
    const auto held = role.lock();
    if (!held)
        kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the agent has ended"));
    return *held;
}

class AgentRole::Door final : public wire::schema::Agent::Server {
public:
    Door(AgentRole& role, wire::ConnectionSet::Id connection)
        : role_(role.self_)
        , connection_(connection)
    {
    }

    auto attach(AttachContext context) -> kj::Promise<void> override
    {
        const auto params = context.getParams();
        auto& role = reach(role_);
        const auto sameZone = role.settings_.host.zone.view() == params.getZone().cStr();
        auto session = kj::heap<Session>(role, connection_, params.getEntry().cStr(), sameZone);
        for (auto running : params.getRunning())
            session->adopt(running);
        role.publisher_.add(session.get(), params.getListener(), sameZone);
        log::info("entry attached", { { "peer", params.getEntry().cStr() } });
        context.getResults().setSession(kj::mv(session));
        return kj::READY_NOW;
    }

private:
    std::weak_ptr<AgentRole> role_;
    wire::ConnectionSet::Id connection_;
};

AgentRole::AgentRole(wire::MainLoop& loop, AgentSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(metricClasses)
    , store_(loop.timers(), settings_.host.store, storeCallCounter(metrics_))
    , agent_(loop, settings_, store_,
          { .onDecision = [this](const AttemptId& attempt,
                              const ReplicaAgent::Decision& decision) { handleDecision(attempt, decision); },
              .onChange = [this] { publisher_.changed(); },
              .onVersionInForce =
                  [this](const char* where, Duration age) {
                      metrics_.observe("eelgrass_in_force_seconds", { { "what", where } }, age);
                  },
              .onWithdrawn = [this](const decisions::AdmissionRequest& request) { handleWithdrawal(request); },
              .onTurnEnd =
                  [this](const char* how) {
                      metrics_.count("eelgrass_adapter_turns_total", { { "end", how } });
                  } })
    , publisher_(loop,
          { .figures = [this] { return figures(); },
              .namesFingerprint = [this] { return namesFingerprint(); },
              .fillNames = [this](wire::schema::ReplicaState::Builder state) { fillNames(state); } },
          [this](StatePublisher::Key session) { endSilentSession(*static_cast<const Session*>(session)); })
    , attachedEntries_(loop, publisher_)
    , keptRateLimits_(metrics_)
    , retryReserve_(loop.timers().now(), settings_.host.firstStart)
    , connections_(loop.timers())
{
}

auto AgentRole::start() -> void
{
    listener_ = std::make_unique<wire::Listener>(
        settings_.host.address, settings_.host.agentPort, [this](kj::Own<wire::GlibStream> stream) {
            auto door = kj::heap<Door>(*this, connections_.nextId());
            connections_.add(std::make_unique<wire::Connection>(kj::mv(stream), kj::mv(door)));
        });
    metricsServer_ = serveMetrics(loop_.timers(), { settings_.host.address, settings_.host.metricsPort }, metrics_);
    agent_.start();
    publisher_.start();
    limitsTimer_ = loop_.timers().every(limitsWait, [this] { requestLimits(); });
    expiryTimer_ = loop_.timers().every(crashExpiryInterval, [this] {
        keptService_.expire(loop_.timers().now());
        if (crashes_.expire(loop_.timers().now()))
            publisher_.changed();
    });
    log::info("listening",
        { { "port", std::to_string(listener_->port()) }, { "version", EELGRASS_VERSION },
            { "peer", settings_.replica.str() } });
}

auto AgentRole::stop() -> void
{
    // Entries continue without this agent: they send the replica only requests for models that it already holds.
    log::info("stopped", { { "sessions", std::to_string(publisher_.entries()) } });
    loop_.quitWhenFlushed();
}

auto AgentRole::endSilentSession(const Session& session) -> void
{
    log::warn("entry silent", { { "peer", session.entry() } });
    metrics_.count("eelgrass_silent_sessions_total", { { "peer", "entry" } });
    connections_.end(session.connection());
}

auto AgentRole::reload(const AgentSettings& settings) -> void
{
    settings_.grace = settings.grace;
    log::info("settings reloaded", {});
}

auto AgentRole::logAdmission(const char* event, const AttemptId& attempt, const ReplicaAgent::Decision& decision) const
    -> void
{
    const auto slots = agent_.slotUse();
    const auto& request = decision.request;
    const auto waitedFor = [&](decisions::WaitReason reason) {
        const auto found = request.wait.times.find(reason);
        return millisecondsText(found == request.wait.times.end() ? Duration(0) : found->second);
    };
    const auto queued = decision.waited > Duration(0);
    log::info(event,
        { { "request", attempt.str() }, { "replica", agent_.instance().str() }, { "reason", decision.reason },
            { "class", request.requestClass.str() }, { "adapter", decision.adapter.str() },
            { "prefix", request.sharedPart == 0 ? "" : std::to_string(request.sharedPart) },
            { "session", request.session == 0 ? "" : std::to_string(request.session) },
            { "priority", std::to_string(request.priority) },
            { "owed_to", request.claim.due() ? decisions::toString(request.claim.key.kind) : "" },
            { "owed", levelText(request.claim.level) }, { "unread", std::to_string(request.unreadTokens) },
            { "held", !decision.adapter.empty() && agent_.holds(decision.adapter) ? "yes" : "no" },
            { "version", decision.granted ? std::to_string(decision.version.value()) : "" },
            { "waited_ms", millisecondsText(decision.waited) },
            { "adapter_ms", waitedFor(decisions::WaitReason::Adapter) },
            { "place_ms", waitedFor(decisions::WaitReason::Place) },
            { "reading_ms", waitedFor(decisions::WaitReason::Reading) },
            { "permit_ms", waitedFor(decisions::WaitReason::Permit) },
            { "overtaken_by", std::to_string(request.wait.overtakenBy) },
            { "granted_meanwhile",
                queued ? decisions::grantedSince(request.wait.grantedBefore, agent_.queue().granted()) : "" },
            { "tokens_ahead", std::to_string(agent_.tokensAhead()) },
            { "tokens_per_s",
                std::to_string(static_cast<std::uint64_t>(agent_.queue().readRate() * millisecondsPerSecond)) },
            { "load_ms", millisecondsText(decision.assumedLoad) }, { "slots", std::to_string(slots.slots) },
            { "slots_pinned", std::to_string(slots.pinned) }, { "slots_spare", std::to_string(agent_.spareSlots()) },
            { "loading", std::to_string(slots.loading) }, { "loads_allowed", std::to_string(slots.loadLimit) },
            { "loads_waiting", std::to_string(agent_.loadsWaiting()) },
            { "running", std::to_string(agent_.queue().running()) },
            { "queued", std::to_string(agent_.queue().queued()) } });
}

auto AgentRole::countWaits(const decisions::AdmissionWait& wait, const char* outcome) -> void
{
    for (const auto& [reason, time] : wait.times) {
        metrics_.count("eelgrass_admission_wait_seconds_total",
            { { "for", decisions::toString(reason) }, { "outcome", outcome } },
            std::chrono::duration<double>(time).count());
    }
}

auto AgentRole::handleWithdrawal(const decisions::AdmissionRequest& request) -> void
{
    logAdmission("wait given up", request.attempt,
        { .adapter = request.adapter, .waited = loop_.timers().now() - request.arrivedAt, .request = request });
    countWaits(request.wait, "given up");
}

auto AgentRole::handleDecision(const AttemptId& attempt, const ReplicaAgent::Decision& decision) -> void
{
    const auto found = pendingAdmissions_.find(attempt);
    logAdmission(decision.granted ? "granted" : "not granted", attempt, decision);
    countWaits(decision.request.wait, decision.granted ? "granted" : "refused");
    metrics_.count("eelgrass_admissions_total", { { "granted", decision.granted ? "yes" : "no" } });
    if (found == pendingAdmissions_.end())
        return;
    auto pending = std::move(found->second);
    pendingAdmissions_.erase(found);
    pending.fulfiller->fulfill(ReplicaAgent::Decision(decision));
}

auto AgentRole::applyConfiguration(
    std::uint64_t version, const std::string& holder, capnp::List<wire::schema::EngineLimits>::Reader limits) -> void
{
    if (ConfigVersion(version) > configVersion_) {
        configVersion_ = ConfigVersion(version);
        configHolder_ = holder;
        publisher_.changed();
    }
    for (auto item : limits) {
        if (settings_.service.str() != item.getService().cStr())
            continue;
        limitsKnown_ = true;
        agent_.configure({ .batch = item.getBatch(), .memory = item.getMemory() }, item.getAdapterSlots(),
            BaseModel(item.getBaseModel().cStr()), item.getHealthPath().cStr());
    }
}

auto AgentRole::requestLimits() -> void
{
    if (limitsKnown_)
        return limitsTimer_.cancel();
    limitsWork_ = store_.readRow("op", "config")
                      .then([this](hosting::StoreAnswer&& answer) { applyStoredLimits(answer); })
                      .eagerlyEvaluate([](kj::Exception&& error) {
                          log::error("reading limits failed", { { "reason", error.getDescription().cStr() } });
                      });
}

auto AgentRole::applyStoredLimits(const hosting::StoreAnswer& answer) -> void
{
    if (limitsKnown_ || answer.rows.empty())
        return;
    const auto configuration = orElse(
        [&]() -> Result<std::optional<ServingConfiguration>> {
            BOOST_LEAF_AUTO(read, hosting::readConfiguration(answer.rows.front().value));
            return std::optional(std::move(read));
        },
        [](const Error& error) -> std::optional<ServingConfiguration> {
            log::error("configuration not understood", { { "source", "store" }, { "reason", error.message() } });
            return std::nullopt;
        });
    if (!configuration)
        return;
    const auto service = configuration->services.find(settings_.service);
    if (service == configuration->services.end() || !service->second.engine)
        return;
    limitsKnown_ = true;
    const auto& engine = *service->second.engine;
    agent_.configure({ .batch = engine.batch, .memory = engine.memory }, engine.adapterSlots,
        engine.models.empty() ? BaseModel() : engine.models.front(), service->second.healthPath);
    log::info("limits read", { { "source", "store" } });
}

auto AgentRole::applyRateLimit(const ReplicaRateLimit& limit, bool own, std::string_view source) -> void
{
    if (!own) {
        if (keptRateLimits_.apply(limit, source, loop_.timers().now()))
            publisher_.changed();
        return;
    }
    const auto before = agent_.queue().arrivals().announced().perSecond();
    const auto change = agent_.noteRateLimit(limit);
    recordRateLimitChange(metrics_, change, limit, before, source, loop_.timers().now());
    if (change != decisions::AnnouncedRateLimit::Change::None)
        publisher_.changed();
}

auto AgentRole::rateLimits() const -> std::vector<ReplicaRateLimit>
{
    auto limits = keptRateLimits_.statements();
    if (auto own = agent_.rateLimit())
        limits.push_back(std::move(*own));
    return limits;
}

auto AgentRole::figures() const -> decisions::ReplicaLoad
{
    const auto& queue = agent_.queue();
    return { .usable = agent_.acceptsRequests(),
        .running = queue.running(),
        .queued = queue.queued(),
        .tokensAhead = agent_.tokensAhead(),
        .tokensWaiting = agent_.tokensWaiting(),
        .memoryUsed = queue.memoryUsed(),
        .spareSlots = agent_.spareSlots(),
        .loadsWaiting = agent_.loadsWaiting(),
        .readRate = queue.readRate(),
        .failures = agent_.failureShare(),
        .permitWait = queue.permitWait(loop_.timers().now()) };
}

auto AgentRole::reader() const -> std::string
{
    if (sameZoneEntries_.size() < decisions::SharedReading::fewestEntries)
        return {};
    const auto first
        = std::min_element(sameZoneEntries_.begin(), sameZoneEntries_.end(), [](const auto& l, const auto& r) {
              const auto& [left, right] = std::tie(l.second, r.second);
              if (left.readerWeight != right.readerWeight)
                  return left.readerWeight > right.readerWeight;
              return decisions::nameHash(left.holder) < decisions::nameHash(right.holder);
          });
    return first->second.holder;
}

auto AgentRole::namesFingerprint() const -> std::string
{
    auto text = agent_.instance().str() + "|" + std::to_string(agent_.startTime().value()) + "|"
        + std::to_string(configVersion_.value()) + "|" + configHolder_ + "|" + reader()
        + (agent_.leaving() ? "|leaving" : "");
    if (const auto end = agent_.hostRestEnd())
        text.append("|rest").append(std::to_string(end->time_since_epoch().count()));
    for (const auto& [adapter, version] : agent_.resident())
        text.append("|").append(adapter.str()).append("@").append(std::to_string(version.value()));
    for (const auto& adapter : agent_.loading())
        text.append("|+").append(adapter.str());
    text.append("|!").append(std::to_string(crashes_.version()));
    if (const auto& lost = agent_.lostStart())
        text.append("|-").append(lost->start.instance.str()).append(lost->over ? "!" : "");
    for (const auto& limit : rateLimits()) {
        text.append("|=").append(limit.start.instance.str());
        text.append(":").append(std::to_string(limit.statement.perSecond.value_or(-1)));
    }
    return text;
}

auto AgentRole::fillNames(wire::schema::ReplicaState::Builder state) const -> void
{
    state.setInstance(agent_.instance().str());
    state.setBirth(agent_.startTime().value());
    state.setLeaving(agent_.leaving());
    if (const auto end = agent_.hostRestEnd())
        state.setHostRestMs(detail::millisecondsSince(loop_.timers().now(), *end));
    const auto resident = agent_.resident();
    auto list = state.initResident(static_cast<unsigned>(resident.size()));
    auto index = 0U;
    for (const auto& [adapter, version] : resident) {
        list[index].setName(adapter.str());
        list[index++].setVersion(version.value());
    }
    const auto coming = agent_.loading();
    auto loading = state.initLoading(static_cast<unsigned>(coming.size()));
    for (index = 0; index < coming.size(); ++index)
        loading.set(index, coming[index].str());
    const auto now = loop_.timers().now();
    const auto crashes = crashes_.reports(now);
    detail::fill(state.initCrashes(static_cast<unsigned>(crashes.size())), crashes, now);
    const auto wholeRuns = crashes_.wholeRuns(now);
    detail::fill(state.initWholeRuns(static_cast<unsigned>(wholeRuns.size())), wholeRuns, now);
    if (const auto& lost = agent_.lostStart()) {
        state.setLostInstance(lost->start.instance.str());
        state.setLostBirth(lost->start.startTime.value());
        state.setLostIsOver(lost->over);
    }
    state.setConfigVersion(configVersion_.value());
    state.setConfigHolder(configHolder_);
    state.setReader(reader());
    const auto known = rateLimits();
    auto limits = state.initRateLimits(static_cast<unsigned>(known.size()));
    for (index = 0; index < known.size(); ++index)
        detail::fill(limits[index], known[index], loop_.timers().now());
}

} // namespace eelgrass::serving
