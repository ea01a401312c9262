#include "targets/EngineClient.h"

#include "base/JsonText.h"

#include <kj/debug.h>

namespace eelgrass::targets {

namespace {

using Json = nlohmann::json;

constexpr auto streamConnections = 512U;
// A stream silent for longer than any step or prefill is taken for lost, and resumed on a new connection.
constexpr auto streamSilenceSeconds = 10U;
constexpr auto orderConnections = 8U;
// A load waits its turn at the weight store, so that it may be silent for long.
constexpr auto orderSilenceSeconds = 120U;
constexpr auto refusalLimit = std::size_t(65536);
constexpr auto eventPrefix = std::string_view("data: ");
// Names the version of the engine's software, in its list of models and in each event.
constexpr auto softwareField = "system_fingerprint";
constexpr auto eventEnd = std::string_view("\n\n");

auto errorType(const Json& body) -> std::string
{
    const auto error = body.find("error");
    if (error == body.end() || !error->is_object())
        return "unclassified";
    return error->value("type", "unclassified");
}

} // namespace

CompletionStream::CompletionStream(kj::Own<wire::HttpStream> stream, AttemptId attempt, ModelName model)
    : stream_(kj::mv(stream))
    , attempt_(std::move(attempt))
    , model_(std::move(model))
{
}

auto CompletionStream::next() -> kj::Promise<CompletionPiece>
{
    return stream_->read().then([this](std::string bytes) {
        auto piece = CompletionPiece { .closed = bytes.empty() };
        partial_ += bytes;
        auto start = std::size_t(0);
        for (auto end = partial_.find(eventEnd); end != std::string::npos; end = partial_.find(eventEnd, start)) {
            take(std::string_view(partial_).substr(start, end - start), piece);
            start = end + eventEnd.size();
        }
        partial_.erase(0, start);
        return piece;
    });
}

auto CompletionStream::take(std::string_view event, CompletionPiece& piece) -> void
{
    if (!event.starts_with(eventPrefix))
        return;
    const auto data = event.substr(eventPrefix.size());
    if (data == "[DONE]") {
        piece.done = true;
        return;
    }
    const auto body = parseJson(data);
    KJ_REQUIRE(body.is_object(), "the engine's event is not JSON");
    // A late answer of another attempt, or from other weights, must not reach this caller.
    KJ_REQUIRE(body.value("id", "") == attempt_.str(), "the engine answers another attempt");
    KJ_REQUIRE(body.value("model", "") == model_.str(), "the engine answers with another model");
    piece.software = SoftwareVersion(body.value(softwareField, ""));
    const auto& choice = body.at("choices").at(0);
    piece.text += choice.value("text", "");
    ++piece.tokens;
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
        piece.finishReason = choice["finish_reason"].get<std::string>();
}

auto CompletionStream::refusal() -> kj::Promise<std::string>
{
    return stream_->readAll(refusalLimit).then([](std::string body) { return errorType(parseJson(body)); });
}

EngineClient::EngineClient(const std::string& address, std::uint16_t port)
    : base_("http://" + address + ":" + std::to_string(port))
    , http_(streamConnections, streamSilenceSeconds)
    , orders_(orderConnections, orderSilenceSeconds)
{
}

auto EngineClient::state() -> kj::Promise<EngineState>
{
    return http_.fetch({ .url = base_ + "/v1/models" }).then([](wire::HttpResponse response) {
        const auto body = parseJson(response.body);
        KJ_REQUIRE(response.status == 200 && body.is_object(), "the engine gave no list of models");
        auto state = EngineState { .incarnation = body.value("incarnation", ""),
            .software = SoftwareVersion(body.value(softwareField, "")) };
        for (const auto& model : body.at("data"))
            state.models.emplace_back(model.at("id").get<std::string>());
        for (const auto& stream : body.value("streams", Json::array()))
            state.streams.push_back({ AttemptId(stream.value("id", "")), ModelName(stream.value("model", "")) });
        return state;
    });
}

auto EngineClient::order(const char* path, const ModelName& model, Epoch epoch) -> kj::Promise<OrderOutcome>
{
    auto body = Json { { "lora_name", model.str() }, { "fence", epoch.value() } };
    auto request = wire::HttpRequest { .method = "POST", .url = base_ + path, .body = body.dump() };
    return orders_.fetch(std::move(request)).then([](wire::HttpResponse response) {
        if (response.status == 200)
            return OrderOutcome { 200, "" };
        return OrderOutcome { response.status, errorType(parseJson(response.body)) };
    });
}

auto EngineClient::load(ModelName model, Epoch epoch) -> kj::Promise<OrderOutcome>
{
    return order("/v1/load_lora_adapter", model, epoch);
}

auto EngineClient::unload(ModelName model, Epoch epoch) -> kj::Promise<OrderOutcome>
{
    return order("/v1/unload_lora_adapter", model, epoch);
}

auto EngineClient::complete(CompletionOrder order, Epoch epoch) -> kj::Promise<kj::Own<CompletionStream>>
{
    auto body = std::move(order.sampling);
    body["model"] = order.model.str();
    body["prompt"] = order.prompt;
    body["max_tokens"] = order.maxTokens;
    body["stream"] = true;
    body["request_id"] = order.attempt.str();
    body["priority"] = order.priority;
    body["skip_tokens"] = order.skipTokens;
    if (!order.givenText.empty())
        body["generated_text"] = order.givenText;
    body["cache_salt"] = order.cacheSalt;
    body["fence"] = epoch.value();
    auto request = wire::HttpRequest {
        .method = "POST",
        .url = base_ + "/v1/completions",
        .body = body.dump(-1, ' ', false, Json::error_handler_t::replace),
        .once = true,
    };
    return http_.open(std::move(request))
        .then([attempt = order.attempt, model = order.model](kj::Own<wire::HttpStream> stream) {
            return kj::heap<CompletionStream>(kj::mv(stream), attempt, model);
        });
}

auto EngineClient::resume(AttemptId attempt, ModelName model, std::uint32_t from)
    -> kj::Promise<kj::Own<CompletionStream>>
{
    auto url = base_ + "/v1/streams?id=" + attempt.str() + "&from=" + std::to_string(from);
    return http_.open({ .url = std::move(url) }).then([attempt, model](kj::Own<wire::HttpStream> stream) {
        return kj::heap<CompletionStream>(kj::mv(stream), attempt, model);
    });
}

auto EngineClient::cancel(AttemptId attempt) -> kj::Promise<void>
{
    return http_.fetch({ .method = "DELETE", .url = base_ + "/v1/streams?id=" + attempt.str() }).ignoreResult();
}

} // namespace eelgrass::targets
