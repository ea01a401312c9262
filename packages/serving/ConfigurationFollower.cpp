#include "serving/ConfigurationFollower.h"

#include "base/DurationText.h"
#include "base/Log.h"

namespace eelgrass::serving {

namespace {

constexpr auto table = "op";
constexpr auto configurationKey = "config";
constexpr auto versionPrefix = std::string_view("version/");
// Share of `Bounds::inForce` after which a long poll without changes ends. A dead connection is detected shortly after
// that, within the time in which a host must be in contact again. A shorter poll would cost more calls, and each call
// to the store is billed.
constexpr auto pollShare = 0.75;
// If keys are in use, a long poll lasts at most a fifth of `Bounds::keys`: the configuration ages by the poll, by the
// interval at which the reader of the zone is asked, and by the time for which entries continue without the store.
// Three fifths are left for that time.
constexpr auto keyPollShare = 0.2;
// Part of `Bounds::keys` reserved for a request in transit to a replica and for a process that is slow to send it.
constexpr auto keyMargin = Duration(300ms);
// Share of the bound between the first reading and the first long poll. Most entries have found their zone's reader by
// then and need no poll of their own.
constexpr auto firstPollShare = 0.2;

} // namespace

ConfigurationFollower::ConfigurationFollower(
    wire::MainLoop& loop, hosting::Store& store, const Bounds& bounds, Hooks hooks)
    : loop_(loop)
    , store_(store)
    , bounds_(bounds)
    , hooks_(std::move(hooks))
    , freshness_(bounds.keys ? std::max(*bounds.keys - keyMargin, Duration(0)) : Duration::max())
    , versions_(hooks_.onVersionInForce)
{
}

auto ConfigurationFollower::pollWait() const -> Duration
{
    const auto longest = longestPollWait();
    // Of the last answer, whether or not it could confirm anything: one that cannot be understood comes again.
    const auto age = std::min(this->age(), storeAsOf_ ? loop_.timers().now() - *storeAsOf_ : Duration::max());
    // After an outage keys are in use again with the first answer. After an answer with changes, which is as of its
    // asking, a reader keeps its age low enough that its followers need no polls of their own. Each call is billed, so
    // smaller ages are left to the next poll.
    constexpr auto leftToNextPoll = 0.45;
    const auto isReader = role_ == decisions::SharedReading::Role::Reader;
    const auto soon = isReader ? age > std::chrono::duration_cast<Duration>(leftToNextPoll * longest)
                               : keysInUse() && age >= longest;
    return soon ? std::max(longest - age, Duration(0)) : longest;
}

auto ConfigurationFollower::longestPollWait() const -> Duration
{
    // The reader polls often enough that its answers spare the followers their own polls.
    const auto usual = role_ == decisions::SharedReading::Role::Reader
        ? decisions::SharedReading(bounds_.inForce).sharedInterval()
        : std::chrono::duration_cast<Duration>(pollShare * bounds_.inForce);
    if (!keysInUse())
        return usual;
    return std::min(usual, std::chrono::duration_cast<Duration>(keyPollShare * *bounds_.keys));
}

auto ConfigurationFollower::keysUsable() const -> bool
{
    return !bounds_.keys || freshness_.holds(loop_.timers().now());
}

auto ConfigurationFollower::poll() -> void
{
    const auto now = loop_.timers().now();
    if (now < skipPollsUntil_) {
        pollTimer_ = loop_.timers().after(skipPollsUntil_ - now, [this] { poll(); });
        return;
    }
    auto answer = knownVersion_ ? store_.follow(table, *knownVersion_, pollWait()) : store_.read(table);
    pendingPoll_ = answer.then([this](hosting::StoreAnswer&& received) { onStoreAnswer(std::move(received)); })
                       .eagerlyEvaluate([](kj::Exception&& error) {
                           log::error("configuration poll failed", { { "reason", error.getDescription().cStr() } });
                       });
}

auto ConfigurationFollower::onStoreAnswer(hosting::StoreAnswer answer) -> void
{
    auto wait = Duration(0);
    if (answer.outcome == hosting::StoreOutcome::Done) {
        if (!std::exchange(storeReachable_, true))
            log::info("store regained", { { "step", "configure" } });
        if (!lastAnswerAt_ && !answer.rows.empty())
            wait = std::chrono::duration_cast<Duration>(firstPollShare * bounds_.inForce);
        lastAnswerAt_ = loop_.timers().now();
        knownVersion_ = std::max(answer.version, knownVersion_.value_or(0));
        applyRows(answer);
    } else if (answer.outcome == hosting::StoreOutcome::HistoryGone) {
        log::warn("store forgot its history", { { "known", std::to_string(knownVersion_.value_or(0)) } });
        knownVersion_.reset();
    } else {
        if (std::exchange(storeReachable_, false))
            log::warn("store lost", { { "step", "configure" }, { "reason", answer.reason } });
        // If `Bounds::keys` is set, the configuration could expire within the longer retry interval of a follower.
        wait = decisions::SharedReading::retryInterval(bounds_.keys ? decisions::SharedReading::Role::Alone : role_);
    }
    pollTimer_ = loop_.timers().after(wait, [this] { poll(); });
}

auto ConfigurationFollower::setReadingRole(decisions::SharedReading::Role role) -> void
{
    using Role = decisions::SharedReading::Role;
    if (std::exchange(role_, role) == role)
        return;
    refreshTimer_ = {};
    if (role != Role::Reader)
        return;
    refreshTimer_ = loop_.timers().every(
        decisions::SharedReading(bounds_.inForce).sharedInterval() / 2, [this] { refreshIfStale(); });
    refreshIfStale();
}

auto ConfigurationFollower::refreshIfStale() -> void
{
    // More than one interval, because the configuration is slightly older than one interval when a regular long poll
    // ends.
    constexpr auto staleIntervals = 1.25;
    const auto interval = decisions::SharedReading(bounds_.inForce).sharedInterval();
    if (!knownVersion_ || age() <= std::chrono::duration_cast<Duration>(staleIntervals * interval))
        return;
    // While the store fails, only the long poll retries it.
    if (refreshing_ || !storeReachable_)
        return;
    refreshing_ = true;
    refreshRead_ = store_.read(table)
                       .then([this](hosting::StoreAnswer&& answer) {
                           refreshing_ = false;
                           if (answer.outcome == hosting::StoreOutcome::Done)
                               applyRows(answer);
                       })
                       .eagerlyEvaluate([](kj::Exception&& error) {
                           log::error("configuration read failed", { { "reason", error.getDescription().cStr() } });
                       });
}

auto ConfigurationFollower::applyRows(const hosting::StoreAnswer& answer) -> void
{
    for (const auto& row : answer.rows)
        applyRow(row);
    noteConfirmed(answer);
}

auto ConfigurationFollower::applyRow(const hosting::Row& row) -> void
{
    if (row.deleted)
        return;
    if (row.key == configurationKey)
        applyConfigurationRow(row);
    else if (row.key.starts_with(versionPrefix))
        applyAdapterVersion(row.value, "store");
}

auto ConfigurationFollower::applyConfigurationRow(const hosting::Row& row) -> void
{
    // A reading that runs beside the long poll may bring an older row after a newer one.
    if (row.version < storeRowVersion_)
        return;
    storeRowVersion_ = row.version;
    storeRowUnreadable_ = !applyConfiguration(row.value, "store");
}

auto ConfigurationFollower::noteConfirmed(const hosting::StoreAnswer& answer) -> void
{
    storeAsOf_ = answer.asOf;
    if (!storeRowUnreadable_)
        confirm(answer.asOf, { .source = "store", .clock = answer.waited ? "waited" : "asked" });
}

auto ConfigurationFollower::confirm(Moment at, Confirmation confirmation) -> void
{
    const auto now = loop_.timers().now();
    if (at > now) {
        log::warn("confirmation from the future",
            { { "source", confirmation.source }, { "clock", std::string(confirmation.clock) },
                { "ahead_ms", millisecondsText(at - now) } });
        if (hooks_.onFutureConfirmation)
            hooks_.onFutureConfirmation(confirmation.source);
    } else if (now - at <= freshness_.age(now)) {
        confirmation_ = std::move(confirmation);
    }
    freshness_.confirmed(at, now);
}

auto ConfigurationFollower::applyFromPeer(std::string_view text, Moment at, std::string_view source) -> bool
{
    const auto before = configuration_;
    if (text.empty() || applyConfiguration(text, source))
        confirm(at, { .source = std::string(source), .clock = "peer" });
    return configuration_ != before;
}

auto ConfigurationFollower::applyConfiguration(std::string_view text, std::string_view source) -> bool
{
    auto read = orElse(
        [&]() -> Result<std::shared_ptr<const ServingConfiguration>> {
            BOOST_LEAF_AUTO(configuration, hosting::readConfiguration(text));
            return std::make_shared<const ServingConfiguration>(std::move(configuration));
        },
        [&](const Error& error) -> std::shared_ptr<const ServingConfiguration> {
            log::error(
                "configuration not understood", { { "source", std::string(source) }, { "reason", error.message() } });
            return nullptr;
        });
    if (!read || (configuration_ && configuration_->version >= read->version))
        return read != nullptr;
    configuration_ = std::move(read);
    inForceSince_ = loop_.timers().now();
    routes_ = RouteTable(*configuration_);
    members_ = MemberTable(*configuration_);
    log::info("configuration in force",
        { { "version", std::to_string(configuration_->version.value()) }, { "source", std::string(source) },
            { "routes", std::to_string(configuration_->routes.size()) },
            { "members", std::to_string(configuration_->members.size()) } });
    hooks_.onChange();
    return true;
}

auto ConfigurationFollower::applyAdapterVersion(std::string_view text, std::string_view source) -> void
{
    const auto named = orElse(
        [&]() -> Result<std::optional<hosting::NamedVersion>> {
            BOOST_LEAF_AUTO(version, hosting::readVersion(text));
            return std::optional(version);
        },
        [&](const Error& error) -> std::optional<hosting::NamedVersion> {
            log::error("version not understood", { { "source", std::string(source) }, { "reason", error.message() } });
            return std::nullopt;
        });
    if (!named)
        return;
    // The previous reading contained everything that was named before it.
    const auto now = loop_.timers().now();
    const auto age = freshness_.age(now);
    versions_.apply(*named,
        { .source = source, .namedAfter = age == Duration::max() ? std::nullopt : std::optional(now - age) }, now);
}

auto ConfigurationFollower::noteAdapterVersion(
    const hosting::NamedVersion& named, std::string_view source, const std::optional<Moment>& namedAfter) -> void
{
    versions_.apply(named, { .source = source, .namedAfter = namedAfter }, loop_.timers().now());
}

auto ConfigurationFollower::applyAdapterVersions(std::string_view text, std::string_view source, Moment askedAt) -> void
{
    versions_.applyJson(text, source, askedAt, loop_.timers().now());
}

} // namespace eelgrass::serving
