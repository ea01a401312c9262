#include "router/entry/AnswerWriter.h"

namespace eelgrass::router {

namespace {

constexpr auto commentPeriod = Duration(2s);
// Bytes that may wait for a caller that reads slowly, before the source is made to wait.
constexpr auto backlogLimit = std::size_t(64) << 10U;

auto seconds(std::chrono::milliseconds delay) -> std::string
{
    return std::to_string(std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(delay).count()));
}

} // namespace

auto errorJson(const RequestId& request, const Error& error) -> Json
{
    return { { "error",
        { { "type", error.type() }, { "message", error.message() }, { "step", toString(error.step()) },
            { "peer", error.peer() }, { "run", toString(error.run()) }, { "request_id", request.str() } } } };
}

auto writeError(const wire::HttpExchangePtr& exchange, const RequestId& request, const Error& error) -> void
{
    exchange->setHeader("X-Request-Id", request.str());
    if (error.retryAfter())
        exchange->setHeader("Retry-After", seconds(*error.retryAfter()));
    exchange->respond(error.status(), "application/json",
        errorJson(request, error).dump(-1, ' ', false, Json::error_handler_t::replace));
}

AnswerWriter::AnswerWriter(wire::MainLoop& loop, CallPtr call)
    : loop_(loop)
    , call_(std::move(call))
{
    call_->exchange->setHeader("X-Request-Id", call_->requestId.str());
    call_->exchange->onDrained([this] { drained(); });
    if (call_->stream)
        commentTimer_ = loop_.timers().every(commentPeriod, [this] { comment(); });
    nameModel();
}

auto AnswerWriter::nameModel() -> void
{
    if (call_->kind == AttemptRequest::Kind::Service)
        return;
    call_->exchange->setHeader("X-Eelgrass-Adapter", call_->model.adapter.str());
    call_->exchange->setHeader("X-Eelgrass-Version", std::to_string(call_->model.version.value()));
    const auto chat = call_->kind == AttemptRequest::Kind::Chat;
    auto head
        = Json { { "id", call_->requestId.str() }, { "object", chat ? "chat.completion.chunk" : "text_completion" },
              { "model", call_->model.adapter.str() + "@" + std::to_string(call_->model.version.value()) } };
    prefix_ = head.dump();
    prefix_.pop_back();
}

// The exchange outlives the writer until its last bytes are sent.
AnswerWriter::~AnswerWriter() { call_->exchange->onDrained({}); }

auto AnswerWriter::drained() -> void
{
    if (call_->exchange->backlog() >= backlogLimit)
        return;
    auto waiting = kj::mv(waiting_);
    for (auto& fulfiller : waiting)
        fulfiller->fulfill();
}

auto AnswerWriter::begin() -> void
{
    if (begun_)
        return;
    begun_ = true;
    const auto service = call_->kind == AttemptRequest::Kind::Service;
    call_->exchange->begin(status_, service ? contentType_ : "text/event-stream");
}

auto AnswerWriter::comment() -> void
{
    if (std::exchange(spoke_, false))
        return;
    begin();
    call_->exchange->send(": " + note_ + "\n\n");
}

auto AnswerWriter::head(int status, std::string contentType) -> void
{
    status_ = status;
    if (!contentType.empty())
        contentType_ = std::move(contentType);
}

auto AnswerWriter::event(std::string_view text, const std::string& finishReason) -> std::string
{
    const auto chat = call_->kind == AttemptRequest::Kind::Chat;
    auto escaped = Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    auto out = "data: " + prefix_ + R"(,"choices":[{"index":0,)";
    out += chat ? R"("delta":{"content":)" + escaped + "}" : R"("text":)" + escaped;
    out += R"(,"finish_reason":)" + (finishReason.empty() ? "null" : '"' + finishReason + '"') + "}]}\n\n";
    return out;
}

auto AnswerWriter::text(std::string_view text, std::uint32_t tokens) -> void
{
    if (!firstTokenAt_)
        firstTokenAt_ = loop_.timers().now();
    tokens_ += tokens;
    if (call_->kind == AttemptRequest::Kind::Service) {
        begin();
        call_->exchange->send(text);
        return;
    }
    if (!call_->stream) {
        gathered_ += text;
        return;
    }
    spoke_ = true;
    note_ = "generating";
    begin();
    call_->exchange->send(event(text, ""));
}

auto AnswerWriter::wholeBody(const AnswerEnd& end) const -> std::string
{
    const auto chat = call_->kind == AttemptRequest::Kind::Chat;
    auto choice = Json { { "index", 0 }, { "finish_reason", end.finishReason } };
    if (chat)
        choice["message"] = { { "role", "assistant" }, { "content", gathered_ } };
    else
        choice["text"] = gathered_;
    auto body = Json { { "id", call_->requestId.str() }, { "object", chat ? "chat.completion" : "text_completion" },
        { "model", call_->model.adapter.str() + "@" + std::to_string(call_->model.version.value()) },
        { "choices", Json::array({ choice }) }, { "usage", { { "completion_tokens", tokens_ } } } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto AnswerWriter::end(const AnswerEnd& end) -> void
{
    commentTimer_ = {};
    if (end.error)
        return refuse(*end.error);
    auto& exchange = *call_->exchange;
    if (call_->kind == AttemptRequest::Kind::Service) {
        begin();
        return exchange.finish();
    }
    if (!call_->stream)
        return exchange.respond(200, "application/json", wholeBody(end));
    begin();
    exchange.send(event("", end.finishReason) + "data: [DONE]\n\n");
    exchange.finish();
}

auto AnswerWriter::refuse(const Error& error) -> void
{
    commentTimer_ = {};
    auto& exchange = *call_->exchange;
    if (!begun_)
        return writeError(call_->exchange, call_->requestId, error);
    // A service's bytes have no place for an error: the connection is broken, so that the caller sees that more was
    // due.
    if (call_->kind == AttemptRequest::Kind::Service)
        return exchange.abort();
    exchange.send("event: error\ndata: "
        + errorJson(call_->requestId, error).dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n");
    exchange.finish();
}

auto AnswerWriter::writable() -> kj::Promise<void>
{
    if (call_->exchange->over() || call_->exchange->backlog() < backlogLimit)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    waiting_.add(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

} // namespace eelgrass::router
