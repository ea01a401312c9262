// The part of Soak that counts repeats at the replicas, and draws faults beside failing replicas.
#include "tests/soak/Soak.h"

#include <algorithm>

namespace eelgrass::soak {

auto Soak::rule() const -> tests::RetryBudgetRule
{
    if (!size_.retries)
        return {};
    // Short, so that a run has many windows.
    return { .ratio = 0.2, .slack = 20, .window = 4s };
}

/// Kills and restarts in series, mostly of gateways, now and then of all of them.
auto Soak::faultBesideRetries() -> void
{
    const auto kind = number(0, 9);
    if (kind < 4)
        return kill(any(gateways_));
    if (kind < 5)
        return faultOnNode(any(gateways_));
    if (kind < 7)
        return kill(any(agents_));
    note("kill of all gateways");
    std::for_each(gateways_.begin(), gateways_.end(), [this](Node& node) { kill(node); });
}

auto Soak::trafficOf(const std::string& service, const std::vector<const standins::ReplicaStandin*>& replicas) const
    -> tests::RetryBudgetRule::Traffic
{
    auto arrivals = std::vector<standins::ReplicaStandin::Arrival>();
    for (const auto* replica : replicas)
        arrivals.insert(arrivals.end(), replica->arrivals().begin(), replica->arrivals().end());
    std::sort(arrivals.begin(), arrivals.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    auto traffic = tests::RetryBudgetRule::Traffic {};
    if (const auto sent = requestsSent_.find(service); sent != requestsSent_.end())
        traffic.requests = sent->second;
    auto seen = std::set<std::string>();
    for (const auto& arrival : arrivals) {
        if (!seen.insert(arrival.attempt).second)
            traffic.repeats.push_back(arrival.at);
    }
    return traffic;
}

auto Soak::judgeRepeats(std::vector<std::string>& broken) -> void
{
    auto byService = std::map<std::string, std::vector<const standins::ReplicaStandin*>>();
    for (const auto& engine : engines_)
        byService["engine"].push_back(engine.replica.get());
    for (const auto& replica : plain_)
        byService["plain"].push_back(replica.get());
    for (const auto& [service, replicas] : byService) {
        const auto traffic = trafficOf(service, replicas);
        faults_["repeats at " + service] += static_cast<int>(traffic.repeats.size());
        const auto fullest = rule().fullest(traffic);
        if (fullest && fullest->used() > 1)
            broken.push_back("more repeats than the retry budget allows: " + service + " got "
                + std::to_string(fullest->repeats) + ", allowed " + std::to_string(fullest->allowed));
    }
}

} // namespace eelgrass::soak
