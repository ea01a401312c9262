#pragma once

#include "decisions/ConfigurationFreshness.h"
#include "decisions/RemoteClock.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/MemberTable.h"
#include "serving/RouteTable.h"
#include "serving/Types.h"
#include "wire/MainLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace eelgrass::serving {

/// What the operator has put in force: the configuration and the versions of adapters. Both only rise, whoever tells.
///
/// The store is followed by a long poll; where it is closed to this host, other entries are the source.
class ConfigurationFollower {
public:
    using OnChange = std::function<void()>;
    struct Bounds {
        /// Within this a configuration must be in force.
        Duration inForce = 2s;
        /// Within this a key that was taken away must be out of use, also at entries that cannot hear of it; empty
        /// where such entries may go on.
        std::optional<Duration> keys;
    };

    ConfigurationFollower(wire::MainLoop& loop, hosting::Store& store, const Bounds& bounds, OnChange onChange);

    auto start() -> void { poll(); }
    /// Null until there is one.
    [[nodiscard]] auto configuration() const noexcept -> const std::shared_ptr<const ServingConfiguration>&
    {
        return configuration_;
    }
    [[nodiscard]] auto routes() const noexcept -> const RouteTable& { return routes_; }
    [[nodiscard]] auto members() const noexcept -> const MemberTable& { return members_; }
    /// Whether a request with a key may be sent now, for all that is known of what was taken away.
    [[nodiscard]] auto keysHold() const -> bool;
    /// How long ago the configuration was surely the newest.
    [[nodiscard]] auto age() const -> Duration { return freshness_.age(loop_.timers().now()); }
    /// The version that requests for an adapter must run; the first one unless a newer one was named.
    [[nodiscard]] auto versionOf(const BaseModel& model, const AdapterName& adapter) const -> AdapterVersion;

    /// Another entry's configuration, of which that entry knew `at`, at the earliest, that it was the newest. The text
    /// is empty where it is not newer than this entry's. Returns whether a new configuration came into force.
    auto learn(std::string_view text, Moment at, std::string_view source) -> bool;
    /// Takes a configuration from `source`, if it is newer; false where it cannot be understood.
    auto offer(std::string_view text, std::string_view source) -> bool;
    auto offerVersion(std::string_view text, std::string_view source) -> void;
    /// The named versions as peers are told them.
    [[nodiscard]] auto versionsText() const -> std::string;
    auto offerVersions(std::string_view text, std::string_view source) -> void;
    /// Another entry tells what the store has: it is not asked before `until`, once the present question is answered.
    auto spare(Moment until) -> void { sparedUntil_ = until; }
    /// Sets how this entry takes part in reading the store for its zone.
    auto setReadingRole(decisions::SharedReading::Role role) -> void;
    /// When the store last answered; empty before it did.
    [[nodiscard]] auto heardAt() const noexcept -> std::optional<Moment> { return heardAt_; }

private:
    auto poll() -> void;
    auto take(hosting::StoreAnswer answer) -> void;
    auto takeRows(const hosting::StoreAnswer& answer) -> void;
    auto takeRow(const hosting::Row& row) -> void;
    auto noteConfirmed(const hosting::StoreAnswer& answer) -> void;
    /// Reads the table without waiting for the pending long poll if the configuration was confirmed too long ago to
    /// spare other entries their own polls.
    auto refreshIfStale() -> void;
    [[nodiscard]] auto pollWait() const -> Duration;

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Bounds bounds_;
    OnChange onChange_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    RouteTable routes_;
    MemberTable members_;
    decisions::ConfigurationFreshness freshness_;
    decisions::RemoteClock storeClock_;
    /// The store's configuration could not be understood: what is in force is not the newest.
    bool misread_ = false;
    std::map<std::pair<BaseModel, AdapterName>, AdapterVersion> versions_;
    /// The store's version up to which everything is known; empty until the table was read.
    std::optional<std::uint64_t> known_;
    std::optional<Moment> heardAt_;
    bool reachable_ = false;
    Moment sparedUntil_ {};
    decisions::SharedReading::Role role_ = decisions::SharedReading::Role::Alone;
    kj::Maybe<kj::Promise<void>> work_;
    kj::Maybe<kj::Promise<void>> refreshRead_;
    bool refreshing_ = false;
    Timer retry_;
    Timer refreshTimer_;
};

} // namespace eelgrass::serving
