#include "router/EntryRole.h"

#include "base/Log.h"
#include "base/Secrets.h"
#include "router/entry/Relay.h"

#include <charconv>

namespace eelgrass::router {

namespace {

constexpr auto requestIdBytes = std::size_t(12);
constexpr auto stopPoll = Duration(50ms);
constexpr auto kib = std::size_t(1024);
constexpr auto bearer = std::string_view("Bearer ");

auto newRequestId() -> RequestId { return RequestId(randomHex(requestIdBytes)); }

auto baseVersion(const std::string& ifMatch) -> std::optional<ConfigVersion>
{
    auto text = std::string_view(ifMatch);
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    auto number = std::uint64_t(0);
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (text.empty() || error != std::errc() || rest != end)
        return std::nullopt;
    return ConfigVersion(number);
}

auto viewJson(const decisions::TargetView& view) -> Json
{
    auto resident = Json::array();
    for (const auto& model : view.resident)
        resident.push_back(model.str());
    return { { "target", view.id.str() }, { "availability_zone", view.zone.str() }, { "serves", view.serves },
        { "leaving", view.leaving }, { "reachable", view.reachable }, { "queued", view.queued },
        { "running", view.running }, { "resident", resident } };
}

} // namespace

EntryRole::EntryRole(wire::MainLoop& loop, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , metrics_(settings_.metricMembers)
    , platform_(settings_.common.platform.address, settings_.common.platform.port)
    , config_(loop, platform_)
    , targets_(loop, platform_, settings_.common.secret, settings_.common.name)
    , ledger_(loop, platform_)
    , quarantine_(loop, platform_)
    , chain_(Authenticate(), Parse(), Resolve(), Authorize())
    , server_(settings_.listen.address, settings_.listen.port, settings_.bodyLimitKiB * kib,
          [this](auto& exchange) { handle(exchange); })
{
}

auto EntryRole::start() -> void
{
    config_.start();
    targets_.onState([this](auto state) { quarantine_.learn(state); });
    targets_.start();
    ledger_.start();
    quarantine_.start();
    log::info("listening", { { "port", std::to_string(port()) } });
}

auto EntryRole::ready() const noexcept -> bool { return config_.ready() && targets_.ready() && !stopping_; }

auto EntryRole::handle(const wire::HttpExchangePtr& exchange) -> void
{
    const auto path = exchange->path();
    if (path == "/healthz")
        return exchange->respond(200, "text/plain", "ok\n");
    if (path == "/readyz")
        return exchange->respond(ready() ? 200 : 503, "text/plain", ready() ? "ready\n" : "not ready\n");
    if (path == "/metrics")
        return exchange->respond(200, "text/plain; version=0.0.4", metrics_.text());
    if (path.starts_with("/admin/"))
        return serveOperator(exchange);
    serveCaller(exchange);
}

auto EntryRole::serveCaller(const wire::HttpExchangePtr& exchange) -> void
{
    auto call = std::make_shared<Call>();
    call->exchange = exchange;
    call->request = newRequestId();
    call->receivedAt = now();
    call->configuration = config_.current();
    if (!config_.ready()) {
        writeError(exchange, call->request,
            Error(Step::Resolve, 503, "not_ready", "the configuration is not known yet").retryAfter(1s));
        return;
    }
    auto refused = orElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(chain_.apply(*call));
            return false;
        },
        [&](const Error& error) {
            metrics_.count("eelgrass_refusals_total", { { "type", error.type() } });
            writeError(exchange, call->request, error);
            return true;
        });
    if (refused)
        return;
    ++underWay_;
    auto relay = std::make_shared<Relay>(loop_, RelayControllers { targets_, ledger_, quarantine_, metrics_ }, call);
    loop_.spawn(relay->run().then([this] { --underWay_; }));
}

