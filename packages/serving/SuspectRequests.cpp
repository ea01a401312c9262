#include "serving/SuspectRequests.h"

#include "base/Log.h"
#include "decisions/FirstByRendezvous.h"

#include <xxhash.h>

namespace eelgrass::serving {

namespace {

auto hashed(std::uint64_t seed, const std::string& text) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

auto digestOf(const wire::HttpRequestMessage& request, const RequestMetadata& metadata, const MemberId& member)
    -> std::string
{
    auto hash = hashed(0, request.method);
    for (const auto* text :
        { &request.target, &metadata.model.str(), &metadata.adapter.str(), &request.body, &member.str() })
        hash = hashed(hash, *text);
    return std::to_string(hash);
}

auto SuspectRequests::countingAgentFor(const std::string& digest) const -> AgentLink*
{
    auto first = decisions::FirstByRendezvous<AgentLink*>(hashed(0, digest), 1);
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (agent && agent->isHub() && agent->alive())
            first.offer(agent, agent->endpointHash());
    }
    const auto agents = first.nodes();
    return agents.empty() ? nullptr : agents.front();
}

auto SuspectRequests::note(std::string_view event, std::string_view outcome, const std::string& digest,
    const ReplicaStart& start, std::string_view why) const -> void
{
    const auto* agent = countingAgentFor(digest);
    metrics_.count("eelgrass_request_crashes_total", { { "outcome", std::string(outcome) } });
    log::info(event,
        { { "digest", digest }, { "replica", start.instance.str() },
            { "birth", std::to_string(start.startTime.value()) }, { "reason", std::string(why) },
            { "breaks", std::to_string(breaks(digest)) }, { "counted_by", agent ? agent->endpoint().str() : "" } });
}

auto SuspectRequests::count(const std::string& digest, const ReplicaStart& start) -> void
{
    ownCounts_.crashed(digest, ownCounts_.crashes(digest));
    if (auto* agent = countingAgentFor(digest))
        agent->reportSuspect(digest, true);
    note("break counted", "counted", digest, start, {});
}

auto SuspectRequests::recordBreak(const std::string& digest, const Replica& replica, bool begun) -> void
{
    const auto& start = replica.record().start;
    if (!begun || !replica.agent())
        return count(digest, start);
    // A replica that leaves ends by plan.
    if (replica.leaving())
        return note("break not counted", "not counted", digest, start, "the replica leaves");
    note("break not confirmed yet", "waits", digest, start, "the stream had begun");
    unconfirmed_.push_back({ digest, start, loop_.timers().now() });
    if (unconfirmed_.size() > maxUnconfirmed)
        unconfirmed_.pop_front();
}

auto SuspectRequests::applyState(const Replica& replica) -> void
{
    if (unconfirmed_.empty())
        return;
    const auto now = loop_.timers().now();
    const auto& reported = replica.agent()->state().start;
    for (const auto& broken : unconfirmed_) {
        if (broken.start.instance == replica.id() && !sameStart(broken.start, reported))
            count(broken.digest, broken.start);
    }
    std::erase_if(unconfirmed_, [&](const Unconfirmed& broken) {
        const auto crashed = broken.start.instance == replica.id() && !sameStart(broken.start, reported);
        const auto forgotten = !crashed && now - broken.at > crashNoticeTime;
        if (forgotten)
            note("break not counted", "forgotten", broken.digest, broken.start, "no crash was reported");
        return crashed || forgotten;
    });
}

auto SuspectRequests::recordSuccess(const std::string& digest) -> void
{
    if (ownCounts_.crashes(digest) == 0)
        return;
    ownCounts_.succeeded(digest);
    if (auto* agent = countingAgentFor(digest))
        agent->reportSuspect(digest, false);
    note("breaks cleared", "cleared", digest, {}, "answered");
}

auto SuspectRequests::breaks(const std::string& digest) const -> std::uint32_t
{
    auto breaks = std::uint32_t(0);
    for (const auto& [instance, replica] : directory_.all()) {
        if (!replica->agent())
            continue;
        const auto& suspects = replica->agent()->state().suspects;
        const auto found = suspects.find(digest);
        breaks += found == suspects.end() ? 0 : found->second;
    }
    return std::max(breaks, ownCounts_.crashes(digest));
}

} // namespace eelgrass::serving
