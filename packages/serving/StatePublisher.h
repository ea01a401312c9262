#pragma once

#include "decisions/PublishPolicy.h"
#include "wire/MainLoop.h"
#include "wire/generated/Agent.capnp.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace eelgrass::serving {

/// Publishes a replica's state to the entries that are attached: changes gathered, when they matter, and by a
/// heartbeat; see `PublishPolicy`.
///
/// ```cpp
/// publisher.add(session, listener, near);
/// publisher.changed();
/// ```
class StatePublisher {
public:
    /// Where it reads what it publishes.
    struct Source {
        std::function<decisions::ReplicaLoad()> figures;
        /// Stands for everything that `fillNames` fills in: equal texts, equal names.
        std::function<std::string()> namesText;
        std::function<void(wire::schema::ReplicaState::Builder)> fillNames;
    };
    /// Names an entry's session.
    using Key = const void*;

    StatePublisher(wire::MainLoop& loop, Source source);
    KJ_DISALLOW_COPY(StatePublisher);

    auto start() -> void;
    auto add(Key key, wire::schema::ReplicaListener::Client client, bool near) -> void;
    auto remove(Key key) -> void { subscribers_.erase(key); }
    /// Publishes the state to a subscriber that has not received any yet.
    auto publishInitial(Key key) -> void;
    /// A request came from that entry: it waits to hear something.
    auto asked(Key key) -> void;
    /// Something may have changed.
    auto changed() -> void;
    [[nodiscard]] auto entries() const noexcept -> std::size_t { return subscribers_.size(); }
    /// The figures alone, as for an answer.
    auto fillFigures(wire::schema::ReplicaState::Builder state) const -> void;

private:
    using Audience = decisions::Audience;
    struct Subscriber {
        wire::schema::ReplicaListener::Client client;
        bool near = true;
        std::string names;
        decisions::ReplicaLoad figures;
        Moment publishedAt {};
        Moment askedAt {};
        /// The last update's call. Its finish travels with the next update, not in a message of its own that would wake
        /// the entry for nothing.
        kj::Promise<void> call = kj::READY_NOW;
    };
    struct Group {
        Timer soon;
        Timer heartbeat;
    };
    auto fillFigures(wire::schema::ReplicaState::Builder state, const decisions::ReplicaLoad& figures) const -> void;
    [[nodiscard]] auto audience(const Subscriber& subscriber) const -> Audience;
    [[nodiscard]] auto count(Audience audience) const -> std::size_t;
    auto publishSoon(Audience audience) -> void;
    auto publish(Audience audience, bool heartbeat) -> void;
    auto publish(Subscriber& subscriber, const std::string& names, const decisions::ReplicaLoad& figures) -> void;
    auto group(Audience audience) -> Group& { return groups_.at(static_cast<std::size_t>(audience)); }

    wire::MainLoop& loop_;
    Source source_;
    std::map<Key, Subscriber> subscribers_;
    std::array<Group, 3> groups_;
};

} // namespace eelgrass::serving