auto EntryRole::serveOperator(const wire::HttpExchangePtr& exchange) -> void
{
    const auto request = newRequestId();
    const auto header = exchange->header("Authorization");
    const auto found = header.starts_with(bearer)
        ? settings_.operatorsByKeyDigest.find(sha256Hex(header.substr(bearer.size())))
        : settings_.operatorsByKeyDigest.end();
    if (found == settings_.operatorsByKeyDigest.end())
        return writeError(exchange, request,
            Error(Step::Authenticate, 401, "invalid_key", "the operator's key is missing or unknown"));
    const auto path = exchange->path();
    const auto method = exchange->method();
    if (path == "/admin/v1/config" && method == "GET") {
        const auto& configuration = *config_.current();
        exchange->setHeader("ETag", '"' + std::to_string(configuration.version().value()) + '"');
        return exchange->respond(200, "application/json", configuration.text());
    }
    if (path == "/admin/v1/config" && method == "PATCH")
        return patchConfig(exchange, found->second);
    if (path == "/admin/v1/config/history" && method == "GET") {
        loop_.spawn(config_.history().then(
            [exchange](Json history) { exchange->respond(200, "application/json", history.dump()); },
            [exchange, request](kj::Exception&& lost) {
                writeError(exchange, request,
                    Error(Step::Platform, 503, "platform_away", lost.getDescription().cStr()).retryAfter(1s));
            }));
        return;
    }
    if (path == "/admin/v1/status" && method == "GET")
        return statusPage(exchange);
    writeError(exchange, request, Error(Step::Parse, 404, "unknown_path", "there is nothing at this path"));
}

auto EntryRole::patchConfig(const wire::HttpExchangePtr& exchange, const std::string& operatorName) -> void
{
    const auto request = newRequestId();
    const auto base = baseVersion(exchange->header("If-Match"));
    if (!base)
        return writeError(exchange, request,
            Error(Step::Parse, 428, "version_required", "If-Match must name the version that the patch is against"));
    auto patch = Json::parse(exchange->body(), nullptr, false);
    if (!patch.is_object())
        return writeError(
            exchange, request, Error(Step::Parse, 400, "invalid_request", "the patch must be a JSON object"));
    auto submitted = config_.submit({ *base, std::move(patch), operatorName, request.str() });
    loop_.spawn(submitted.then(
        [this, exchange, request](std::variant<ConfigVersion, Error> outcome) {
            const auto current = '"' + std::to_string(config_.current()->version().value()) + '"';
            exchange->setHeader("ETag", current);
            if (const auto* error = std::get_if<Error>(&outcome))
                return writeError(exchange, request, *error);
            const auto version = std::get<ConfigVersion>(outcome).value();
            exchange->respond(200, "application/json", Json { { "version", version } }.dump());
        },
        [exchange, request](kj::Exception&& lost) {
            writeError(exchange, request,
                Error(Step::Platform, 503, "platform_away", lost.getDescription().cStr())
                    .run(RunState::Unknown)
                    .retryAfter(1s));
        }));
}

auto EntryRole::statusPage(const wire::HttpExchangePtr& exchange) -> void
{
    auto targets = Json::array();
    for (const auto& view : targets_.views())
        targets.push_back(viewJson(view));
    auto body = Json { { "entry", settings_.common.name }, { "availability_zone", settings_.common.zone.str() },
        { "version", EELGRASS_VERSION }, { "config_version", config_.current()->version().value() },
        { "ready", ready() }, { "under_way", underWay_ }, { "targets", targets } };
    exchange->respond(200, "application/json", body.dump());
}

auto EntryRole::stop() -> void
{
    if (stopping_)
        return;
    stopping_ = true;
    log::info("leaving");
    const auto quietFrom = now() + std::chrono::milliseconds(settings_.balancerDelayMs);
    stopTimer_ = loop_.timers().every(stopPoll, [this, quietFrom] {
        if (now() < quietFrom)
            return;
        server_.close();
        if (underWay_ > 0)
            return;
        log::info("stopped");
        loop_.quit();
    });
}

} // namespace eelgrass::router
