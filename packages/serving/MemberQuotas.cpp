#include "serving/MemberQuotas.h"

#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// Number of agents that count one member's usage.
constexpr auto countersPerMember = std::size_t(2);
// Share of the allowed overage per window that one agent grants; the rest covers entries that briefly ask different
// agents.
constexpr auto lenienceShare = 0.3;

} // namespace

MemberQuotas::MemberQuotas(wire::MainLoop& loop, const ReplicaDirectory& directory, const QuotaBounds& bounds)
    : loop_(loop)
    , agents_(loop, directory, "quota agent did not answer")
    , bounds_(bounds)
{
}

auto MemberQuotas::chargeFor(const MemberRecord& member, ConfigVersion version, const RequestMetadata& metadata) const
    -> std::optional<QuotaCharge>
{
    const auto& quota = member.quota;
    if (!quota.limits())
        return std::nullopt;
    const auto tokens = static_cast<double>(metadata.promptTokens + metadata.outputTokens);
    const auto window = std::chrono::duration<double>(bounds_.window).count();
    const auto most = quota.ratePerSecond * window + quota.burst;
    const auto counted = tokens > 0 ? tokens : quota.defaultTokens;
    return QuotaCharge { .member = member.name,
        .amount = quota.unit == Quota::Unit::Tokens ? counted : 1,
        .version = version,
        .rate = { .perSecond = quota.ratePerSecond,
            .burst = quota.burst,
            .lenience = lenienceShare * (bounds_.overage * most + bounds_.slack) } };
}

auto MemberQuotas::countersOf(const MemberId& member) const -> Counters
{
    const auto key = decisions::nameHash(member.view());
    auto counters
        = agents_.first(key, countersPerMember, [this](const AgentLink& agent) { return agents_.canBeAsked(agent); });
    if (counters.size() == countersPerMember)
        return counters;
    // Agents that did not answer lately are better than none.
    for (auto* agent : agents_.first(key, countersPerMember - counters.size(),
             [this](const AgentLink& agent) { return CountingAgents::reachable(agent) && agents_.avoided(agent); }))
        counters.push_back(agent);
    return counters;
}

auto MemberQuotas::take(const QuotaCharge& charge, std::size_t entries) -> kj::Promise<QuotaDecision>
{
    return askNextCounter(charge, entries, 0);
}

auto MemberQuotas::askNextCounter(QuotaCharge charge, std::size_t entries, std::size_t asked)
    -> kj::Promise<QuotaDecision>
{
    const auto counters = asked < countersPerMember ? countersOf(charge.member) : Counters();
    if (counters.empty())
        return takeFromShare(charge, entries);
    auto& counter = *counters.front();
    auto asking = counter.takeQuota(charge);
    return agents_.answerOf(counter, kj::mv(asking))
        .then([this, charge = std::move(charge), entries, asked, peer = counter.endpoint()](
                  kj::Maybe<QuotaDecision>&& answer) mutable -> kj::Promise<QuotaDecision> {
            KJ_IF_MAYBE (decision, answer) {
                if (decision->granted) {
                    for (auto* other : countersOf(charge.member)) {
                        if (other->endpoint() != peer)
                            other->noteQuota(charge, decision->level);
                    }
                }
                return *decision;
            }
            return askNextCounter(std::move(charge), entries, asked + 1);
        });
}

auto MemberQuotas::takeFromShare(const QuotaCharge& charge, std::size_t entries) -> QuotaDecision
{
    const auto now = loop_.timers().now();
    const auto sharing = static_cast<double>(std::max<std::size_t>(entries, 1));
    auto& bucket = shareBuckets_[charge.member];
    bucket.setRate(
        { charge.rate.perSecond / sharing, charge.rate.burst / sharing, charge.rate.lenience / sharing }, now);
    const auto decision = bucket.take(charge.amount, now);
    return { decision.granted, std::chrono::duration_cast<milliseconds>(decision.retryAfter), bucket.level(now) };
}

auto MemberQuotas::giveBack(QuotaCharge charge) -> void
{
    charge.amount = -charge.amount;
    for (auto* counter : countersOf(charge.member))
        counter->noteQuota(charge, 0);
}

} // namespace eelgrass::serving
