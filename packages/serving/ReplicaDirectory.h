#pragma once

#include "decisions/LapseGrace.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/Replica.h"
#include "serving/Types.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrass::serving {

/// All replicas of all services, from the platform's list.
class ReplicaDirectory {
public:
    struct Hooks {
        /// An agent told how its replica stands.
        std::function<void(const ReplicaSnapshot&)> onState;
    };

    /// Who asks, and what agents and leaving replicas are to expect of it.
    struct Options {
        std::string entry;
        AvailabilityZone zone {};
        std::uint16_t agentPort = 0;
        /// Within this a replica that leaves gets nothing new.
        Duration drainBound = 2s;
    };

    ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks);

    auto start() -> void;
    /// Services whose replicas have an agent beside them.
    auto configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder) -> void;
    [[nodiscard]] auto of(const ServiceName& service) const -> const std::vector<ReplicaPtr>&;
    [[nodiscard]] auto all() const noexcept -> const std::map<InstanceId, ReplicaPtr>& { return replicas_; }
    /// Whether the list has been read, from the store or from a peer.
    [[nodiscard]] auto known() const noexcept -> bool { return known_; }
    /// Since when the store has not told it; empty while it does.
    [[nodiscard]] auto lostSince() const noexcept -> std::optional<Moment> { return lostSince_; }
    /// Divides the connections that each replica takes among the entries.
    auto shareConnections(std::size_t entries) -> void;
    /// The list as peers are told it.
    [[nodiscard]] auto text() const -> std::string;
    /// A peer's list, for an entry that has none of its own, and how long ago the peer read it.
    auto offer(std::string_view text, Duration age, std::string_view source) -> void;
    /// How long ago the store told the list; the longest time when it never did.
    [[nodiscard]] auto listAge() const -> Duration;
    /// Names the list as peers are told it: another number, another list. Never 0.
    [[nodiscard]] auto listNumber() const noexcept -> std::uint64_t { return listNumber_; }
    /// The list as the reader of this zone read it `age` ago; without a text it is as that reader last told it.
    auto follow(std::string_view text, Duration age, std::string_view source) -> void;
    /// Told by the reader of the zone: the store is not read before `until`.
    auto spare(Moment until) -> void { sparedUntil_ = until; }
    [[nodiscard]] auto spared() const -> bool { return loop_.timers().now() < sparedUntil_; }
    /// Whether others of the zone ask this entry for what it reads.
    auto readForOthers(bool shared) -> void;
    /// Counts the readings of its own.
    [[nodiscard]] auto readings() const noexcept -> std::uint64_t { return readings_; }
    /// Another replica answers at this address: the instance is gone.
    auto gone(const InstanceId& instance, std::string_view why) -> void;

private:
    struct Listed {
        InstanceId instance;
        std::string text;
        /// Of its row in the store.
        std::uint64_t version = 0;
    };
    [[nodiscard]] auto parsePeerList(std::string_view text, std::string_view source) const
        -> std::optional<std::vector<Listed>>;
    auto noteChange() -> void { ++listNumber_; }
    auto poll() -> void;
    auto take(hosting::StoreAnswer answer) -> void;
    auto apply(const std::vector<Listed>& list, std::string_view source) -> void;
    auto put(const Listed& listed, std::string_view source) -> void;
    auto putUnreadable(const Listed& listed, const std::string& reason) -> void;
    auto noteListed(const std::vector<Listed>& list, Moment now) -> void;
    auto removeMissing(const std::vector<Listed>& list, const std::function<bool(const Replica&)>& gone) -> void;
    [[nodiscard]] auto made(ReplicaRecord record, std::string_view source) -> ReplicaPtr;
    auto remove(const ReplicaPtr& replica, std::string_view why) -> void;
    auto index() -> void;
    auto findSuperseded() -> void;
    auto linkAgent(const ReplicaPtr& replica) -> void;

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Options options_;
    Hooks hooks_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    std::string holder_;
    std::map<InstanceId, ReplicaPtr> replicas_;
    /// The list's readable entries as they were read, for peers.
    std::map<InstanceId, Listed> texts_;
    /// Versions of the rows that could not be read, so that each is told once.
    std::map<InstanceId, std::uint64_t> unreadable_;
    std::map<ServiceName, std::vector<ReplicaPtr>> byService_;
    bool known_ = false;
    bool reachable_ = false;
    decisions::LapseGrace grace_;
    std::optional<Moment> lostSince_;
    std::optional<Moment> readAt_;
    kj::Maybe<kj::Promise<void>> work_;
    decisions::SharedReading sharing_;
    /// Begins at random, so that no two starts of an entry name two lists alike.
    std::uint64_t listNumber_;
    std::uint64_t readings_ = 0;
    bool shared_ = false;
    Moment sparedUntil_ {};
    Timer timer_;
};

} // namespace eelgrass::serving
