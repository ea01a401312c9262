#include "serving/StatePublisher.h"

#include <algorithm>

namespace eelgrass::serving {

namespace {

using decisions::PublishPolicy;

constexpr auto audiences = std::array { decisions::Audience::SameZone, decisions::Audience::RecentRequester,
    decisions::Audience::OtherZone };

} // namespace

StatePublisher::StatePublisher(wire::MainLoop& loop, Source source)
    : loop_(loop)
    , source_(std::move(source))
{
}

auto StatePublisher::start() -> void
{
    for (const auto audience : audiences)
        group(audience).heartbeat
            = loop_.timers().every(PublishPolicy::heartbeat(audience), [this, audience] { publish(audience, true); });
}

auto StatePublisher::add(Key key, wire::schema::ReplicaListener::Client client, bool near) -> void
{
    // Counted as asking: it knows nothing yet.
    subscribers_.emplace(key,
        Subscriber {
            .client = kj::mv(client), .near = near, .names = {}, .figures = {}, .askedAt = loop_.timers().now() });
    changed();
}

auto StatePublisher::publishInitial(Key key) -> void
{
    const auto found = subscribers_.find(key);
    if (found != subscribers_.end() && found->second.publishedAt == Moment())
        publish(found->second, source_.namesText(), source_.figures());
}

auto StatePublisher::asked(Key key) -> void
{
    if (const auto found = subscribers_.find(key); found != subscribers_.end())
        found->second.askedAt = loop_.timers().now();
}

auto StatePublisher::audience(const Subscriber& subscriber) const -> Audience
{
    if (subscriber.near)
        return Audience::SameZone;
    const auto asked = loop_.timers().now() - subscriber.askedAt <= PublishPolicy::requesterWindow;
    return asked ? Audience::RecentRequester : Audience::OtherZone;
}

auto StatePublisher::count(Audience audience) const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(subscribers_.begin(), subscribers_.end(),
        [&](const auto& entry) { return this->audience(entry.second) == audience; }));
}

auto StatePublisher::changed() -> void
{
    for (const auto audience : audiences)
        publishSoon(audience);
}

auto StatePublisher::publishSoon(Audience audience) -> void
{
    auto& soon = group(audience).soon;
    const auto entries = count(audience);
    if (soon.active() || entries == 0)
        return;
    soon = loop_.timers().after(PublishPolicy::batchingDelay(audience, entries), [this, audience] {
        group(audience).soon = {};
        publish(audience, false);
    });
}

auto StatePublisher::publish(Audience audience, bool heartbeat) -> void
{
    // Figures and names cost a pass over all that waits.
    if (count(audience) == 0)
        return;
    const auto now = loop_.timers().now();
    const auto figures = source_.figures();
    const auto names = source_.namesText();
    for (auto& [key, subscriber] : subscribers_) {
        if (this->audience(subscriber) != audience)
            continue;
        // One that was sent something lately needs no heartbeat.
        const auto beat = heartbeat && now - subscriber.publishedAt >= PublishPolicy::heartbeat(audience) / 2;
        if (beat || subscriber.askedAt > subscriber.publishedAt || subscriber.names != names
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
    subscriber.call = call.send().ignoreResult();
}

auto StatePublisher::fillFigures(wire::schema::ReplicaState::Builder state) const -> void
{
    fillFigures(state, source_.figures());
    state.setNumbersOnly(true);
}

auto StatePublisher::fillFigures(wire::schema::ReplicaState::Builder state, const decisions::ReplicaLoad& figures) const
    -> void
{
    constexpr auto thousand = 1000;
    state.setUsable(figures.usable);
    state.setRunning(static_cast<std::uint32_t>(figures.running));
    state.setQueued(static_cast<std::uint32_t>(figures.queued));
    state.setTokensAhead(figures.tokensAhead);
    state.setTokensWaiting(figures.tokensWaiting);
    state.setMemoryUsed(figures.memoryUsed);
    state.setSpareSlots(static_cast<std::uint32_t>(figures.spareSlots));
    state.setLoadsWaiting(static_cast<std::uint32_t>(figures.loadsWaiting));
    state.setReadRate(static_cast<std::uint32_t>(figures.readRate * thousand));
    state.setFailures(static_cast<std::uint16_t>(figures.failures * thousand));
    state.setEntries(static_cast<std::uint32_t>(entries()));
}

} // namespace eelgrass::serving
