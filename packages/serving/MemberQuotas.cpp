#include "serving/MemberQuotas.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// Number of agents that count one member's usage.
constexpr auto countersPerMember = std::size_t(2);
// An agent answers within a few milliseconds, and within some tens of milliseconds on a host that has become slow.
constexpr auto answerTimeout = Duration(80ms);
// How long an agent that did not answer is avoided. Such an agent is frozen or unreachable, and every request would
// wait for it.
constexpr auto avoidTime = Duration(2s);
// Share of the allowed overage per window that one agent grants; the rest covers entries that briefly ask different
// agents.
constexpr auto lenienceShare = 0.3;

} // namespace

MemberQuotas::MemberQuotas(wire::MainLoop& loop, const ReplicaDirectory& directory, const QuotaBounds& bounds)
    : loop_(loop)
    , directory_(directory)
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
    struct Candidate {
        AgentLink* link;
        bool avoided;
        std::uint64_t score;
    };
    const auto now = loop_.timers().now();
    const auto key = decisions::nameHash(member.view());
    auto candidates = std::vector<Candidate>();
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (!agent || !(agent->alive() || agent->mayOpen()))
            continue;
        const auto entry = avoidedUntil_.find(agent->endpoint());
        candidates.push_back({ agent, entry != avoidedUntil_.end() && now < entry->second,
            decisions::rendezvousScore(key, agent->endpointHash()) });
    }
    const auto count = std::min(countersPerMember, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate& left, const Candidate& right) {
            return left.avoided == right.avoided ? left.score > right.score : right.avoided;
        });
    auto counters = Counters();
    for (auto index = std::size_t(0); index < count; ++index)
        counters.push_back(candidates[index].link);
    return counters;
}

auto MemberQuotas::askCounter(AgentLink& counter, const QuotaCharge& charge) -> kj::Promise<kj::Maybe<QuotaDecision>>
{
    using Answer = kj::Maybe<QuotaDecision>;
    return counter.takeQuota(charge)
        .then([](QuotaDecision&& decision) -> Answer { return decision; })
        .exclusiveJoin(loop_.sleep(answerTimeout).then([]() -> Answer { return nullptr; }))
        .catch_([](kj::Exception&&) -> Answer { return nullptr; });
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
    const auto peer = counters.front()->endpoint();
    auto answer = askCounter(*counters.front(), charge);
    return answer.then([this, charge = std::move(charge), entries, asked, peer](
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
        log::warn("quota agent did not answer", { { "peer", peer.str() } });
        avoidedUntil_[peer] = loop_.timers().now() + avoidTime;
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
