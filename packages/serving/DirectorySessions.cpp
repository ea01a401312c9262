// The part of ReplicaDirectory that plans the sessions with agents and the connections to replicas.
#include "decisions/RetryReserve.h"
#include "serving/ReplicaDirectory.h"

#include <algorithm>

namespace eelgrass::serving {

auto ReplicaDirectory::linkAgent(const ReplicaPtr& replica) -> void
{
    if (replica->agent() || !notice_.configuration)
        return;
    const auto& services = notice_.configuration->services;
    const auto service = services.find(replica->record().service);
    if (service == services.end() || !service->second.engine)
        return;
    const auto weak = std::weak_ptr<Replica>(replica);
    const auto mostWarm = decisions::RecentAdapters::perSlot * service->second.engine->adapterSlots;
    auto hooks = AgentLink::Hooks { .onState =
                                        [this, weak, mostWarm] {
                                            const auto held = weak.lock();
                                            if (!held)
                                                return;
                                            held->agentReported();
                                            held->noteResidentAdapters(held->agent()->state().resident, mostWarm);
                                            hooks_.onState(*held);
                                        },
        .onFigures =
            [weak] {
                if (const auto held = weak.lock())
                    held->agentReported();
            },
        .onNames =
            [this, weak] {
                if (const auto held = weak.lock(); held && hooks_.onNames)
                    hooks_.onNames(*held);
            },
        .onRateLimits =
            [this, weak](const std::vector<ReplicaRateLimit>& limits) {
                if (const auto held = weak.lock(); held && hooks_.onRateLimits)
                    hooks_.onRateLimits(limits, held->agent()->endpoint());
            },
        .knownRateLimit = [weak]() -> std::optional<ReplicaRateLimit> {
            const auto held = weak.lock();
            if (!held || !held->rateLimit().last())
                return std::nullopt;
            return ReplicaRateLimit { held->record().start, *held->rateLimit().last() };
        },
        .knownOrigin = [this](const StreamId& stream) { return hooks_.knownOrigin(stream); } };
    const auto caller = AgentLink::Caller {
        .entry = options_.entry, .zone = options_.zone, .sameZone = replica->record().zone == options_.zone
    };
    replica->setAgent(std::make_unique<AgentLink>(
        loop_, Endpoint { replica->record().endpoint.address, options_.agentPort }, caller, std::move(hooks)));
    replica->agent()->notify(notice_);
    agentsChanged_ = true;
}

auto ReplicaDirectory::configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder)
    -> void
{
    notice_.configuration = std::move(configuration);
    notice_.holder = holder;
    for (const auto& [instance, replica] : replicas_)
        linkAgent(replica);
    notifyAgents();
    if (agentsChanged_)
        planSessions();
}

auto ReplicaDirectory::notifyAgents() -> void
{
    notice_.readerWeight = storeReachable_ ? options_.readerWeight : 0;
    for (const auto& [instance, replica] : replicas_) {
        if (replica->agent())
            replica->agent()->notify(notice_);
    }
}

/// Hubs keep the shares, since every entry has a session with them; of these the agents of the replicas that started
/// first, so that replicas which are added move few.
auto ReplicaDirectory::assignRetryShares() -> void
{
    auto keepers = std::vector<std::pair<std::pair<StartTime, std::uint64_t>, AgentLink*>>();
    for (const auto& [instance, replica] : replicas_) {
        auto* agent = replica->agent();
        if (!agent)
            continue;
        if (agent->isHub())
            keepers.push_back({ { replica->record().start.startTime, agent->endpointHash() }, agent });
        else
            agent->setRetryShares(0);
    }
    std::sort(keepers.begin(), keepers.end());
    constexpr auto shares = decisions::RetryReserve<ServiceName>::shares;
    const auto count = keepers.size();
    for (auto index = std::size_t(0); index < count; ++index)
        keepers[index].second->setRetryShares(index < shares ? (shares - index + count - 1) / count : 0);
}

auto ReplicaDirectory::planSessions() -> void
{
    agentsChanged_ = false;
    auto links = std::vector<AgentLink*>();
    auto agents = std::vector<decisions::PlannedAgent>();
    for (const auto& [instance, replica] : replicas_) {
        auto* agent = replica->agent();
        if (!agent)
            continue;
        if (replica->leaving()) {
            agent->setSessionPolicy(decisions::SessionPolicy::OnDemand);
            continue;
        }
        links.push_back(agent);
        agents.push_back({ agent->endpointHash(), replica->record().zone });
    }
    const auto plan = decisions::SessionPlan::of(agents, entryHash_);
    for (auto index = std::size_t(0); index < links.size(); ++index)
        links[index]->setSessionPolicy(plan[index]);
    assignRetryShares();
    fullMesh_ = links.size() <= decisions::SessionPlan::fullMeshLimit;
}

auto ReplicaDirectory::shareConnections(std::size_t entries) -> void
{
    if (!notice_.configuration)
        return;
    // Only half of the share may be idle; the other half is for connections in use and for new ones.
    constexpr auto minIdle = std::size_t(1);
    constexpr auto maxIdle = std::size_t(16);
    for (const auto& [instance, replica] : replicas_) {
        const auto service = notice_.configuration->services.find(replica->record().service);
        if (service == notice_.configuration->services.end())
            continue;
        const auto share = service->second.connectionLimit / (2 * std::max<std::size_t>(entries, 1));
        replica->pool().setMaxIdle(std::clamp(share, minIdle, maxIdle));
    }
}

} // namespace eelgrass::serving
