// The part of RequestRun that decides where a stream that has brought an event may continue, and lets a client resume
// one.
#include "base/DurationText.h"
#include "base/Log.h"
#include "serving/RequestRun.h"
#include "serving/detail/RunLimits.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using namespace detail;

/// How long a client may resume a stream: as long again as its attempt may still take, within the client's deadline.
auto keepAfterAttempt(const RouteRecord& route, const RequestMetadata& metadata, Duration left) -> Duration
{
    const auto most = left + Duration(route.timeout);
    return metadata.deadline ? std::min(most, Duration(*metadata.deadline)) : most;
}

} // namespace

auto RequestRun::streamId() const -> StreamId
{
    return { member_ ? member_->name : MemberId(), resumesStream() ? metadata_.resumed->attempt : metadata_.attempt };
}

auto RequestRun::mayContinueAt(const Replica& replica) const -> bool
{
    return !origin_ || origin_->allows(replica.record());
}

auto RequestRun::canContinue() const -> bool
{
    const auto& replicas = gateway_.directory.replicasOf(service_);
    return std::any_of(replicas.begin(), replicas.end(),
        [&](const ReplicaPtr& replica) { return replica->present() && mayContinueAt(*replica); });
}

auto RequestRun::findOrigin() -> void
{
    gateway_.metrics.count("eelgrass_streams_resumed_total", { { "class", route_->name.str() } });
    // Events that the client has already are skipped, and a gap after them ends the attempt.
    lastEventId_ = metadata_.resumed->lastEventId;
    if (metadata_.resumed->attempt.empty())
        return onOrigin({});
    const auto query = StreamOriginLookup::Query { *route_,
        { service_, metadata_.adapter, sharedPrefixes_.empty() ? 0 : sharedPrefixes_.back().id } };
    // The answer is handled from the event loop, since a promise must not be destroyed within its own callback.
    admission_ = gateway_.origins.find(streamId(), query)
                     .then([this](StreamOriginLookup::Answer&& answer) {
                         gateway_.deferred.add([self = shared_from_this(), answer] {
                             if (!self->finished_)
                                 self->onOrigin(answer);
                         });
                     })
                     .eagerlyEvaluate([](kj::Exception&& error) {
                         log::error("search for a stream failed", { { "reason", error.getDescription().cStr() } });
                     });
}

auto RequestRun::onOrigin(const StreamOriginLookup::Answer& answer) -> void
{
    logResumed(answer);
    if (!answer.origin)
        return refuseStream(metadata_.resumed->attempt.empty() ? unnamedStreamReason : unknownStreamReason);
    const auto& shares = route_->shares;
    const auto routed = std::any_of(
        shares.begin(), shares.end(), [&](const auto& share) { return share.service == answer.origin->service; });
    if (!routed)
        return refuseStream(otherServiceReason);
    origin_ = answer.origin;
    service_ = origin_->service;
    place();
}

/// Refused without a time to return: waiting does not bring back what is not known, or a version that is gone.
auto RequestRun::refuseStream(std::string_view why) -> void { refuseWith(unavailable, why, std::nullopt); }

/// The first event of a run. The stream's origin is decided by its first event of all: the replica's entry in the list
/// may change or go later.
auto RequestRun::onFirstEventOfRun() -> void
{
    const auto continues = firstEventSeen_ || resumesStream();
    if (!origin_ && route_->resumable)
        origin_ = StreamOrigin { service_, run_->replica->record().software };
    auto statement = std::optional<StreamOrigins::Statement>();
    if (origin_)
        statement = gateway_.origins.note(streamId(), *origin_, keepAfterAttempt(*route_, metadata_, timeLeft()));
    if (run_->agent)
        run_->agent->started(metadata_.attempt, statement);
    if (continues)
        noteContinued();
}

auto RequestRun::logResumed(const StreamOriginLookup::Answer& answer) const -> void
{
    const auto& last = metadata_.resumed->lastEventId;
    if (!answer.origin)
        gateway_.metrics.count("eelgrass_stream_origins_unknown_total", { { "class", route_->name.str() } });
    log::info("stream resumed by client",
        { { "request", metadata_.attempt.str() }, { "resumes", metadata_.resumed->attempt.str() },
            { "last_event", last ? std::to_string(*last) : "" },
            { "began_on", answer.origin ? answer.origin->software.str() : "" },
            { "service", answer.origin ? answer.origin->service.str() : "" }, { "known_from", answer.source },
            { "known_ms", answer.origin ? millisecondsText(answer.age) : "" } });
}

auto RequestRun::noteContinued() const -> void
{
    const auto& replica = *run_->replica;
    const auto& software = replica.record().software;
    gateway_.metrics.count("eelgrass_streams_continued_total",
        { { "way", resumesStream() ? "by client" : "same answer" },
            { "software", mayContinueAt(replica) ? "same" : "other" } });
    log::info("stream continued",
        { { "request", metadata_.attempt.str() }, { "replica", replica.id().str() },
            { "began_on", origin_ ? origin_->software.str() : "" }, { "software", software.str() } });
}

} // namespace eelgrass::serving
