#pragma once

#include "decisions/ServiceRecord.h"
#include "serving/CountingAgents.h"

#include <map>
#include <vector>

namespace eelgrass::serving {

/// Shares with all entries which adapters, prefixes and sessions go without service.
///
/// A rare adapter's requests come to different entries, of which each has seen too few to know that nobody serves it.
/// One agent for each adapter, the same at every entry, keeps what all entries tell, also of sessions, which belong to
/// one adapter; one agent for each shared part, which comes with many. Routes are requested often enough for each entry
/// to know by itself. If an agent goes, what it kept is forgotten, and each entry still has its own record.
///
/// Without refusals nothing is told and nothing asked.
///
/// ```cpp
/// keepers.find(adapter, keys).then([](decisions::RequestedKeys&& known) { ... });
/// keepers.wentWithout(adapter, keys);
/// ```
class ServiceKeepers {
public:
    ServiceKeepers(wire::MainLoop& loop, const ReplicaDirectory& directory)
        : timers_(loop.timers())
        , agents_(loop, directory, "service keeper did not answer")
    {
    }

    /// A request with these keys was served. `known` is what was known of them.
    auto served(const AdapterName& adapter, const decisions::RequestedKeys& known) -> void;
    /// A request with these keys went without service, although nothing was wrong with it and no replica failed it.
    auto wentWithout(const AdapterName& adapter, const std::vector<decisions::ServiceKey>& keys) -> void;
    /// Whether requests of this entry went without service lately.
    [[nodiscard]] auto hasUnserved() const noexcept -> bool { return own_.hasUnserved(); }
    /// To be called at an interval: forgets the keys that are no longer requested.
    auto expire() -> void { own_.expire(timers_.now()); }
    /// What this entry and the keeper know of the keys; without the keeper if it does not answer in time.
    [[nodiscard]] auto find(const AdapterName& adapter, const std::vector<decisions::ServiceKey>& keys)
        -> kj::Promise<decisions::RequestedKeys>;
    /// What this entry knows of the keys.
    [[nodiscard]] auto own(const std::vector<decisions::ServiceKey>& keys) const -> decisions::RequestedKeys;

private:
    using Keys = std::vector<decisions::ServiceKey>;
    [[nodiscard]] auto keeperOf(const AdapterName& adapter, const decisions::ServiceKey& key) const -> AgentLink*;
    /// The keys that are kept for all entries, by their keepers.
    [[nodiscard]] auto byKeeper(const AdapterName& adapter, const Keys& keys) const -> std::map<AgentLink*, Keys>;

    auto tell(const AdapterName& adapter, const Keys& keys, bool served) const -> void;

    TimerService& timers_;
    CountingAgents agents_;
    decisions::ServiceRecord own_;
};

} // namespace eelgrass::serving
