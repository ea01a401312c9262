#include "serving/SuspectRequests.h"

#include "decisions/FirstByRendezvous.h"

#include <xxhash.h>

namespace eelgrass::serving {

namespace {

auto hashed(std::uint64_t seed, const std::string& text) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

auto digestOf(const wire::HttpRequestMessage& request, const RequestMetadata& facts, const MemberId& member)
    -> std::string
{
    auto hash = hashed(0, request.method);
    for (const auto* text : { &request.target, &facts.model.str(), &facts.adapter.str(), &request.body, &member.str() })
        hash = hashed(hash, *text);
    return std::to_string(hash);
}

auto SuspectRequests::agentFor(const std::string& digest) const -> AgentLink*
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

auto SuspectRequests::broke(const std::string& digest) -> void
{
    own_.crashed(digest, own_.crashes(digest));
    if (auto* agent = agentFor(digest))
        agent->reportSuspect(digest, true);
}

auto SuspectRequests::succeeded(const std::string& digest) -> void
{
    if (own_.crashes(digest) == 0)
        return;
    own_.succeeded(digest);
    if (auto* agent = agentFor(digest))
        agent->reportSuspect(digest, false);
}

auto SuspectRequests::refused(const std::string& digest) const -> bool
{
    auto breaks = std::uint32_t(0);
    for (const auto& [instance, replica] : directory_.all()) {
        if (!replica->agent())
            continue;
        const auto& suspects = replica->agent()->state().suspects;
        const auto found = suspects.find(digest);
        breaks += found == suspects.end() ? 0 : found->second;
    }
    return std::max(breaks, own_.crashes(digest)) >= limit;
}

} // namespace eelgrass::serving
