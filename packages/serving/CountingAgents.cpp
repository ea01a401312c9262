#include "serving/CountingAgents.h"

#include "base/Log.h"
#include "decisions/FirstByRendezvous.h"

namespace eelgrass::serving {

auto CountingAgents::first(std::uint64_t key, std::size_t count, const Condition& condition) const -> Agents
{
    auto agents = decisions::FirstByRendezvous<AgentLink*>(key, count);
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (agent && condition(*agent))
            agents.offer(agent, agent->endpointHash());
    }
    return agents.nodes();
}

auto CountingAgents::avoided(const AgentLink& agent) const -> bool
{
    const auto entry = avoidedUntil_.find(agent.endpoint());
    return entry != avoidedUntil_.end() && loop_.timers().now() < entry->second;
}

auto CountingAgents::avoid(const Endpoint& peer) -> void
{
    log::warn(silenceEvent_, { { "peer", peer.str() } });
    avoidedUntil_[peer] = loop_.timers().now() + avoidTime;
}

} // namespace eelgrass::serving
