#include "standins/EngineStandin.h"

#include "base/Log.h"
#include "base/Secrets.h"

#include <algorithm>
#include <cstdlib>

namespace eelgrass::standins {

namespace {

constexpr auto bodyLimit = std::size_t(8) << 20U;
constexpr auto crashWord = "crash-the-engine";
constexpr auto finishedKept = std::size_t(1000);
constexpr auto startedKept = std::size_t(200000);
constexpr auto eventsKept = std::size_t(10000);
constexpr auto loadsKept = std::size_t(1000);

auto timeNow() -> std::string { return std::to_string(now().time_since_epoch().count()); }

} // namespace

auto expectedToken(const std::string& model, const std::string& prompt, std::size_t index) -> std::string
{
    constexpr auto digits = 6;
    return " " + sha256Hex(model + "|" + prompt).substr(0, digits) + "." + std::to_string(index);
}

EngineStandin::EngineStandin(wire::MainLoop& loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , client_(4, 0)
    , incarnation_(randomHex(8))
    , server_(options_.address, options_.port, bodyLimit, [this](auto& exchange) { handle(exchange); })
{
    stepTimer_ = loop_.timers().every(options_.step, [this] { step(); });
}

EngineStandin::~EngineStandin() = default;

auto EngineStandin::handle(const wire::HttpExchangePtr& exchange) -> void
{
    const auto path = exchange->path();
    if (path == "/v1/completions")
        return complete(exchange);
    if (path == "/v1/load_lora_adapter")
        return loadAdapter(exchange);
    if (path == "/v1/unload_lora_adapter")
        return unloadAdapter(exchange);
    if (path == "/v1/models")
        return models(exchange);
    if (path.starts_with("/v1/streams"))
        return streams(exchange);
    if (path == "/v1/cache_events")
        return cacheEvents(exchange);
    if (path == "/v1/load")
        return loadReport(exchange);
    if (path.starts_with("/standin/"))
        return control(exchange);
    answer(exchange, 404, { { "error", { { "type", "not_found" } } } });
}

auto EngineStandin::fenced(const wire::HttpExchangePtr& exchange, const Json& body) -> bool
{
    if (!options_.honoursFence)
        return false;
    const auto number = body.value("fence", std::uint64_t(0));
    if (number < fence_) {
        answer(exchange, 409, { { "error", { { "type", "stale_fence" }, { "current", fence_ } } } });
        return true;
    }
    fence_ = number;
    return false;
}

auto EngineStandin::complete(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    if (fenced(exchange, body))
        return;
    const auto model = body.value("model", "");
    if (!adapters_.contains(model))
        return answer(exchange, 404, { { "error", { { "type", "adapter_not_loaded" }, { "message", model } } } });
    auto sequence = std::make_shared<Sequence>();
    sequence->id = body.value("request_id", randomHex(8));
    if (known_.contains(sequence->id))
        return answer(exchange, 409, { { "error", { { "type", "duplicate_request_id" } } } });
    sequence->model = model;
    sequence->prompt = body.value("prompt", "");
    sequence->limit = body.value("max_tokens", std::size_t(16));
    sequence->produced = body.value("skip_tokens", std::size_t(0));
    sequence->priority = body.value("priority", 0);
    known_[sequence->id] = sequence;
    log::info("run",
        { { "attempt", sequence->id }, { "model", model }, { "prompt", sequence->prompt }, { "at", timeNow() } });
    if (started_.size() < startedKept)
        started_.push_back({ { "id", sequence->id }, { "model", model } });
    sequence->misnamed = spend(faults_.wrongName);
    waiting_.push_back(sequence);
    if (spend(faults_.loseAnswers))
        return exchange->abort();
    if (!spend(faults_.hang))
        attach(sequence, exchange, sequence->produced);
}

auto EngineStandin::attach(const SequencePtr& sequence, const wire::HttpExchangePtr& exchange, std::size_t from) -> void
{
    // A stream has one reader: who resumes it takes it over.
    if (sequence->exchange)
        sequence->exchange->abort();
    sequence->exchange = exchange;
    exchange->setHeader("X-Request-Id", sequence->id);
    exchange->begin(200, "text/event-stream");
    for (auto index = from; index < sequence->produced; ++index)
        exchange->send(event(*sequence, index));
    if (sequence->produced >= sequence->limit) {
        exchange->send("data: [DONE]\n\n");
        exchange->finish();
    }
}

auto EngineStandin::event(const Sequence& sequence, std::size_t index) const -> std::string
{
    auto choice = Json { { "index", 0 }, { "text", expectedToken(sequence.model, sequence.prompt, index) } };
    if (index + 1 == sequence.limit)
        choice["finish_reason"] = "length";
    const auto model = sequence.misnamed ? "misnamed@1#00" : sequence.model;
    auto body = Json { { "id", sequence.id }, { "model", model }, { "token", index }, { "choices", { choice } },
        { "system_fingerprint", options_.software } };
    return "data: " + body.dump() + "\n\n";
}

auto EngineStandin::step() -> void
{
    while (!waiting_.empty() && running_.size() < options_.batch) {
        running_.push_back(waiting_.front());
        waiting_.pop_front();
    }
    noteLoad();
    if (running_.empty())
        return;
    ++steps_;
    filled_ += running_.size();
    for (const auto& sequence : running_)
        advance(*sequence);
    auto over = [](auto& sequence) { return sequence->cancelled || sequence->produced >= sequence->limit; };
    for (const auto& sequence : running_) {
        if (over(sequence))
            retire(sequence);
    }
    std::erase_if(running_, over);
}

auto EngineStandin::advance(Sequence& sequence) -> void
{
    const auto& model = options_.crashModel;
    if (sequence.prompt.find(crashWord) != std::string::npos || (!model.empty() && sequence.model.starts_with(model)))
        std::_Exit(EXIT_FAILURE);
    if (sequence.cancelled || sequence.produced >= sequence.limit)
        return;
    if (sequence.exchange)
        sequence.exchange->send(event(sequence, sequence.produced));
    ++sequence.produced;
}

auto EngineStandin::retire(const SequencePtr& sequence) -> void
{
    publish(*sequence);
    if (!sequence->cancelled && sequence->exchange) {
        sequence->exchange->send("data: [DONE]\n\n");
        sequence->exchange->finish();
    }
    finished_.push_back(sequence->id);
    if (finished_.size() <= finishedKept)
        return;
    known_.erase(finished_.front());
    finished_.pop_front();
}

auto EngineStandin::loadAdapter(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    if (fenced(exchange, body))
        return;
    const auto model = body.value("lora_name", "");
    if (adapters_.contains(model))
        return answer(exchange, 200, { { "lora_name", model } });
    if (spend(faults_.failLoads))
        return answer(exchange, 500, { { "error", { { "type", "load_failed" } } } });
    if (adapters_.size() + loading_.size() >= options_.slots)
        return answer(exchange, 409, { { "error", { { "type", "no_free_slot" } } } });
    loading_.insert(model);
    auto request = wire::HttpRequest { .method = "POST", .url = options_.platform + "/weights/loads" };
    request.body = Json { { "model", model } }.dump();
    loop_.spawn(client_.fetch(std::move(request))
                    .then([this, exchange, model](auto&& got) { loaded(exchange, model, got); },
                        [this, exchange, model](kj::Exception&&) { loaded(exchange, model, {}); }));
}

auto EngineStandin::loaded(
    const wire::HttpExchangePtr& exchange, const std::string& model, const wire::HttpResponse& got) -> void
{
    loading_.erase(model);
    if (got.status != 200)
        return answer(exchange, 502, { { "error", { { "type", "weight_store_failed" } } } });
    adapters_.insert(model);
    ordered(exchange, 200, { { "lora_name", model } });
}

auto EngineStandin::unloadAdapter(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    if (fenced(exchange, body))
        return;
    const auto model = body.value("lora_name", "");
    auto uses = [&](auto& sequence) { return sequence->model == model; };
    if (std::any_of(running_.begin(), running_.end(), uses) || std::any_of(waiting_.begin(), waiting_.end(), uses)) {
        log::warn("unload of an adapter in use", { { "model", model }, { "at", timeNow() } });
        return answer(exchange, 409, { { "error", { { "type", "adapter_in_use" } } } });
    }
    adapters_.erase(model);
    ordered(exchange, 200, { { "lora_name", model } });
}

auto EngineStandin::streams(const wire::HttpExchangePtr& exchange) -> void
{
    const auto id = exchange->query("id");
    const auto found = known_.find(id);
    if (found == known_.end())
        return answer(exchange, 404, { { "error", { { "type", "unknown_stream" } } } });
    const auto& sequence = found->second;
    if (exchange->method() == "DELETE") {
        sequence->cancelled = true;
        std::erase(waiting_, sequence);
        return answer(exchange, 200, Json::object());
    }
    if (sequence->cancelled)
        return answer(exchange, 404, { { "error", { { "type", "cancelled_stream" } } } });
    const auto from = exchange->query("from");
    attach(sequence, exchange, from.empty() ? 0 : std::stoul(from));
}

auto EngineStandin::models(const wire::HttpExchangePtr& exchange) -> void
{
    auto list = Json::array();
    for (const auto& model : adapters_)
        list.push_back({ { "id", model } });
    auto active = Json::array();
    for (const auto& sequence : running_)
        active.push_back({ { "id", sequence->id }, { "model", sequence->model } });
    for (const auto& sequence : waiting_)
        active.push_back({ { "id", sequence->id }, { "model", sequence->model } });
    answer(exchange, 200,
        { { "data", list }, { "incarnation", incarnation_ }, { "system_fingerprint", options_.software },
            { "streams", active }, { "loading", loading_.size() } });
}

auto EngineStandin::control(const wire::HttpExchangePtr& exchange) -> void
{
    const auto body = bodyOf(exchange);
    playFaults(body);
    if (body.contains("step_ms")) {
        options_.step = std::chrono::milliseconds(body["step_ms"].get<int>());
        stepTimer_ = loop_.timers().every(options_.step, [this] { step(); });
    }
    if (body.value("forget", false)) {
        adapters_.clear();
        incarnation_ = randomHex(8);
    }
    if (exchange->path() == "/standin/faults")
        return answer(exchange, 200, Json::object());
    answer(exchange, 200,
        { { "started", started_ }, { "steps", steps_ }, { "filled", filled_ }, { "batch", options_.batch } });
}

auto EngineStandin::playFaults(const Json& body) -> void
{
    faults_.failLoads = body.value("fail_loads", faults_.failLoads);
    faults_.loseAnswers = body.value("lose_answers", faults_.loseAnswers);
    faults_.hang = body.value("hang", faults_.hang);
    faults_.wrongName = body.value("wrong_name", faults_.wrongName);
    faults_.dropEvery = body.value("drop_every", faults_.dropEvery);
    if (body.contains("report_lag_ms"))
        faults_.reportLag = std::chrono::milliseconds(body["report_lag_ms"].get<int>());
    options_.honoursFence = body.value("honours_fence", options_.honoursFence);
}

auto EngineStandin::spend(int& count) -> bool
{
    if (count <= 0)
        return false;
    --count;
    return true;
}

auto EngineStandin::ordered(const wire::HttpExchangePtr& exchange, int status, const Json& body) -> void
{
    if (spend(faults_.loseAnswers))
        return exchange->abort();
    answer(exchange, status, body);
}

auto EngineStandin::publish(const Sequence& sequence) -> void
{
    ++eventCount_;
    // The number is used up, so that a reader can see the gap.
    if (faults_.dropEvery > 0 && eventCount_ % static_cast<std::uint64_t>(faults_.dropEvery) == 0)
        return;
    events_.push_back({ now(), eventCount_, sequence.model, sequence.prompt });
    if (events_.size() > eventsKept)
        events_.pop_front();
}

auto EngineStandin::cacheEvents(const wire::HttpExchangePtr& exchange) -> void
{
    const auto after = std::strtoull(exchange->query("after").c_str(), nullptr, 10);
    const auto until = now() - faults_.reportLag;
    auto list = Json::array();
    for (const auto& event : events_) {
        if (event.number > after && event.at <= until)
            list.push_back({ { "number", event.number }, { "kind", "stored" }, { "model", event.model },
                { "prefix", sha256Hex(event.prompt) } });
    }
    answer(exchange, 200, { { "incarnation", incarnation_ }, { "events", list } });
}

auto EngineStandin::noteLoad() -> void
{
    loads_.push_back({ now(), running_.size(), waiting_.size() });
    if (loads_.size() > loadsKept)
        loads_.pop_front();
}

auto EngineStandin::loadReport(const wire::HttpExchangePtr& exchange) -> void
{
    const auto until = now() - faults_.reportLag;
    auto shown = LoadReport();
    for (const auto& report : loads_) {
        if (report.at <= until)
            shown = report;
    }
    answer(exchange, 200, { { "running", shown.running }, { "waiting", shown.waiting } });
}

} // namespace eelgrass::standins
