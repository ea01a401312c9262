#include "router/entry/AnswerWriter.h"

namespace eelgrass::router {

namespace {

constexpr auto commentPeriod = Duration(2s);
// Number of bytes that may be buffered for a slow caller before the target has to wait.
constexpr auto sendBufferLimit = std::size_t(64) << 10U;

auto wholeSeconds(std::chrono::milliseconds delay) -> std::string
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
        exchange->setHeader("Retry-After", wholeSeconds(*error.retryAfter()));
    exchange->respond(error.status(), "application/json",
        errorJson(request, error).dump(-1, ' ', false, Json::error_handler_t::replace));
}

AnswerWriter::AnswerWriter(wire::MainLoop& loop, CallPtr call)
    : loop_(loop)
    , call_(std::move(call))
{
    call_->exchange->setHeader("X-Request-Id", call_->requestId.str());
    call_->exchange->onDrained([this] { onDrained(); });
    if (call_->stream)
        commentTimer_ = loop_.timers().every(commentPeriod, [this] { sendCommentIfIdle(); });
    updateModel();
}

auto AnswerWriter::updateModel() -> void
{
    if (call_->kind == AttemptRequest::Kind::Service)
        return;
    call_->exchange->setHeader("X-Eelgrass-Adapter", call_->model.adapter.str());
    call_->exchange->setHeader("X-Eelgrass-Version", std::to_string(call_->model.version.value()));
    const auto isChat = call_->kind == AttemptRequest::Kind::Chat;
    auto head
        = Json { { "id", call_->requestId.str() }, { "object", isChat ? "chat.completion.chunk" : "text_completion" },
              { "model", call_->model.adapter.str() + "@" + std::to_string(call_->model.version.value()) } };
    eventPrefix_ = head.dump();
    eventPrefix_.pop_back();
}

// Removes the callback, since the exchange can outlive the writer until the last bytes of the answer are sent.
AnswerWriter::~AnswerWriter() { call_->exchange->onDrained({}); }

auto AnswerWriter::onDrained() -> void
{
    if (call_->exchange->backlog() >= sendBufferLimit)
        return;
    auto waiters = kj::mv(writableWaiters_);
    for (auto& fulfiller : waiters)
        fulfiller->fulfill();
}

auto AnswerWriter::beginResponse() -> void
{
    if (responseBegun_)
        return;
    responseBegun_ = true;
    const auto isService = call_->kind == AttemptRequest::Kind::Service;
    call_->exchange->begin(status_, isService ? contentType_ : "text/event-stream");
}

auto AnswerWriter::sendCommentIfIdle() -> void
{
    if (std::exchange(sentSinceComment_, false))
        return;
    beginResponse();
    call_->exchange->send(": " + progressNote_ + "\n\n");
}

auto AnswerWriter::setHead(int status, std::string contentType) -> void
{
    status_ = status;
    if (!contentType.empty())
        contentType_ = std::move(contentType);
}

auto AnswerWriter::eventText(std::string_view text, const std::string& finishReason) -> std::string
{
    const auto isChat = call_->kind == AttemptRequest::Kind::Chat;
    auto escaped = Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
    auto out = "data: " + eventPrefix_ + R"(,"choices":[{"index":0,)";
    out += isChat ? R"("delta":{"content":)" + escaped + "}" : R"("text":)" + escaped;
    out += R"(,"finish_reason":)" + (finishReason.empty() ? "null" : '"' + finishReason + '"') + "}]}\n\n";
    return out;
}

auto AnswerWriter::appendText(std::string_view text, std::uint32_t tokens) -> void
{
    if (!firstTokenAt_)
        firstTokenAt_ = loop_.timers().now();
    tokensWritten_ += tokens;
    if (call_->kind == AttemptRequest::Kind::Service) {
        beginResponse();
        call_->exchange->send(text);
        return;
    }
    if (!call_->stream) {
        wholeText_ += text;
        return;
    }
    sentSinceComment_ = true;
    progressNote_ = "generating";
    beginResponse();
    call_->exchange->send(eventText(text, ""));
}

auto AnswerWriter::wholeBody(const AnswerEnd& end) const -> std::string
{
    const auto isChat = call_->kind == AttemptRequest::Kind::Chat;
    auto choice = Json { { "index", 0 }, { "finish_reason", end.finishReason } };
    if (isChat)
        choice["message"] = { { "role", "assistant" }, { "content", wholeText_ } };
    else
        choice["text"] = wholeText_;
    auto body = Json { { "id", call_->requestId.str() }, { "object", isChat ? "chat.completion" : "text_completion" },
        { "model", call_->model.adapter.str() + "@" + std::to_string(call_->model.version.value()) },
        { "choices", Json::array({ choice }) }, { "usage", { { "completion_tokens", tokensWritten_ } } } };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto AnswerWriter::finish(const AnswerEnd& end) -> void
{
    commentTimer_ = {};
    if (end.error)
        return finishWithError(*end.error);
    auto& exchange = *call_->exchange;
    if (call_->kind == AttemptRequest::Kind::Service) {
        beginResponse();
        return exchange.finish();
    }
    if (!call_->stream)
        return exchange.respond(200, "application/json", wholeBody(end));
    beginResponse();
    exchange.send(eventText("", end.finishReason) + "data: [DONE]\n\n");
    exchange.finish();
}

auto AnswerWriter::finishWithError(const Error& error) -> void
{
    commentTimer_ = {};
    auto& exchange = *call_->exchange;
    if (!responseBegun_)
        return writeError(call_->exchange, call_->requestId, error);
    // The body of a service's answer cannot carry an error. Closing the connection shows the caller that the answer is
    // incomplete.
    if (call_->kind == AttemptRequest::Kind::Service)
        return exchange.abort();
    exchange.send("event: error\ndata: "
        + errorJson(call_->requestId, error).dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n");
    exchange.finish();
}

auto AnswerWriter::whenWritable() -> kj::Promise<void>
{
    if (call_->exchange->over() || call_->exchange->backlog() < sendBufferLimit)
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    writableWaiters_.add(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

} // namespace eelgrass::router
