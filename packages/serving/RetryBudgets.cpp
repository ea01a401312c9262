#include "serving/RetryBudgets.h"

#include "decisions/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace eelgrass::serving {

namespace {

using Reserve = decisions::RetryReserve<ServiceName>;

// Without agents nobody knows how many entries there are.
constexpr auto entriesWithoutAgents = 6.0;

auto verdictOf(const decisions::ReserveDecision& decision, std::string countedBy) -> RetryVerdict
{
    return { { .granted = decision.granted,
                 .retries = decision.retries,
                 .left = decision.allowed - static_cast<double>(decision.retries) },
        std::move(countedBy) };
}

} // namespace

RetryBudgets::RetryBudgets(wire::MainLoop& loop, const ReplicaDirectory& directory, const GatewaySettings& settings)
    : loop_(loop)
    , directory_(directory)
    , settings_(settings)
    , bounds_(settings.retries)
    , entryHash_(decisions::nameHash(settings.host.name))
    , agents_(loop, directory, "retry reserve agent did not answer")
    , ownPart_(loop.timers().now(), settings.host.firstStart)
{
    ownPart_.assign(0, Reserve::shares, loop.timers().now());
}

auto RetryBudgets::earnedBy(const ServiceName& service) -> decisions::EarnedRetries&
{
    return earned_.try_emplace(service, bounds_).first->second;
}

auto RetryBudgets::applyBounds() -> void
{
    // What has been earned by other bounds is dropped, as after a restart.
    if (std::exchange(bounds_, settings_.retries) != settings_.retries)
        earned_.clear();
}

auto RetryBudgets::exhausted(const ServiceName& service) -> bool
{
    return earnedBy(service).left(loop_.timers().now()) < 1 && agentsListed() && keepersOf(service).empty();
}

auto RetryBudgets::received(const ServiceName& service) -> void { earnedBy(service).received(loop_.timers().now()); }

auto RetryBudgets::takeEarned(const ServiceName& service) -> RetryVerdict
{
    return { earnedBy(service).take(loop_.timers().now()), settings_.host.name };
}

auto RetryBudgets::takeFromReserve(const ServiceName& service) -> kj::Promise<RetryVerdict>
{
    if (!agentsListed())
        return takeFromOwnPart(service);
    return askNextKeeper(service, {});
}

auto RetryBudgets::agentsListed() const -> bool
{
    return std::any_of(directory_.all().begin(), directory_.all().end(),
        [](const auto& listed) { return listed.second->agent() != nullptr; });
}

auto RetryBudgets::termsOfShare(double entries) const -> decisions::ReserveTerms
{
    const auto usable = decisions::RetryBounds::usableShare * bounds_.slack / entries;
    return { .perShare = usable / static_cast<double>(Reserve::shares),
        .window = bounds_.window,
        .handover = settings_.drainBound };
}

auto RetryBudgets::takeFromOwnPart(const ServiceName& service) -> RetryVerdict
{
    const auto terms = termsOfShare(entriesWithoutAgents);
    return verdictOf(ownPart_.take(service, terms, loop_.timers().now()), settings_.host.name);
}

auto RetryBudgets::keepersOf(const ServiceName& service) const -> CountingAgents::Agents
{
    const auto now = loop_.timers().now();
    auto keepers = CountingAgents::Agents();
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (!agent || agent->retryShares() == 0 || !agents_.canBeAsked(*agent))
            continue;
        const auto spent = spentUntil_.find({ service, agent->endpoint() });
        if (spent == spentUntil_.end() || spent->second <= now)
            keepers.push_back(agent);
    }
    const auto rank = [this](const AgentLink* agent) {
        return std::tuple(!agent->inSameZone(), decisions::rendezvousScore(entryHash_, agent->endpointHash()));
    };
    std::sort(keepers.begin(), keepers.end(), [&](const auto* a, const auto* b) { return rank(a) < rank(b); });
    return keepers;
}

auto RetryBudgets::askNextKeeper(ServiceName service, RetryVerdict last) -> kj::Promise<RetryVerdict>
{
    const auto keepers = keepersOf(service);
    if (keepers.empty())
        return last;
    auto& keeper = *keepers.front();
    const auto peer = keeper.endpoint();
    auto asking = keeper.takeRetry(service, termsOfShare());
    return agents_.answerOf(keeper, kj::mv(asking))
        .then([this, service = std::move(service), last = std::move(last), peer](
                  kj::Maybe<decisions::ReserveDecision>&& answer) mutable -> kj::Promise<RetryVerdict> {
            KJ_IF_MAYBE (decision, answer) {
                last = verdictOf(*decision, peer.str());
                if (decision->granted)
                    return last;
                spentUntil_[{ service, peer }] = loop_.timers().now() + decision->spentFor;
            }
            // An agent that did not answer is avoided for a while, and one that has refused is spent, so the next call
            // asks another one.
            return askNextKeeper(std::move(service), std::move(last));
        });
}

} // namespace eelgrass::serving
