#include "serving/RateLimits.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"
#include "serving/RateLimitRecord.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

// While no process that keeps permits can be reached, one is tried again after this.
constexpr auto keeperRetryInterval = Duration(1s);

} // namespace

RateLimits::RateLimits(
    wire::MainLoop& loop, const ReplicaDirectory& directory, router::Metrics& metrics, const std::string& entry)
    : loop_(loop)
    , directory_(directory)
    , metrics_(metrics)
    , entryHash_(decisions::nameHash(entry))
    , agents_(loop, directory, "rate limit agent did not answer")
{
}

auto RateLimits::observe(Replica& replica, const hosting::AnswerMetadata& answer, Moment requestedAt) -> void
{
    if (answer.rateLimitInvalid)
        log::warn("replica rate limit invalid", { { "replica", replica.id().str() } });
    // Only an answer that the replica itself has made can end its limit; a refusal may come from something before it.
    const auto canEnd = answer.sealed && !answer.rateLimitInvalid;
    if (answer.otherInstance || (!answer.rateLimit && !(canEnd && replica.rateLimit().perSecond())))
        return;
    const auto statement = decisions::RateLimitStatement { answer.rateLimit, requestedAt, loop_.timers().now() };
    apply(replica, statement, "answer");
    report(replica, statement);
}

auto RateLimits::applyPublished(const std::vector<ReplicaRateLimit>& limits, const Endpoint& agent) -> void
{
    for (const auto& limit : limits) {
        const auto found = directory_.all().find(limit.start.instance);
        if (found != directory_.all().end() && sameStart(found->second->record().start, limit.start))
            apply(*found->second, limit.statement, agent.str());
    }
}

auto RateLimits::apply(Replica& replica, const decisions::RateLimitStatement& statement, std::string_view source)
    -> void
{
    const auto before = replica.rateLimit().perSecond();
    const auto change = replica.rateLimit().apply(statement);
    recordRateLimitChange(
        metrics_, change, { replica.record().start, statement }, before, source, loop_.timers().now());
    if (replica.rateLimit().perSecond())
        recorded_.insert(replica.id());
    else
        replica.rateLimitEnded();
}

auto RateLimits::report(const Replica& replica, const decisions::RateLimitStatement& statement) -> void
{
    const auto limit = ReplicaRateLimit { replica.record().start, statement };
    if (replica.agent() && replica.agent()->alive())
        return replica.agent()->noteRateLimit(limit, true);
    for (const auto& keeper : keepersOf(replica))
        keeper.agent->noteRateLimit(limit, false);
}

auto RateLimits::keepersOf(const Replica& replica) const -> std::vector<Keeper>
{
    constexpr auto keepers = std::size_t(2);
    // The replica's own agent is the first choice where there is one.
    const auto* own = replica.agent() && !replica.agent()->seemsGone() ? replica.agent() : nullptr;
    const auto hubs = agents_.first(replica.idHash(), own ? keepers - 1 : keepers,
        [own](const AgentLink& agent) { return agent.isHub() && !agent.seemsGone() && &agent != own; });
    auto list = std::vector<Keeper>();
    for (auto* agent : hubs)
        list.push_back({ agent, own || agent != hubs.front() });
    return list;
}

auto RateLimits::take(const Replica& replica, std::uint32_t priority, std::size_t entries)
    -> kj::Promise<PermitDecision>
{
    const auto limit = ReplicaRateLimit { replica.record().start, *replica.rateLimit().last() };
    return askNextKeeper(limit, priority, keepersOf(replica))
        .then([this, limit, entries](kj::Maybe<PermitDecision>&& decision) {
            KJ_IF_MAYBE (given, decision)
                return *given;
            return takeFromShare(limit, entries);
        });
}

auto RateLimits::giveBack(const Replica& replica, const PermitDecision& decision) -> void
{
    if (!decision.granted || !decision.keeper || !replica.rateLimit().last())
        return;
    const auto limit = ReplicaRateLimit { replica.record().start, *replica.rateLimit().last() };
    for (const auto& [instance, other] : directory_.all()) {
        if (other->agent() && other->agent()->endpoint() == decision.keeper->agent)
            return other->agent()->returnPermit(limit, decision.keeper->standIn);
    }
}

auto RateLimits::askNextKeeper(ReplicaRateLimit limit, std::uint32_t priority, std::vector<Keeper> keepers)
    -> kj::Promise<kj::Maybe<PermitDecision>>
{
    std::erase_if(keepers, [this](const Keeper& keeper) { return !agents_.canBeAsked(*keeper.agent); });
    if (keepers.empty())
        return kj::Maybe<PermitDecision>();
    const auto keeper = keepers.front();
    auto asked = keeper.agent->takePermit(limit, priority, keeper.standIn);
    return agents_.answerOf(*keeper.agent, kj::mv(asked))
        .then([this, limit, priority, number = keepers.size(),
                  by = PermitKeeper { keeper.agent->endpoint(), keeper.standIn }](
                  kj::Maybe<PermitDecision>&& decision) -> kj::Promise<kj::Maybe<PermitDecision>> {
            KJ_IF_MAYBE (given, decision)
                given->keeper = by;
            if (decision != nullptr || number == 1)
                return kj::mv(decision);
            // The agents may have changed meanwhile, so they are chosen anew.
            const auto replica = directory_.all().find(limit.start.instance);
            if (replica == directory_.all().end())
                return kj::Maybe<PermitDecision>();
            return askNextKeeper(limit, priority, keepersOf(*replica->second));
        });
}

auto RateLimits::takeFromShare(const ReplicaRateLimit& limit, std::size_t entries) -> PermitDecision
{
    const auto& instance = limit.start.instance;
    const auto seed = decisions::rendezvousScore(entryHash_, decisions::nameHash(instance.view()));
    auto& share = shares_.try_emplace(instance, seed).first->second;
    const auto verdict = share.take(limit.statement.perSecond.value_or(0), entries, loop_.timers().now());
    // The slot may be far away, and the keepers are mostly back long before it.
    const auto askAgainAfter = std::min(verdict.askAgainAfter, keeperRetryInterval);
    return { verdict.granted, std::chrono::ceil<milliseconds>(askAgainAfter) };
}

auto RateLimits::retryAfter(const Replica& replica) -> milliseconds
{
    const auto now = loop_.timers().now();
    auto& returns = returns_[replica.id()];
    returns.setRate({ .perSecond = replica.rateLimit().perSecond().value_or(0) }, now);
    const auto wait = std::max(replica.nextPermitAt() - now, Duration(0)) + returns.refuse(1, now);
    return std::chrono::ceil<milliseconds>(wait);
}

auto RateLimits::countSend(const Replica& replica) -> void
{
    if (needsPermit(replica))
        metrics_.count("eelgrass_sends_to_limited_total", {});
}

auto RateLimits::forgetRemoved() -> void
{
    std::erase_if(recorded_, [this](const InstanceId& instance) {
        if (directory_.all().contains(instance))
            return false;
        forgetRateLimitGauge(metrics_, instance);
        shares_.erase(instance);
        returns_.erase(instance);
        return true;
    });
}

} // namespace eelgrass::serving
