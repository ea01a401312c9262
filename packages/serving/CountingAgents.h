#pragma once

#include "serving/ReplicaDirectory.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>
#include <vector>

namespace eelgrass::serving {

/// Selects agents that count something for all entries: for each key the same agents at every entry, by rendezvous
/// hashing.
class CountingAgents {
public:
    using Agents = std::vector<AgentLink*>;
    using Condition = std::function<bool(const AgentLink&)>;

    // An agent answers within a few milliseconds, and within some tens of milliseconds on a host that has become slow.
    static constexpr auto answerTimeout = Duration(80ms);

    /// `silenceEvent` is the log line for an agent that did not answer.
    CountingAgents(wire::MainLoop& loop, const ReplicaDirectory& directory, std::string_view silenceEvent)
        : loop_(loop)
        , directory_(directory)
        , silenceEvent_(silenceEvent)
    {
    }

    /// The first `count` agents for the key, of those that meet the condition.
    [[nodiscard]] auto first(std::uint64_t key, std::size_t count, const Condition& condition) const -> Agents;
    /// Whether the agent can be asked now: it has a session or may get one, and has not lately failed to answer.
    [[nodiscard]] auto canBeAsked(const AgentLink& agent) const -> bool { return reachable(agent) && !avoided(agent); }
    [[nodiscard]] static auto reachable(const AgentLink& agent) -> bool { return agent.alive() || agent.mayOpen(); }
    [[nodiscard]] auto avoided(const AgentLink& agent) const -> bool;
    /// Waits for an agent's answer. The result is empty if there is none in time or the session is lost; the agent is
    /// then avoided for a while, since every request would wait for it.
    template <typename T>
    [[nodiscard]] auto answerOf(const AgentLink& agent, kj::Promise<T> answer) -> kj::Promise<kj::Maybe<T>>
    {
        using Answer = kj::Maybe<T>;
        return answer.then([](T&& given) -> Answer { return kj::mv(given); })
            .exclusiveJoin(loop_.sleep(answerTimeout).then([]() -> Answer { return nullptr; }))
            .catch_([](kj::Exception&&) -> Answer { return nullptr; })
            .then([this, peer = agent.endpoint()](Answer&& given) {
                if (given == nullptr)
                    avoid(peer);
                return kj::mv(given);
            });
    }

private:
    static constexpr auto avoidTime = Duration(2s);

    auto avoid(const Endpoint& peer) -> void;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    std::string_view silenceEvent_;
    std::map<Endpoint, Moment> avoidedUntil_;
};

} // namespace eelgrass::serving
