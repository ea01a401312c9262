#pragma once

#include "decisions/ConfigurationFreshness.h"
#include "decisions/SharedReading.h"
#include "platform/Documents.h"
#include "platform/Store.h"
#include "serving/AdapterVersions.h"
#include "serving/MemberTable.h"
#include "serving/RouteTable.h"
#include "serving/Types.h"
#include "wire/MainLoop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace eelgrass::serving {

/// Who last confirmed that the configuration in force is the newest, and which moment counts.
struct Confirmation {
    std::string source;
    /// `asked`, `waited` (the end of a long poll's wait) or `peer` (the age that another entry told).
    std::string_view clock;
};

/// Keeps the operator's configuration and the adapter versions up to date. A version lower than the current one is
/// ignored, whatever its source.
///
/// Both are read from the store by long polls. While the store refuses this host, they come from other entries.
class ConfigurationFollower {
public:
    struct Hooks {
        std::function<void()> onChange;
        AdapterVersions::OnInForce onVersionInForce {};
        /// A confirmation was told to be later than the present.
        std::function<void(std::string_view source)> onFutureConfirmation {};
    };
    struct Bounds {
        /// Time within which a new configuration must be in force.
        Duration inForce = 2s;
        /// Time within which a removed key must be out of use, also at entries that cannot learn of the removal. If
        /// empty, such entries may go on accepting keys.
        std::optional<Duration> keys;
    };

    ConfigurationFollower(wire::MainLoop& loop, hosting::Store& store, const Bounds& bounds, Hooks hooks);

    auto start() -> void { poll(); }
    /// The configuration in force; null until one is known.
    [[nodiscard]] auto configuration() const noexcept -> const std::shared_ptr<const ServingConfiguration>&
    {
        return configuration_;
    }
    /// When the configuration in force came into force.
    [[nodiscard]] auto inForceSince() const noexcept -> Moment { return inForceSince_; }
    [[nodiscard]] auto routes() const noexcept -> const RouteTable& { return routes_; }
    [[nodiscard]] auto members() const noexcept -> const MemberTable& { return members_; }
    /// Whether the configuration is recent enough to accept keys.
    [[nodiscard]] auto keysUsable() const -> bool;
    /// Time since the configuration was last confirmed to be the newest.
    [[nodiscard]] auto age() const -> Duration { return freshness_.age(loop_.timers().now()); }
    [[nodiscard]] auto confirmation() const noexcept -> const Confirmation& { return confirmation_; }
    /// The adapter versions that the operator has named, as far as this entry knows.
    [[nodiscard]] auto versions() const noexcept -> const AdapterVersions& { return versions_; }

    /// Applies another entry's configuration, which was the newest at `at` or later. `text` is empty if that
    /// configuration is not newer than this entry's own. Returns whether a new configuration came into force.
    auto applyFromPeer(std::string_view text, Moment at, std::string_view source) -> bool;
    /// Applies a configuration if it is newer. Returns false if it cannot be parsed.
    auto applyConfiguration(std::string_view text, std::string_view source) -> bool;
    auto applyAdapterVersion(std::string_view text, std::string_view source) -> void;
    /// Applies an adapter version that another process knows, named at `namedAfter` or later.
    auto noteAdapterVersion(
        const hosting::NamedVersion& named, std::string_view source, const std::optional<Moment>& namedAfter) -> void;
    /// Applies another entry's adapter versions, received in answer to a query of `askedAt`.
    auto applyAdapterVersions(std::string_view text, std::string_view source, Moment askedAt) -> void;
    /// Suspends polling the store until `until`, after the pending poll has ended, because another entry supplies the
    /// data.
    auto skipPollsUntil(Moment until) -> void { skipPollsUntil_ = until; }
    /// Sets how this entry takes part in reading the store for its zone.
    auto setReadingRole(decisions::SharedReading::Role role) -> void;
    /// When the store last answered; empty before the first answer.
    [[nodiscard]] auto lastAnswerAt() const noexcept -> std::optional<Moment> { return lastAnswerAt_; }

private:
    auto poll() -> void;
    auto onStoreAnswer(hosting::StoreAnswer answer) -> void;
    auto applyRows(const hosting::StoreAnswer& answer) -> void;
    auto applyRow(const hosting::Row& row) -> void;
    auto applyConfigurationRow(const hosting::Row& row) -> void;
    auto noteConfirmed(const hosting::StoreAnswer& answer) -> void;
    auto confirm(Moment at, Confirmation confirmation) -> void;
    /// Reads the table at once, without waiting for the pending long poll, if the configuration was confirmed so long
    /// ago that the entries of the zone would poll the store themselves.
    auto refreshIfStale() -> void;
    [[nodiscard]] auto pollWait() const -> Duration;
    [[nodiscard]] auto longestPollWait() const -> Duration;
    [[nodiscard]] auto keysInUse() const -> bool { return bounds_.keys && !members_.empty(); }

    wire::MainLoop& loop_;
    hosting::Store& store_;
    Bounds bounds_;
    Hooks hooks_;
    std::shared_ptr<const ServingConfiguration> configuration_;
    Moment inForceSince_ {};
    RouteTable routes_;
    MemberTable members_;
    decisions::ConfigurationFreshness freshness_;
    Confirmation confirmation_;
    /// The configuration in the store could not be parsed, so the one in force is not the newest.
    bool storeRowUnreadable_ = false;
    /// The newest version of its row that was read.
    std::uint64_t storeRowVersion_ = 0;
    /// As of when the store's last answer was.
    std::optional<Moment> storeAsOf_;
    AdapterVersions versions_;
    /// Version of the store up to which all changes are known; empty until the table has been read.
    std::optional<std::uint64_t> knownVersion_;
    std::optional<Moment> lastAnswerAt_;
    bool storeReachable_ = false;
    Moment skipPollsUntil_ {};
    decisions::SharedReading::Role role_ = decisions::SharedReading::Role::Alone;
    kj::Maybe<kj::Promise<void>> pendingPoll_;
    kj::Maybe<kj::Promise<void>> refreshRead_;
    bool refreshing_ = false;
    Timer pollTimer_;
    Timer refreshTimer_;
};

} // namespace eelgrass::serving
