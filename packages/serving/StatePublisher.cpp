#include "serving/StatePublisher.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace eelgrass::serving {

namespace {

using decisions::PublishPolicy;

constexpr auto audiences = std::array { decisions::Audience::SameZone, decisions::Audience::RecentRequester,
    decisions::Audience::OtherZone };

} // namespace

StatePublisher::StatePublisher(wire::MainLoop& loop, Source source, OnSilent onSilent)
    : loop_(loop)
    , source_(std::move(source))
    , onSilent_(std::move(onSilent))
{
}

auto StatePublisher::start() -> void
{
    for (const auto audience : audiences) {
        group(audience).heartbeat = loop_.timers().every(PublishPolicy::heartbeat(audience), [this, audience] {
            findSilent(audience);
            publish(audience, true);
        });
    }
}

auto StatePublisher::findSilent(Audience audience) -> void
{
    auto silent = std::vector<Key>();
    for (auto& [key, subscriber] : subscribers_) {
        if (this->audience(subscriber) != audience)
            continue;
        const auto answered = std::exchange(subscriber.answered, false);
        subscriber.unansweredHeartbeats = answered ? 0 : subscriber.unansweredHeartbeats + 1;
        if (subscriber.unansweredHeartbeats == PublishPolicy::maxUnansweredHeartbeats(audience))
            silent.push_back(key);
    }
    for (const auto& key : silent)
        onSilent_(key);
}

auto StatePublisher::add(Key key, wire::schema::ReplicaListener::Client client, bool sameZone) -> void
{
    // A new subscriber counts as one with a recent request, because it has no state yet.
    subscribers_.emplace(key,
        Subscriber { .client = kj::mv(client),
            .sameZone = sameZone,
            .names = {},
            .figures = {},
            .requestedAt = loop_.timers().now() });
    changed();
}

auto StatePublisher::publishInitial(Key key) -> void
{
    const auto found = subscribers_.find(key);
    if (found != subscribers_.end() && found->second.publishedAt == Moment())
        publish(found->second, source_.namesFingerprint(), source_.figures());
}

auto StatePublisher::noteRequest(Key key) -> void
{
    if (const auto found = subscribers_.find(key); found != subscribers_.end())
        found->second.requestedAt = loop_.timers().now();
}

auto StatePublisher::audience(const Subscriber& subscriber) const -> Audience
{
    if (subscriber.sameZone)
        return Audience::SameZone;
    const auto hasRequested = loop_.timers().now() - subscriber.requestedAt <= PublishPolicy::requesterWindow;
    return hasRequested ? Audience::RecentRequester : Audience::OtherZone;
}

auto StatePublisher::count(Audience audience) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(subscribers_.begin(), subscribers_.end(),
        [&](const auto& entry) { return this->audience(entry.second) == audience; }));
}

auto StatePublisher::changed() -> void
{
    for (const auto audience : audiences)
        schedulePublication(audience);
}

auto StatePublisher::schedulePublication(Audience audience) -> void
{
    auto& batchTimer = group(audience).batchTimer;
    const auto entries = count(audience);
    if (batchTimer.active() || entries == 0)
        return;
    batchTimer = loop_.timers().after(
        PublishPolicy::batchingDelay(audience, entries), [this, audience] { publish(audience, false); });
}

auto StatePublisher::publish(Audience audience, bool heartbeat) -> void
{
    // Computing the figures and names takes a pass over the whole queue.
    if (count(audience) == 0)
        return;
    const auto now = loop_.timers().now();
    const auto figures = source_.figures();
    const auto names = source_.namesFingerprint();
    for (auto& [key, subscriber] : subscribers_) {
        if (this->audience(subscriber) != audience)
            continue;
        // A subscriber that has recently been sent an update needs no heartbeat.
        const auto heartbeatDue = heartbeat && now - subscriber.publishedAt >= PublishPolicy::heartbeat(audience) / 2;
        if (heartbeatDue || subscriber.requestedAt > subscriber.publishedAt || subscriber.names != names
            || PublishPolicy::shouldPublish(audience, subscriber.figures, figures))
            publish(subscriber, names, figures);
    }
}

auto StatePublisher::publish(Subscriber& subscriber, const std::string& names, const decisions::ReplicaLoad& figures)
    -> void
{
    auto call = subscriber.client.changedRequest();
    auto state = call.initState();
    fillFigures(state, figures);
    state.setNumbersOnly(subscriber.names == names);
    if (!state.getNumbersOnly())
        source_.fillNames(state);
    subscriber.names = names;
    subscriber.figures = figures;
    subscriber.publishedAt = loop_.timers().now();
    subscriber.call = call.send()
                          .then([&subscriber](UpdateAnswer&& answer) {
                              subscriber.answered = true;
                              return kj::mv(answer);
                          })
                          .eagerlyEvaluate(nullptr);
}

auto StatePublisher::fillFigures(wire::schema::ReplicaState::Builder state) const -> void
{
    fillFigures(state, source_.figures());
    state.setNumbersOnly(true);
}

auto StatePublisher::fillFigures(wire::schema::ReplicaState::Builder state, const decisions::ReplicaLoad& figures) const
    -> void
{
    constexpr auto fixedPointScale = 1000;
    state.setUsable(figures.usable);
    state.setRunning(static_cast<std::uint32_t>(figures.running));
    state.setQueued(static_cast<std::uint32_t>(figures.queued));
    state.setTokensAhead(figures.tokensAhead);
    state.setTokensWaiting(figures.tokensWaiting);
    state.setMemoryUsed(figures.memoryUsed);
    state.setSpareSlots(static_cast<std::uint32_t>(figures.spareSlots));
    state.setLoadsWaiting(static_cast<std::uint32_t>(figures.loadsWaiting));
    state.setReadRate(static_cast<std::uint32_t>(figures.readRate * fixedPointScale));
    state.setFailures(static_cast<std::uint16_t>(figures.failures * fixedPointScale));
    state.setPermitWaitMs(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(figures.permitWait).count()));
    state.setEntries(static_cast<std::uint32_t>(entries()));
}

} // namespace eelgrass::serving
