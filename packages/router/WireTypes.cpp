#include "router/WireTypes.h"

namespace eelgrass::router {

namespace {

using SchemaRun = wire::schema::RunState;

auto toSchema(RunState run) -> SchemaRun
{
    switch (run) {
    case RunState::NotRun:
        return SchemaRun::NOT_RUN;
    case RunState::Partial:
        return SchemaRun::PARTIAL;
    case RunState::Unknown:
        break;
    }
    return SchemaRun::UNKNOWN;
}

auto fromSchema(SchemaRun run) -> RunState
{
    switch (run) {
    case SchemaRun::NOT_RUN:
        return RunState::NotRun;
    case SchemaRun::PARTIAL:
        return RunState::Partial;
    case SchemaRun::UNKNOWN:
        break;
    }
    return RunState::Unknown;
}

auto fromSchema(wire::schema::StartRequest::Kind kind) -> AttemptRequest::Kind
{
    using SchemaKind = wire::schema::StartRequest::Kind;
    if (kind == SchemaKind::SERVICE)
        return AttemptRequest::Kind::Service;
    return kind == SchemaKind::CHAT ? AttemptRequest::Kind::Chat : AttemptRequest::Kind::Completion;
}

auto toSchema(AttemptRequest::Kind kind) -> wire::schema::StartRequest::Kind
{
    using SchemaKind = wire::schema::StartRequest::Kind;
    if (kind == AttemptRequest::Kind::Service)
        return SchemaKind::SERVICE;
    return kind == AttemptRequest::Kind::Chat ? SchemaKind::CHAT : SchemaKind::COMPLETION;
}

} // namespace

auto textOf(capnp::Data::Reader data) -> std::string
{
    return { reinterpret_cast<const char*>(data.begin()), data.size() };
}

auto dataOf(std::string_view text) -> capnp::Data::Reader
{
    return { reinterpret_cast<const kj::byte*>(text.data()), text.size() };
}

auto write(const AttemptRequest& request, wire::schema::StartRequest::Builder into) -> void
{
    into.setAttempt(request.attempt.str());
    into.setRequestId(request.requestId.str());
    into.setMember(request.member.str());
    into.setModel(request.model.str());
    into.setRequestClass(request.requestClass.str());
    into.setDeadlineMs(static_cast<std::uint32_t>(request.deadline.count()));
    into.setNeverRepeat(request.neverRepeat);
    into.setTargetEpoch(request.epoch.value());
    into.setKind(toSchema(request.kind));
    into.setBody(dataOf(request.body));
    into.setMethod(request.method);
    into.setPath(request.path);
    into.setContentType(request.contentType);
    into.setDigest(request.digest);
    into.setSkipTokens(request.skipTokens);
    into.setGivenText(request.givenText);
    into.setCrashes(request.crashes);
    into.setSoftware(request.software.str());
}

auto read(wire::schema::StartRequest::Reader from) -> AttemptRequest
{
    return {
        .attempt = AttemptId(from.getAttempt()),
        .requestId = RequestId(from.getRequestId()),
        .member = MemberId(from.getMember()),
        .model = ModelName(from.getModel()),
        .requestClass = RequestClass(from.getRequestClass()),
        .deadline = std::chrono::milliseconds(from.getDeadlineMs()),
        .neverRepeat = from.getNeverRepeat(),
        .epoch = Epoch(from.getTargetEpoch()),
        .kind = fromSchema(from.getKind()),
        .body = textOf(from.getBody()),
        .method = from.getMethod(),
        .path = from.getPath(),
        .contentType = from.getContentType(),
        .digest = from.getDigest(),
        .skipTokens = from.getSkipTokens(),
        .givenText = from.getGivenText(),
        .crashes = from.getCrashes(),
        .software = SoftwareVersion(from.getSoftware()),
    };
}

auto write(const Error& error, wire::schema::Refusal::Builder into) -> void
{
    into.setStatus(static_cast<std::uint16_t>(error.status()));
    into.setType(error.type());
    into.setMessage(error.message());
    into.setStep(std::string(toString(error.step())));
    into.setPeer(error.peer());
    into.setRun(toSchema(error.run()));
    into.setRetryAfterMs(error.retryAfter() ? static_cast<std::uint32_t>(error.retryAfter()->count()) : 0);
}

auto read(wire::schema::Refusal::Reader from) -> Error
{
    auto step = stepFrom(std::string(from.getStep())).value_or(Step::Start);
    auto error = Error(step, from.getStatus(), from.getType(), from.getMessage())
                     .at(from.getPeer())
                     .run(fromSchema(from.getRun()));
    if (from.getRetryAfterMs() == 0)
        return error;
    return std::move(error).retryAfter(std::chrono::milliseconds(from.getRetryAfterMs()));
}

auto write(const AnswerEnd& end, wire::schema::AnswerEnd::Builder into) -> void
{
    into.setFinishReason(end.finishReason);
    into.setPromptTokens(end.promptTokens);
    into.setCompletionTokens(end.completionTokens);
    into.setLoadStallUs(static_cast<std::uint64_t>(end.loadStall.count()));
    into.setQueueWaitUs(static_cast<std::uint64_t>(end.queueWait.count()));
    into.setEngineStart(end.engineStart);
    into.setFailed(end.error.has_value());
    if (end.error)
        write(*end.error, into.initRefusal());
}

auto read(wire::schema::AnswerEnd::Reader from) -> AnswerEnd
{
    auto end = AnswerEnd {
        .finishReason = from.getFinishReason(),
        .promptTokens = from.getPromptTokens(),
        .completionTokens = from.getCompletionTokens(),
    };
    end.loadStall = Duration(from.getLoadStallUs());
    end.queueWait = Duration(from.getQueueWaitUs());
    end.engineStart = from.getEngineStart();
    if (from.getFailed())
        end.error = read(from.getRefusal());
    return end;
}

} // namespace eelgrass::router
