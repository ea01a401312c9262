#include "router/entry/OperatorApi.h"

#include "base/JsonText.h"
#include "base/Secrets.h"
#include "router/entry/AnswerWriter.h"

#include <charconv>

namespace eelgrass::router {

namespace {

constexpr auto requestIdBytes = std::size_t(12);
constexpr auto bearer = std::string_view("Bearer ");
constexpr auto adminPrefix = std::string_view("/admin/v1/");
constexpr auto adapterPrefix = std::string_view("adapters/");
constexpr auto targetPrefix = std::string_view("targets/");
constexpr auto drainSuffix = std::string_view("/drain");
// A drain request names no configuration version, since it applies regardless of other changes. If another change was
// committed first, the drain is submitted again. With this many tries, concurrent changes by other operators do not
// prevent the drain.
constexpr auto maxDrainTries = 5;

/// The version in an `If-Match` header, with or without quotes.
auto parseIfMatch(const std::string& ifMatch) -> std::optional<ConfigVersion>
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

/// The name in a path `targets/NAME/drain`.
auto targetFromPath(const std::string& path) -> std::string
{
    return path.substr(targetPrefix.size(), path.size() - targetPrefix.size() - drainSuffix.size());
}

auto toMilliseconds(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto targetJson(const decisions::TargetView& view, bool drained) -> Json
{
    auto resident = Json::array();
    for (const auto& model : view.resident)
        resident.push_back(model.str());
    return { { "target", view.id.str() }, { "availability_zone", view.zone.str() }, { "serves", view.serves },
        { "leaving", view.leaving }, { "reachable", view.reachable }, { "drained", drained }, { "queued", view.queued },
        { "running", view.running }, { "resident", resident } };
}

auto explanationJson(const decisions::Explanation& candidate, bool drained) -> Json
{
    const auto reason = drained ? std::string_view("drained") : toString(candidate.reason);
    return { { "target", candidate.target.str() }, { "reason", reason },
        { "expected_start_ms", toMilliseconds(candidate.expectedStart) },
        { "load_cost_ms", toMilliseconds(candidate.loadCost) }, { "slowness", candidate.slowness } };
}

} // namespace

OperatorApi::OperatorApi(wire::MainLoop& loop, const EntrySettings& settings, ConfigController& config,
    TargetsController& targets, std::function<Json()> status)
    : loop_(loop)
    , settings_(settings)
    , config_(config)
    , targets_(targets)
    , status_(std::move(status))
{
}

auto OperatorApi::findOperator(const wire::HttpExchangePtr& exchange) const -> const std::string*
{
    const auto header = exchange->header("Authorization");
    if (!header.starts_with(bearer))
        return nullptr;
    // Keys are looked up by digest, so that the duration of the lookup reveals nothing about a key.
    const auto found = settings_.operatorsByKeyDigest.find(sha256Hex(header.substr(bearer.size())));
    return found == settings_.operatorsByKeyDigest.end() ? nullptr : &found->second;
}

auto OperatorApi::serve(const wire::HttpExchangePtr& exchange) -> void
{
    const auto id = RequestId(randomHex(requestIdBytes));
    const auto* name = findOperator(exchange);
    if (!name)
        return writeError(
            exchange, id, Error(Step::Authenticate, 401, "invalid_key", "the operator's key is missing or unknown"));
    auto path = exchange->path();
    path.erase(0, path.starts_with(adminPrefix) ? adminPrefix.size() : 0);
    exchange->setHeader("X-Request-Id", id.str());
    if (!route({ exchange, id, *name, path }))
        writeError(exchange, id, Error(Step::Parse, 404, "unknown_path", "there is nothing at this path"));
}

auto OperatorApi::route(const Request& request) -> bool
{
    const auto method = request.exchange->method();
    const auto& path = request.path;
    const auto isGet = method == "GET";
    const auto isDrain = path.starts_with(targetPrefix) && path.ends_with(drainSuffix);
    if (path == "config" && isGet)
        sendConfig(request);
    else if (path == "config" && method == "PATCH")
        submitPatch(request);
    else if (path == "config/history" && isGet)
        sendHistory(request);
    else if (path == "status" && isGet)
        sendStatus(request);
    else if (path == "explain" && isGet)
        sendExplanation(request);
    else if (path.starts_with(adapterPrefix) && isGet)
        sendAdapter(request, path.substr(adapterPrefix.size()));
    else if (isDrain && (method == "POST" || method == "DELETE"))
        setDrained(request, targetFromPath(path), method == "POST");
    else
        return false;
    return true;
}

auto OperatorApi::setETag(const Request& request) -> void
{
    request.exchange->setHeader("ETag", '"' + std::to_string(config_.current()->version().value()) + '"');
}

auto OperatorApi::sendConfig(const Request& request) -> void
{
    setETag(request);
    request.exchange->respond(200, "application/json", config_.current()->text());
}

auto OperatorApi::sendAdapter(const Request& request, const std::string& name) -> void
{
    setETag(request);
    const auto* text = config_.current()->adapterText(name);
    if (!text)
        return writeError(request.exchange, request.id,
            Error(Step::Configure, 404, "unknown_adapter", "there is no adapter '" + name + "'"));
    request.exchange->respond(200, "application/json", *text);
}

auto OperatorApi::spawn(const Request& request, kj::Promise<void> work) -> void
{
    loop_.spawn(work.catch_([request](kj::Exception&& failure) {
        writeError(request.exchange, request.id,
            Error(Step::Platform, 503, "platform_away", failure.getDescription().cStr())
                .run(RunState::Unknown)
                .retryAfter(1s));
    }));
}

auto OperatorApi::sendHistory(const Request& request) -> void
{
    spawn(request, config_.history().then([request](Json history) {
        request.exchange->respond(200, "application/json", history.dump());
    }));
}

auto OperatorApi::sendPatchResult(const Request& request, const std::variant<ConfigVersion, Error>& outcome) -> void
{
    setETag(request);
    if (const auto* error = std::get_if<Error>(&outcome))
        return writeError(request.exchange, request.id, *error);
    const auto version = std::get<ConfigVersion>(outcome).value();
    request.exchange->respond(200, "application/json", Json { { "version", version } }.dump());
}

auto OperatorApi::submitPatch(const Request& request) -> void
{
    const auto base = parseIfMatch(request.exchange->header("If-Match"));
    if (!base)
        return writeError(request.exchange, request.id,
            Error(Step::Parse, 428, "version_required", "If-Match must name the version that the patch is against"));
    auto body = parseJson(request.exchange->body());
    if (!body.is_object())
        return writeError(request.exchange, request.id,
            Error(Step::Parse, 400, "invalid_request", "the patch must be a JSON object"));
    spawn(request,
        config_.submit({ *base, std::move(body), request.operatorName, request.id.str() })
            .then([this, request](std::variant<ConfigVersion, Error> outcome) { sendPatchResult(request, outcome); }));
}

auto OperatorApi::sendStatus(const Request& request) -> void
{
    const auto& drained = config_.current()->drained();
    auto targets = Json::array();
    for (const auto& view : targets_.views())
        targets.push_back(targetJson(view, drained.contains(view.id)));
    auto body = status_();
    body["targets"] = std::move(targets);
    request.exchange->respond(200, "application/json", body.dump());
}

auto OperatorApi::sendExplanation(const Request& request) -> void
{
    const auto model = request.exchange->query("model");
    const auto& configuration = *config_.current();
    auto member = MemberId(request.exchange->query("member"));
    if (member.empty())
        member = configuration.anyAllowedMember(model);
    const auto& drained = configuration.drained();
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(resolved, configuration.resolve(model, member));
            const auto placement = decisions::PlacementRequest {
                .model = resolved.name, .serves = resolved.base, .zone = settings_.common.zone
            };
            auto chosen = Json();
            auto candidates = Json::array();
            for (const auto& candidate : targets_.explain(placement)) {
                const auto isDrained = drained.contains(candidate.target);
                candidates.push_back(explanationJson(candidate, isDrained));
                if (chosen.is_null() && !isDrained && candidate.usable())
                    chosen = candidate.target.str();
            }
            const auto body = Json { { "model", resolved.name.str() }, { "member", member.str() }, { "target", chosen },
                { "entry", settings_.common.name }, { "candidates", candidates } };
            request.exchange->respond(200, "application/json", body.dump());
            return {};
        },
        [&](const Error& error) { writeError(request.exchange, request.id, error); });
}

