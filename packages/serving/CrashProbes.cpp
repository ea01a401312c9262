#include "serving/CrashProbes.h"

#include "base/Log.h"
#include "serving/CountingAgents.h"

#include <algorithm>

namespace eelgrass::serving {

auto CrashProbes::claim(std::uint64_t key, const AttemptId& attempt) -> bool
{
    std::erase_if(probes_, [this](const auto& probe) { return probe.second.until <= now(); });
    const auto probe = probes_.find(key);
    if (probe == probes_.end()) {
        ask(key);
        return false;
    }
    if (!probe->second.attempt.empty())
        return false;
    probe->second.attempt = attempt;
    log::info("probe claimed", { { "request", attempt.str() }, { "key", std::to_string(key) } });
    return true;
}

auto CrashProbes::isProbe(std::uint64_t key, const AttemptId& attempt) const -> bool
{
    const auto probe = probes_.find(key);
    return probe != probes_.end() && probe->second.attempt == attempt && now() < probe->second.until;
}

auto CrashProbes::runBegan(const AttemptId& attempt) -> void
{
    std::erase_if(probes_, [&](const auto& probe) { return probe.second.attempt == attempt; });
}

auto CrashProbes::ask(std::uint64_t key) -> void
{
    if (!asked_.insert(key).second)
        return;
    const auto agents = CountingAgents(loop_, directory_, "probe agent did not answer");
    const auto first = agents.first(key, 1, [](const AgentLink& agent) { return agent.isHub() && agent.alive(); });
    if (!first.empty()) {
        loop_.spawn(first.front()
                        ->takeProbe(key)
                        .then([this, key](bool granted) { onAnswer(key, granted); })
                        .catch_([this, key](kj::Exception&&) { onAnswer(key, false); }));
        return;
    }
    const auto& replicas = directory_.all();
    const auto hasAgents
        = std::any_of(replicas.begin(), replicas.end(), [](const auto& entry) { return entry.second->agent(); });
    onAnswer(key, !hasAgents && ownLeases_.take(key, now()));
}

auto CrashProbes::onAnswer(std::uint64_t key, bool granted) -> void
{
    asked_.erase(key);
    if (granted)
        probes_[key] = { .until = now() + decisions::ProbeLeases::useTime };
}

} // namespace eelgrass::serving
