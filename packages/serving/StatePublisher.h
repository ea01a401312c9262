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

/// Publishes a replica's state to the attached entries. Changes are batched and sent if they are significant, and a
/// heartbeat is sent otherwise; see `PublishPolicy`.
///
/// ```cpp
/// publisher.add(session, listener, sameZone);
/// publisher.changed();
/// ```
class StatePublisher {
public:
    /// Callbacks that supply the state to publish.
    struct Source {
        std::function<decisions::ReplicaLoad()> figures;
        /// Returns a text that changes whenever the data that `fillNames` fills in changes.
        std::function<std::string()> namesFingerprint;
        std::function<void(wire::schema::ReplicaState::Builder)> fillNames;
    };
    /// Identifies an entry's session.
    using Key = const void*;
    /// Called with the session of an entry that no longer answers.
    using OnSilent = std::function<void(Key)>;

    StatePublisher(wire::MainLoop& loop, Source source, OnSilent onSilent);
    KJ_DISALLOW_COPY(StatePublisher);

    auto start() -> void;
    auto add(Key key, wire::schema::ReplicaListener::Client client, bool sameZone) -> void;
    auto remove(Key key) -> void { subscribers_.erase(key); }
    /// Publishes the state to a subscriber that has not received any yet.
    auto publishInitial(Key key) -> void;
    /// Notes a request from the entry: the next publication includes the entry even if nothing significant has changed.
    auto noteRequest(Key key) -> void;
    /// Schedules a publication, because the state may have changed.
    auto changed() -> void;
    [[nodiscard]] auto entries() const noexcept -> std::size_t { return subscribers_.size(); }
    /// Calls `use` with the listener of each entry but `except`.
    template <typename Use> auto forOtherListeners(Key except, Use&& use) -> void
    {
        for (auto& [key, subscriber] : subscribers_) {
            if (key != except)
                use(subscriber.client);
        }
    }
    /// Fills in the figures without the names, for the answer to a request.
    auto fillFigures(wire::schema::ReplicaState::Builder state) const -> void;

private:
    using Audience = decisions::Audience;
    using UpdateAnswer = capnp::Response<wire::schema::ReplicaListener::ChangedResults>;
    struct Subscriber {
        wire::schema::ReplicaListener::Client client;
        bool sameZone = true;
        std::string names;
        decisions::ReplicaLoad figures;
        Moment publishedAt {};
        Moment requestedAt {};
        /// The RPC call that sent the last update. The call is kept until the next update, so that its Finish message
        /// is sent together with that update; sent alone, the message would wake the entry for nothing.
        kj::Maybe<kj::Promise<UpdateAnswer>> call {};
        /// Whether the entry has answered an update since the last heartbeat, and how many heartbeats it had not.
        bool answered = true;
        unsigned unansweredHeartbeats = 0;
    };
    struct Group {
        Timer batchTimer;
        Timer heartbeat;
    };
    auto fillFigures(wire::schema::ReplicaState::Builder state, const decisions::ReplicaLoad& figures) const -> void;
    [[nodiscard]] auto audience(const Subscriber& subscriber) const -> Audience;
    [[nodiscard]] auto count(Audience audience) const -> std::size_t;
    auto schedulePublication(Audience audience) -> void;
    auto publish(Audience audience, bool heartbeat) -> void;
    auto publish(Subscriber& subscriber, const std::string& names, const decisions::ReplicaLoad& figures) -> void;
    /// Counts a heartbeat of the audience, and reports the entries that have answered none for too long.
    auto findSilent(Audience audience) -> void;
    auto group(Audience audience) -> Group& { return groups_.at(static_cast<std::size_t>(audience)); }

    wire::MainLoop& loop_;
    Source source_;
    OnSilent onSilent_;
    std::map<Key, Subscriber> subscribers_;
    std::array<Group, 3> groups_;
};

} // namespace eelgrass::serving