auto OperatorApi::setDrained(const Request& request, const std::string& target, bool drained) -> void
{
    const auto known = std::any_of(
        targets_.views().begin(), targets_.views().end(), [&](const auto& view) { return view.id.str() == target; });
    if (drained && !known)
        return writeError(request.exchange, request.id,
            Error(Step::Configure, 404, "unknown_target", "there is no target '" + target + "'"));
    spawn(request, submitDrain(request, target, drained, maxDrainTries));
}

auto OperatorApi::submitDrain(Request request, std::string target, bool drained, int tries) -> kj::Promise<void>
{
    auto record = drained ? Json { { "by", request.operatorName } } : Json();
    auto patch = Json { { "drained", { { target, std::move(record) } } } };
    auto submitted
        = config_.submit({ config_.current()->version(), std::move(patch), request.operatorName, request.id.str() });
    return submitted.then([this, request = std::move(request), target = std::move(target), drained, tries](
                              std::variant<ConfigVersion, Error> outcome) -> kj::Promise<void> {
        const auto* error = std::get_if<Error>(&outcome);
        if (error && error->status() == 412 && tries > 1)
            return submitDrain(request, target, drained, tries - 1);
        sendPatchResult(request, outcome);
        return kj::READY_NOW;
    });
}

} // namespace eelgrass::router
