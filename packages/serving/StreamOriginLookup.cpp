#include "serving/StreamOriginLookup.h"

#include "decisions/Rendezvous.h"
#include "serving/detail/FirstKnown.h"

namespace eelgrass::serving {

namespace {

// Agents that ask the other entries; two, since one may be suspended.
constexpr auto relays = std::size_t(2);
// Searches under way at one time. Each costs a message to every agent, and strangers can ask for streams that never
// were.
constexpr auto maxSearches = std::size_t(64);
// A reading of the list takes some milliseconds, and waits a little for others of its kind.
constexpr auto listTimeout = Duration(250ms);
// Without a session with every agent, how many are asked that are likely to have run the request.
constexpr auto maxLikelyAgents = std::size_t(8);

/// How long a stream can last, with all attempts of its client.
auto longestStream(const RouteRecord& route) -> Duration { return 2 * Duration(route.timeout); }

} // namespace

StreamOriginLookup::StreamOriginLookup(wire::MainLoop& loop, ReplicaDirectory& directory)
    : loop_(loop)
    , directory_(directory)
    , agents_(loop, directory, "agent did not tell of a stream")
{
}

auto StreamOriginLookup::note(const StreamId& stream, const StreamOrigin& origin, Duration keep)
    -> StreamOrigins::Statement
{
    const auto now = loop_.timers().now();
    origins_.note(stream, origin, now, keep);
    return { stream, { origin, now, now + keep } };
}

auto StreamOriginLookup::known(const StreamId& stream) const -> std::optional<StreamOrigins::Known>
{
    return origins_.find(stream, loop_.timers().now());
}

auto StreamOriginLookup::configure(std::shared_ptr<const ServingConfiguration> configuration) -> void
{
    const auto replaced = std::exchange(configuration_, std::move(configuration));
    if (!replaced)
        return;
    const auto now = loop_.timers().now();
    for (const auto& route : replaced->routes) {
        for (const auto& share : route.shares)
            replacedServices_.note(route.name, share.service, now);
    }
    replacedServices_.forgetOld(now);
}

auto StreamOriginLookup::find(const StreamId& stream, const Query& query) -> kj::Promise<Answer>
{
    if (const auto own = known(stream))
        return Answer { own->origin, "this entry", loop_.timers().now() - own->notedAt };
    if (searches_ >= maxSearches)
        return Answer();
    ++searches_;
    return askAgents(stream, query)
        .then([this, stream](Answer&& answer) -> kj::Promise<Answer> {
            return answer.origin ? kj::Promise<Answer>(std::move(answer)) : askEntries(stream);
        })
        .then([this, route = query.route](Answer&& answer) -> kj::Promise<Answer> {
            return answer.origin ? kj::Promise<Answer>(std::move(answer)) : proveByVersions(route);
        })
        .attach(kj::defer([this] { --searches_; }));
}

auto StreamOriginLookup::askAgents(const StreamId& stream, const Query& query) -> kj::Promise<Answer>
{
    auto agents = CountingAgents::Agents();
    for (const auto& [instance, replica] : directory_.all()) {
        auto* agent = replica->agent();
        if (agent && agent->persistent() && !agents_.avoided(*agent))
            agents.push_back(agent);
    }
    auto likely = std::size_t(0);
    for (const auto& replica : directory_.candidates(query.placement, [](const Replica&) { return true; })) {
        auto* agent = replica->agent();
        if (agent && !agent->persistent() && agents_.canBeAsked(*agent) && likely++ < maxLikelyAgents)
            agents.push_back(agent);
    }
    return ask(agents, stream, false);
}

auto StreamOriginLookup::askEntries(const StreamId& stream) -> kj::Promise<Answer>
{
    const auto key = decisions::nameHash(stream.attempt.view());
    return ask(agents_.first(key, relays, [](const AgentLink& agent) { return agent.isHub() && agent.alive(); }),
        stream, true);
}

auto StreamOriginLookup::ask(const CountingAgents::Agents& agents, const StreamId& stream, bool entries)
    -> kj::Promise<Answer>
{
    using Found = std::optional<Answer>;
    auto answers = std::vector<kj::Promise<Found>>();
    for (auto* agent : agents) {
        answers.push_back(agents_.answerOf(*agent, agent->findStreamOrigin(stream, entries))
                              .then([this, entries, peer = agent->endpoint()](
                                        kj::Maybe<std::optional<StreamOrigins::Known>>&& answer) -> Found {
                                  KJ_IF_MAYBE (known, answer) {
                                      if (*known) {
                                          return Answer { (*known)->origin,
                                              (entries ? "an entry, by agent " : "agent ") + peer.str(),
                                              loop_.timers().now() - (*known)->notedAt };
                                      }
                                  }
                                  return std::nullopt;
                              }));
    }
    return detail::firstKnown(loop_, std::move(answers), 2 * agents_.answerTimeout).then([](Found&& found) {
        return std::move(found).value_or(Answer());
    });
}

auto StreamOriginLookup::onlyVersion(const RouteRecord& route) const -> std::optional<StreamOrigin>
{
    if (route.shares.size() != 1)
        return std::nullopt;
    const auto& service = route.shares.front().service;
    if (replacedServices_.hadOther(route.name, service, loop_.timers().now() - longestStream(route)))
        return std::nullopt;
    const auto software = directory_.onlySoftware(service, longestStream(route));
    return software.empty() ? std::nullopt : std::optional(StreamOrigin { service, software });
}

auto StreamOriginLookup::proveByVersions(const RouteRecord& route) -> kj::Promise<Answer>
{
    if (!onlyVersion(route))
        return Answer();
    return directory_.confirmList()
        .exclusiveJoin(loop_.sleep(listTimeout).then([] { return false; }))
        .then([this, route](bool read) -> Answer {
            const auto origin = read ? onlyVersion(route) : std::nullopt;
            return origin ? Answer { origin, "the only version of the service" } : Answer();
        });
}

} // namespace eelgrass::serving
