#include "serving/MemberQuotas.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// Agents that count for one member.
constexpr auto boardsOfMember = std::size_t(2);
// An agent answers within a few milliseconds, and on a host that has turned slow within some ten.
constexpr auto answerLimit = Duration(80ms);
// A silent agent is passed over for this long: it is frozen or cut off, and every request would wait for it.
constexpr auto restTime = Duration(2s);
// Of what a limit may be passed by in a window; the rest is for entries that ask different agents for a moment.
constexpr auto lenientShare = 0.3;

} // namespace

MemberQuotas::MemberQuotas(wire::MainLoop& loop, const ReplicaDirectory& directory, const QuotaBounds& bounds)
    : loop_(loop)
    , directory_(directory)
    , bounds_(bounds)
{
}

auto MemberQuotas::chargeFor(const MemberRecord& member, ConfigVersion version, const RequestMetadata& facts) const
    -> std::optional<QuotaCharge>
{
    const auto& quota = member.quota;
    if (!quota.limits())
        return std::nullopt;
    const auto tokens = static_cast<double>(facts.promptTokens + facts.outputTokens);
    const auto window = std::chrono::duration<double>(bounds_.window).count();
    const auto most = quota.ratePerSecond * window + quota.burst;
    const auto counted = tokens > 0 ? tokens : quota.defaultTokens;
    return QuotaCharge { .member = member.name,
        .amount = quota.unit == Quota::Unit::Tokens ? counted : 1,
        .version = version,
        .rate = { .perSecond = quota.ratePerSecond,
            .burst = quota.burst,
            .lenience = lenientShare * (bounds_.overage * most + bounds_.slack) } };
}

auto MemberQuotas::boardsOf(const MemberId& member) const -> Boards
{
    struct Candidate {
        AgentLink* link;
        bool rests;
        std::uint64_t score;
    };
    const auto now = loop_.timers().now();
    const auto key = decisions::nameHash(member.view());
    auto candidates = std::vector<Candidate>();
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (!agent || !(agent->alive() || agent->mayOpen()))
            continue;
        const auto resting = resting_.find(agent->endpoint());
        candidates.push_back({ agent, resting != resting_.end() && now < resting->second,
            decisions::rendezvousScore(key, agent->endpointHash()) });
    }
    const auto count = std::min(boardsOfMember, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
        [](const Candidate& left, const Candidate& right) {
            return left.rests == right.rests ? left.score > right.score : right.rests;
        });
    auto boards = Boards();
    for (auto index = std::size_t(0); index < count; ++index)
        boards.push_back(candidates[index].link);
    return boards;
}

auto MemberQuotas::ask(AgentLink& board, const QuotaCharge& charge) -> kj::Promise<kj::Maybe<QuotaDecision>>
{
    using Answer = kj::Maybe<QuotaDecision>;
    return board.takeQuota(charge)
        .then([](QuotaDecision&& verdict) -> Answer { return verdict; })
        .exclusiveJoin(loop_.sleep(answerLimit).then([]() -> Answer { return nullptr; }))
        .catch_([](kj::Exception&&) -> Answer { return nullptr; });
}

auto MemberQuotas::take(const QuotaCharge& charge, std::size_t entries) -> kj::Promise<QuotaDecision>
{
    return askNext(charge, entries, 0);
}

auto MemberQuotas::askNext(QuotaCharge charge, std::size_t entries, std::size_t asked) -> kj::Promise<QuotaDecision>
{
    const auto boards = asked < boardsOfMember ? boardsOf(charge.member) : Boards();
    if (boards.empty())
        return takeShare(charge, entries);
    const auto peer = boards.front()->endpoint();
    auto answer = ask(*boards.front(), charge);
    return answer.then([this, charge = std::move(charge), entries, asked, peer](
                           kj::Maybe<QuotaDecision>&& answer) mutable -> kj::Promise<QuotaDecision> {
        KJ_IF_MAYBE (verdict, answer) {
            if (verdict->granted) {
                for (auto* other : boardsOf(charge.member)) {
                    if (other->endpoint() != peer)
                        other->noteQuota(charge, verdict->level);
                }
            }
            return *verdict;
        }
        log::warn("quota not told", { { "peer", peer.str() } });
        resting_[peer] = loop_.timers().now() + restTime;
        return askNext(std::move(charge), entries, asked + 1);
    });
}

auto MemberQuotas::takeShare(const QuotaCharge& charge, std::size_t entries) -> QuotaDecision
{
    const auto now = loop_.timers().now();
    const auto sharing = static_cast<double>(std::max<std::size_t>(entries, 1));
    auto& bucket = shares_[charge.member];
    bucket.setRate(
        { charge.rate.perSecond / sharing, charge.rate.burst / sharing, charge.rate.lenience / sharing }, now);
    const auto verdict = bucket.take(charge.amount, now);
    return { verdict.granted, std::chrono::duration_cast<milliseconds>(verdict.retryAfter), bucket.level(now) };
}

auto MemberQuotas::giveBack(QuotaCharge charge) -> void
{
    charge.amount = -charge.amount;
    for (auto* board : boardsOf(charge.member))
        board->noteQuota(charge, 0);
}

} // namespace eelgrass::serving
