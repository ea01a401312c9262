#include "router/EntryRole.h"

#include "base/Log.h"
#include "base/Secrets.h"
#include "router/entry/Relay.h"

namespace eelgrass::router {

namespace {

constexpr auto requestIdBytes = std::size_t(12);
constexpr auto stopPollPeriod = Duration(50ms);
// A caller that stops in the middle of a request or does not read its answer delays a stop by this much at most.
constexpr auto drainLimit = Duration(10s);
constexpr auto bytesPerKiB = std::size_t(1024);

auto newRequestId() -> RequestId { return RequestId(randomHex(requestIdBytes)); }

} // namespace

EntryRole::EntryRole(wire::MainLoop& loop, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(settings_.metricMembers)
    , platform_(settings_.common.platform.address, settings_.common.platform.port)
    , config_(loop, platform_)
    , targets_(loop, platform_, settings_.common.secret, settings_.common.name)
    , operatorApi_(loop, settings_, config_, targets_, [this] { return status(); })
    , ledger_(loop, platform_)
    , quarantine_(loop, platform_)
    , filters_(Authenticate(), Parse(), Resolve(), Authorize())
    , server_(
          settings_.listen.address, settings_.listen.port, settings_.bodyLimitKiB * bytesPerKiB,
          [this](auto& exchange) { handleRequest(exchange); }, std::chrono::seconds(settings_.callerSilenceS))
{
}

auto EntryRole::start() -> void
{
    targets_.excludeDrained([this]() -> const std::set<TargetId>& { return config_.current()->drained(); });
    config_.start();
    targets_.onState([this](auto state) { quarantine_.update(state); });
    targets_.start();
    ledger_.start();
    quarantine_.start();
    log::info("listening", { { "port", std::to_string(port()) } });
}

auto EntryRole::ready() const noexcept -> bool { return config_.ready() && targets_.ready() && !stopping_; }

auto EntryRole::handleRequest(const wire::HttpExchangePtr& exchange) -> void
{
    const auto path = exchange->path();
    if (path == "/healthz")
        return exchange->respond(200, "text/plain", "ok\n");
    if (path == "/readyz")
        return exchange->respond(ready() ? 200 : 503, "text/plain", ready() ? "ready\n" : "not ready\n");
    if (path == "/metrics")
        return exchange->respond(200, "text/plain; version=0.0.4", metrics_.text());
    if (path.starts_with("/admin/"))
        return operatorApi_.serve(exchange);
    serveCaller(exchange);
}

auto EntryRole::serveCaller(const wire::HttpExchangePtr& exchange) -> void
{
    auto call = std::make_shared<Call>();
    call->exchange = exchange;
    call->requestId = newRequestId();
    call->receivedAt = now();
    call->configuration = config_.current();
    if (!config_.ready()) {
        writeError(exchange, call->requestId,
            Error(Step::Resolve, 503, "not_ready", "the configuration is not known yet").retryAfter(1s));
        return;
    }
    auto refused = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(filters_.apply(*call));
            return false;
        },
        [&](const Error& error) {
            metrics_.count("eelgrass_refusals_total", { { "type", error.type() } });
            writeError(exchange, call->requestId, error);
            return true;
        });
    if (refused)
        return;
    ++activeCalls_;
    auto relay = std::make_shared<Relay>(loop_, RelayControllers { targets_, ledger_, quarantine_, metrics_ }, call);
    loop_.spawn(relay->run().then([this] { --activeCalls_; }));
}

auto EntryRole::status() const -> Json
{
    return { { "entry", settings_.common.name }, { "availability_zone", settings_.common.zone.str() },
        { "version", EELGRASS_VERSION }, { "config_version", config_.current()->version().value() },
        { "adapters", config_.current()->adapterCount() }, { "ready", ready() }, { "under_way", activeCalls_ } };
}

auto EntryRole::stop() -> void
{
    if (stopping_)
        return;
    stopping_ = true;
    log::info("leaving");
    server_.announceClose();
    const auto closeAt = now() + std::chrono::milliseconds(settings_.balancerDelayMs);
    stopTimer_ = loop_.timers().every(stopPollPeriod, [this, closeAt] {
        if (now() >= closeAt)
            endIfDrained();
    });
}

auto EntryRole::endIfDrained() -> void
{
    // Counted from the first look: the process may have been suspended past the end of the delay.
    if (!drainUntil_)
        drainUntil_ = now() + drainLimit;
    const auto listening = !server_.stopListening();
    if (!listening)
        server_.closeIdle();
    const auto requests = server_.requests();
    const auto drained = !listening && requests.none();
    if (activeCalls_ > 0 || (!drained && now() < *drainUntil_))
        return;
    stopTimer_ = {};
    log::info("stopped", { { "requests", requests.text() } });
    loop_.quitWhenFlushed();
}

} // namespace eelgrass::router
