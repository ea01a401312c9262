#pragma once

#include "decisions/EarnedRetries.h"
#include "decisions/RetryReserve.h"
#include "serving/CountingAgents.h"
#include "serving/Settings.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace eelgrass::serving {

/// A decision on a retry, and who made it.
struct RetryVerdict {
    decisions::RetryDecision decision;
    /// This entry for a retry that its own requests have earned, otherwise the agent that keeps the reserve; empty if
    /// no agent could be asked.
    std::string countedBy;
};

/// Limits the retries that all entries together send for each service, without a coordinator.
///
/// A retry is paid from one of two sources. An entry earns retries by the requests that it receives (see
/// `EarnedRetries`); they need no message, and no entry needs to know of another. The reserve, which does not depend on
/// requests, is divided among a few agents (see `RetryReserve`); an entry asks them only for a retry that it has not
/// earned. Agents that have refused are not asked again before they can have more, so a spent budget is known at once.
///
/// While no agent can be reached, only what has been earned is left. A deployment that has no agents at all divides the
/// reserve by a fixed number of entries, and each entry keeps its part itself.
///
/// ```cpp
/// budgets.received(service);
/// if (!budgets.takeEarned(service).decision.granted)
///     budgets.takeFromReserve(service).then([](RetryVerdict verdict) { ... });
/// ```
class RetryBudgets {
public:
    RetryBudgets(wire::MainLoop& loop, const ReplicaDirectory& directory, const GatewaySettings& settings);
    KJ_DISALLOW_COPY(RetryBudgets);

    /// Records a request of a client for the service.
    auto received(const ServiceName& service) -> void;
    [[nodiscard]] auto takeEarned(const ServiceName& service) -> RetryVerdict;
    /// Whether neither source has a retry left, as far as this entry knows without asking.
    [[nodiscard]] auto exhausted(const ServiceName& service) -> bool;
    /// Applies the bounds in the settings, which have been read again.
    auto applyBounds() -> void;
    /// The promise never rejects.
    [[nodiscard]] auto takeFromReserve(const ServiceName& service) -> kj::Promise<RetryVerdict>;

private:
    [[nodiscard]] auto earnedBy(const ServiceName& service) -> decisions::EarnedRetries&;
    /// The agents that may grant a retry now, those of this zone first.
    [[nodiscard]] auto keepersOf(const ServiceName& service) const -> CountingAgents::Agents;
    /// Whether the list has an agent, reachable or not.
    [[nodiscard]] auto agentsListed() const -> bool;
    /// What one share of the reserve allows if it is divided by so many entries.
    [[nodiscard]] auto termsOfShare(double entries = 1) const -> decisions::ReserveTerms;
    [[nodiscard]] auto takeFromOwnPart(const ServiceName& service) -> RetryVerdict;
    [[nodiscard]] auto askNextKeeper(ServiceName service, RetryVerdict last) -> kj::Promise<RetryVerdict>;

    wire::MainLoop& loop_;
    const ReplicaDirectory& directory_;
    const GatewaySettings& settings_;
    decisions::RetryBounds bounds_;
    std::uint64_t entryHash_;
    CountingAgents agents_;
    std::map<ServiceName, decisions::EarnedRetries> earned_;
    /// This entry's part of the reserve in a deployment without agents.
    decisions::RetryReserve<ServiceName> ownPart_;
    /// Until when an agent has nothing left of a service's reserve.
    std::map<std::pair<ServiceName, Endpoint>, Moment> spentUntil_;
};

} // namespace eelgrass::serving
