#include "router/target/Runner.h"

#include "base/JsonText.h"
#include "base/Log.h"

#include <nlohmann/json.hpp>

namespace eelgrass::router {

namespace {

using Json = nlohmann::json;

// An engine whose stream breaks more often than this within one answer is considered lost.
constexpr auto maxResumes = 3;
constexpr auto resumeDelay = Duration(100ms);
constexpr auto defaultMaxTokens = 256U;
// Error type for an engine that died or that no longer knows a stream that it was running.
constexpr auto lostType = "engine_lost";

auto promptOf(const AttemptRequest& request, const Json& body) -> std::string
{
    if (request.kind == AttemptRequest::Kind::Completion)
        return body.value("prompt", "");
    auto prompt = std::string();
    for (const auto& message : body.value("messages", Json::array()))
        prompt += message.value("role", "") + ": " + message.value("content", "") + "\n";
    return prompt;
}

auto completionOrder(const AttemptRequest& request) -> targets::CompletionOrder
{
    const auto body = parseJson(request.body);
    auto completion = targets::CompletionOrder {
        .attempt = request.attempt,
        .model = request.model,
        .prompt = promptOf(request, body),
        .maxTokens = body.value("max_tokens", defaultMaxTokens),
        .skipTokens = request.skipTokens,
        .givenText = request.givenText,
        .cacheSalt = request.member.str(),
    };
    for (const auto* name : { "temperature", "top_p", "seed", "stop", "presence_penalty", "frequency_penalty" }) {
        if (body.contains(name))
            completion.sampling[name] = body[name];
    }
    return completion;
}

/// Whether the request continues an answer that another software version began.
auto isOtherSoftware(const AttemptRequest& request, const SoftwareVersion& software) -> bool
{
    return !request.givenText.empty() && (software.empty() || software != request.software);
}

auto endWithError(const AttemptPtr& attempt, Error error) -> void
{
    auto end = AnswerEnd { .completionTokens = attempt->output.tokens(), .error = std::move(error) };
    end.loadStall = attempt->loadStall;
    end.queueWait = attempt->queueWait;
    end.engineStart = attempt->engineStart;
    attempt->output.end(std::move(end));
}

auto endNormally(const AttemptPtr& attempt, std::string finishReason) -> void
{
    auto end = AnswerEnd { .finishReason = std::move(finishReason), .completionTokens = attempt->output.tokens() };
    end.loadStall = attempt->loadStall;
    end.queueWait = attempt->queueWait;
    end.engineStart = attempt->engineStart;
    attempt->output.end(std::move(end));
}

} // namespace

auto EngineRunner::run(const AttemptPtr& attempt, Epoch epoch) -> kj::Promise<void>
{
    return engine_.complete(completionOrder(attempt->request), epoch)
        .then([this, attempt](kj::Own<targets::CompletionStream> stream) { return begin(attempt, kj::mv(stream), 0); },
            [this, attempt](kj::Exception&& broken) -> kj::Promise<void> {
                if (!wire::neverReached(broken))
                    return resume(attempt, 1, broken.getDescription().cStr());
                reportMissing();
                endWithError(attempt,
                    Error(Step::Engine, 503, "engine_away", "the engine of this target is away").retryAfter(1s));
                return kj::READY_NOW;
            });
}

auto EngineRunner::reportMissing() -> void
{
    if (onMissing_)
        onMissing_();
}

auto EngineRunner::adopt(const AttemptPtr& attempt) -> kj::Promise<void>
{
    return engine_.resume(attempt->request.attempt, attempt->request.model, attempt->output.tokens())
        .then([this, attempt](kj::Own<targets::CompletionStream> stream) { return begin(attempt, kj::mv(stream), 1); },
            [this, attempt](kj::Exception&& broken) { return resume(attempt, 2, broken.getDescription().cStr()); });
}

auto EngineRunner::knows(AttemptId attempt, ModelName model) -> kj::Promise<bool>
{
    // This token number is beyond the end of any answer, because only the status of the reply matters here.
    constexpr auto beyondAnyToken = 1U << 30U;
    return engine_.resume(std::move(attempt), std::move(model), beyondAnyToken)
        .then([](kj::Own<targets::CompletionStream> stream) { return stream->status() == 200; });
}

auto EngineRunner::begin(const AttemptPtr& attempt, kj::Own<targets::CompletionStream> stream, int resumes)
    -> kj::Promise<void>
{
    if (stream->status() == 200)
        return forwardOutput(attempt, std::make_shared<kj::Own<targets::CompletionStream>>(kj::mv(stream)), resumes);
    const auto status = stream->status();
    auto& open = *stream;
    return open.refusal().then([this, attempt, status, resumes, stream = kj::mv(stream)](std::string type) {
        // The slot table is out of date: the engine may have restarted between two polls of its state.
        if (status == 404)
            reportMissing();
        // A refused first call proves that the engine did not run the attempt; a refused resume does not.
        const auto run = resumes == 0      ? RunState::NotRun
            : attempt->output.tokens() > 0 ? RunState::Partial
                                           : RunState::Unknown;
        if (status == 404 && resumes > 0)
            type = lostType;
        const auto told = status == 400 || status == 413 || status == 422 ? status : 503;
        endWithError(attempt,
            Error(Step::Engine, told, type, "the engine refused with status " + std::to_string(status)).run(run));
    });
}

auto EngineRunner::forwardOutput(const AttemptPtr& attempt, const StreamPtr& stream, int resumes) -> kj::Promise<void>
{
    return attempt->output.writable()
        .then([stream] { return (*stream)->next(); })
        .then(
            [this, attempt, stream, resumes](targets::CompletionPiece piece) -> kj::Promise<void> {
                if (piece.tokens > 0 && attempt->output.tokens() == 0) {
                    if (isOtherSoftware(attempt->request, piece.software))
                        return refuseOtherSoftware(attempt);
                    attempt->output.setSoftware(piece.software);
                }
                if (piece.tokens > 0)
                    attempt->output.append(std::move(piece.text), piece.tokens);
                if (!piece.finishReason.empty())
                    attempt->finishReason = piece.finishReason;
                if (piece.done) {
                    endNormally(attempt, attempt->finishReason);
                    return kj::READY_NOW;
                }
                if (piece.closed)
                    return resume(attempt, resumes + 1, "the engine closed the stream");
                return forwardOutput(attempt, stream, resumes);
            },
            [this, attempt, resumes](kj::Exception&& broken) -> kj::Promise<void> {
                return resume(attempt, resumes + 1, broken.getDescription().cStr());
            });
}

/// What the engine has generated reaches nobody, so the request has not run for its caller.
auto EngineRunner::refuseOtherSoftware(const AttemptPtr& attempt) -> kj::Promise<void>
{
    endWithError(attempt, Error(Step::Engine, 503, otherSoftwareType, "the answer began at another software version"));
    return engine_.cancel(attempt->request.attempt).catch_([](kj::Exception&&) {});
}

auto EngineRunner::resume(const AttemptPtr& attempt, int resumes, std::string reason) -> kj::Promise<void>
{
    log::warn("engine stream broke",
        { { "step", "engine" }, { "attempt", attempt->request.attempt.str() }, { "reason", reason } });
    if (resumes > maxResumes) {
        reportMissing();
        const auto run = attempt->output.tokens() > 0 ? RunState::Partial : RunState::Unknown;
        endWithError(attempt, Error(Step::Engine, 502, lostType, "the engine broke off: " + reason).run(run));
        return kj::READY_NOW;
    }
    return loop_.sleep(resumeDelay)
        .then([this, attempt] {
            return engine_.resume(attempt->request.attempt, attempt->request.model, attempt->output.tokens());
        })
        .then([this, attempt, resumes](
                  kj::Own<targets::CompletionStream> stream) { return begin(attempt, kj::mv(stream), resumes); },
            [this, attempt, resumes](
                kj::Exception&& again) { return resume(attempt, resumes + 1, again.getDescription().cStr()); });
}

auto ServiceRunner::run(const AttemptPtr& attempt, Epoch) -> kj::Promise<void>
{
    const auto& request = attempt->request;
    auto call = targets::ServiceCall { request.attempt, request.method, request.path, request.contentType, request.body,
        request.neverRepeat };
    return service_.call(std::move(call))
        .then([this, attempt](kj::Own<wire::HttpStream> stream) {
            attempt->output.appendHead(stream->status(), stream->header("Content-Type"));
            return forwardOutput(attempt, std::make_shared<kj::Own<wire::HttpStream>>(kj::mv(stream)));
        })
        .then([attempt] { endNormally(attempt, "stop"); },
            [attempt](kj::Exception&& broken) {
                auto reason = std::string(broken.getDescription().cStr());
                endWithError(attempt, Error(Step::Service, 502, "service_lost", reason).run(RunState::Unknown));
            });
}

auto ServiceRunner::forwardOutput(const AttemptPtr& attempt, const StreamPtr& stream) -> kj::Promise<void>
{
    return attempt->output.writable()
        .then([stream] { return (*stream)->read(); })
        .then([this, attempt, stream](std::string bytes) -> kj::Promise<void> {
            if (bytes.empty())
                return kj::READY_NOW;
            attempt->output.append(std::move(bytes), 0);
            return forwardOutput(attempt, stream);
        });
}

} // namespace eelgrass::router
