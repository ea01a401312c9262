#include "router/filters/RequestFilters.h"

#include "base/JsonText.h"
#include "base/Secrets.h"

#include <charconv>

namespace eelgrass::router {

namespace {

constexpr auto bearer = std::string_view("Bearer ");
constexpr auto servicePrefix = std::string_view("/services/");
// No client library sends JSON that is nested this deep. A body with deeper nesting could overflow the stack of a
// recursive parser.
constexpr auto maxNestingDepth = 32;
constexpr auto maxTokensBound = 131072;
constexpr auto maxDeadline = std::chrono::milliseconds(3600000);
constexpr auto maxIdempotencyKeyLength = std::size_t(255);

auto invalid(std::string message) -> boost::leaf::error_id
{
    return fail(Error(Step::Parse, 400, "invalid_request", std::move(message)));
}

auto parseDeadline(Call& call) -> Result<void>
{
    const auto text = call.exchange->header("X-Eelgrass-Deadline-Ms");
    if (text.empty())
        return {};
    auto value = std::int64_t(0);
    const auto* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || rest != end || value < 1 || value > maxDeadline.count())
        return invalid("X-Eelgrass-Deadline-Ms must be a whole number from 1 to 3600000");
    call.deadline = std::chrono::milliseconds(value);
    return {};
}

auto checkMessages(const Json& body) -> Result<void>
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("messages must be a list that is not empty");
    for (const auto& message : *messages) {
        const auto valid = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
        if (!valid)
            return invalid("each message must have a role and a content, both strings");
    }
    return {};
}

auto parseCompletion(Call& call) -> Result<void>
{
    if (call.exchange->method() != "POST")
        return fail(Error(Step::Parse, 405, "method_not_allowed", "use POST"));
    if (!isNestingWithin(call.exchange->body(), maxNestingDepth))
        return invalid("the body is nested too deeply");
    call.body = parseJson(call.exchange->body());
    if (!call.body.is_object())
        return invalid("the body must be a JSON object");
    const auto& body = call.body;
    if (!body.contains("model") || !body["model"].is_string())
        return invalid("model must be a string");
    if (call.kind == AttemptRequest::Kind::Chat)
        BOOST_LEAF_CHECK(checkMessages(body));
    else if (!body.contains("prompt") || !body["prompt"].is_string())
        return invalid("prompt must be a string");
    if (body.contains("max_tokens")) {
        const auto& limit = body["max_tokens"];
        if (!limit.is_number_unsigned() || limit.get<std::uint64_t>() < 1
            || limit.get<std::uint64_t>() > maxTokensBound)
            return invalid("max_tokens must be a whole number from 1 to 131072");
    }
    if (body.contains("stream") && !body["stream"].is_boolean())
        return invalid("stream must be true or false");
    call.stream = body.value("stream", false);
    return {};
}

auto parseService(Call& call, const std::string& path) -> Result<void>
{
    const auto rest = path.substr(servicePrefix.size());
    const auto slash = rest.find('/');
    call.kind = AttemptRequest::Kind::Service;
    call.service = rest.substr(0, slash);
    call.servicePath = slash == std::string::npos ? "/" : rest.substr(slash);
    const auto query = call.exchange->queryString();
    if (!query.empty())
        call.servicePath += "?" + query;
    return {};
}

/// Whether the service's configuration forbids repeating requests to this route.
auto matchesNeverRepeat(const ServiceRecord& service, const Call& call) -> bool
{
    const auto requested = call.exchange->method() + " " + call.servicePath;
    for (const auto& route : service.neverRepeat) {
        if (requested.starts_with(route))
            return true;
    }
    return false;
}

} // namespace

auto Authenticate::apply(Call& call) const -> Result<void>
{
    const auto header = call.exchange->header("Authorization");
    // Keys are looked up by digest, so that the duration of the lookup reveals nothing about a key.
    const auto* caller = header.starts_with(bearer)
        ? call.configuration->callerByKeyDigest(sha256Hex(header.substr(bearer.size())))
        : nullptr;
    if (!caller)
        return fail(Error(Step::Authenticate, 401, "invalid_key", "the bearer key is missing or unknown"));
    call.caller = *caller;
    return {};
}

auto Parse::apply(Call& call) const -> Result<void>
{
    BOOST_LEAF_CHECK(parseDeadline(call));
    call.idempotencyKey = call.exchange->header("Idempotency-Key");
    if (call.idempotencyKey.size() > maxIdempotencyKeyLength)
        return invalid("Idempotency-Key must have at most 255 characters");
    const auto repeat = call.exchange->header("X-Eelgrass-Repeat");
    if (!repeat.empty() && repeat != "never")
        return invalid("X-Eelgrass-Repeat must be never");
    call.neverRepeat = repeat == "never";
    const auto path = call.exchange->path();
    if (path.starts_with(servicePrefix))
        return parseService(call, path);
    if (path == "/v1/chat/completions")
        call.kind = AttemptRequest::Kind::Chat;
    else if (path != "/v1/completions")
        return fail(Error(Step::Parse, 404, "unknown_path", "there is nothing at this path"));
    return parseCompletion(call);
}

auto Resolve::apply(Call& call) const -> Result<void>
{
    if (call.kind == AttemptRequest::Kind::Service)
        return {};
    BOOST_LEAF_AUTO(
        model, call.configuration->resolve(call.body["model"].get_ref<const std::string&>(), call.caller.member));
    call.model = std::move(model);
    call.requestClass = call.model.requestClass;
    return {};
}

auto Authorize::apply(Call& call) const -> Result<void>
{
    if (call.kind == AttemptRequest::Kind::Service) {
        const auto* service = call.configuration->service(call.service);
        if (!service || !service->allowed.contains(call.caller.member))
            return fail(Error(
                Step::Authorize, 404, "unknown_service", "there is no service '" + call.service + "' for this caller"));
        call.requestClass = service->requestClass;
        call.neverRepeat = call.neverRepeat || matchesNeverRepeat(*service, call);
    }
    if (!call.caller.requestClass.empty())
        call.requestClass = call.caller.requestClass;
    if (call.requestClass.empty())
        call.requestClass = RequestClass("interactive");
    if (call.deadline.count() == 0)
        call.deadline = call.configuration->requestClass(call.requestClass).deadline;
    return {};
}

} // namespace eelgrass::router
