#include "router/controllers/ConfigController.h"

#include "base/Log.h"

#include <kj/debug.h>

#include <algorithm>

namespace eelgrass::router {

namespace {

constexpr auto headKey = "config/head";
constexpr auto patchPrefix = "config/patch/";
// The row that names the newest snapshot. The row is written after the snapshot object, so that it never names a
// missing object.
constexpr auto snapshotKey = "config/snapshot";
constexpr auto snapshotPrefix = "config/snapshots/";
// Patches whose numbers differ only in the last two digits form a group that one listing reads. With one snapshot per
// group, a starting process reads one object and one or two listings. All processes of a zone may start at once.
constexpr auto groupDigits = std::size_t(2);
constexpr auto groupSize = std::uint64_t(100);
// Fewer missing patches than this are read one by one, because a listing returns the whole group.
constexpr auto listThreshold = std::uint64_t(5);
// 400 entries that each read one row a second stay far below the platform's capacity of 2,000 reads a second.
constexpr auto pollPeriod = Duration(1s);

auto patchKey(ConfigVersion version) -> std::string
{
    // Zero-padded, so that the platform lists patches in numerical order.
    constexpr auto width = 12;
    auto digits = std::to_string(version.value());
    return patchPrefix + std::string(width - std::min<std::size_t>(width, digits.size()), '0') + digits;
}

auto patchNumber(const std::string& key) -> ConfigVersion
{
    return ConfigVersion(std::stoull(key.substr(std::string_view(patchPrefix).size())));
}

auto versionOf(const platform::Row& row) -> ConfigVersion
{
    return row.version == 0 ? ConfigVersion(0) : ConfigVersion(row.value.at("version").get<std::uint64_t>());
}

} // namespace

ConfigController::ConfigController(wire::MainLoop& loop, platform::PlatformClient& platform)
    : loop_(loop)
    , platform_(platform)
    , poller_(loop, "configuration", pollPeriod, [this] { return poll(); })
{
}

auto ConfigController::start() -> void { poller_.start(); }

auto ConfigController::poll() -> kj::Promise<void>
{
    return platform_.read(headKey).then([this](platform::Row row) { return advanceTo(versionOf(row)); }).then([this] {
        ready_ = true;
    });
}

auto ConfigController::advanceTo(ConfigVersion head) -> kj::Promise<void>
{
    // Versions are compared by number, so that a stale answer that arrives late never lowers the version.
    if (head <= current_->version())
        return kj::READY_NOW;
    const auto behind = head.value() - current_->version().value();
    const auto next = current_->version().next();
    auto step = behind < listThreshold ? readPatch(next)
        : behind < groupSize           ? readPatches(next)
                                       : readSnapshot().then([this, next] {
                                   const auto reached = current_->version() >= next;
                                   return reached ? kj::Promise<void>(kj::READY_NOW) : readPatches(next);
                               });
    return step.then([this, head] { return advanceTo(head); });
}

auto ConfigController::readPatch(ConfigVersion version) -> kj::Promise<void>
{
    return platform_.read(patchKey(version)).then([this, version](platform::Row row) {
        KJ_REQUIRE(row.version > 0, "an accepted patch is missing", version.value());
        apply(version, row.value.at("patch"));
    });
}

auto ConfigController::readPatches(ConfigVersion first) -> kj::Promise<void>
{
    auto group = patchKey(first);
    group.resize(group.size() - groupDigits);
    return platform_.list(std::move(group)).then([this, first](std::vector<platform::Row> rows) {
        for (const auto& row : rows)
            apply(patchNumber(row.key), row.value.at("patch"));
        KJ_REQUIRE(current_->version() >= first, "an accepted patch is missing", first.value());
    });
}

auto ConfigController::readSnapshot() -> kj::Promise<void>
{
    return platform_.read(snapshotKey).then([this](platform::Row row) -> kj::Promise<void> {
        const auto version = versionOf(row);
        // A snapshot that is not newer than the current version is useless.
        if (version <= current_->version())
            return kj::READY_NOW;
        return platform_.getObject(snapshotPrefix + std::to_string(version.value()))
            .then([this, version](std::optional<std::string> text) {
                // A snapshot only saves reads: if it is missing or damaged, the patches give the same configuration.
                if (!text || version <= current_->version())
                    return;
                current_ = orElse(
                    [&]() -> Result<ConfigurationPtr> {
                        BOOST_LEAF_AUTO(read, Configuration::fromSnapshot(version, *text));
                        return ConfigurationPtr(std::make_shared<Configuration>(std::move(read)));
                    },
                    [&](const Error& error) {
                        log::warn(
                            "invalid snapshot ignored", { { "step", "configure" }, { "reason", error.message() } });
                        return current_;
                    });
            });
    });
}

auto ConfigController::writeSnapshot() -> kj::Promise<void>
{
    return platform_.read(snapshotKey).then([this](platform::Row row) -> kj::Promise<void> {
        const auto configuration = current_;
        const auto version = configuration->version().value();
        if (version < versionOf(row).value() + groupSize)
            return kj::READY_NOW;
        return platform_.putObject(snapshotPrefix + std::to_string(version), configuration->snapshot())
            .then([this, version, before = row.version] {
                // If another entry has written a newer snapshot meanwhile, this write is refused and nothing is lost.
                auto transaction = platform::Transaction();
                transaction.require = { { snapshotKey, before } };
                transaction.write = { { snapshotKey, { { "version", version } } } };
                return platform_.commit(std::move(transaction)).ignoreResult();
            });
    });
}

auto ConfigController::apply(ConfigVersion version, const Json& patch) -> void
{
    if (version != current_->version().next())
        return;
    orElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(parsed, current_->patched(version, patch));
            current_ = std::make_shared<Configuration>(std::move(parsed));
            log::info("configuration in force", { { "version", std::to_string(version.value()) } });
            return {};
        },
        [](const Error& error) { KJ_FAIL_REQUIRE("an accepted patch does not parse", error.message().c_str()); });
}

auto ConfigController::staleVersionError(ConfigVersion base) const -> Error
{
    const auto current = std::to_string(current_->version().value());
    return Error(Step::Configure, 412, "stale_version",
        "the patch is against version " + std::to_string(base.value()) + ", the current version is " + current);
}

auto ConfigController::submit(ConfigPatch patch) -> kj::Promise<Outcome>
{
    return poll().then([this, patch = std::move(patch)]() mutable -> kj::Promise<Outcome> {
        if (patch.base != current_->version())
            return Outcome(staleVersionError(patch.base));
        auto problem = orElse(
            [&]() -> Result<std::optional<Error>> {
                BOOST_LEAF_CHECK(current_->patched(patch.base.next(), patch.patch));
                return std::optional<Error>();
            },
            [](const Error& error) { return std::optional(error); });
        if (problem)
            return Outcome(std::move(*problem));
        return commit(std::move(patch));
    });
}

auto ConfigController::commit(ConfigPatch patch) -> kj::Promise<Outcome>
{
    const auto next = patch.base.next();
    auto transaction = platform::Transaction();
    transaction.require = { { headKey, patch.base.value() }, { patchKey(next), 0 } };
    transaction.write = {
        { headKey, { { "version", next.value() } } },
        { patchKey(next),
            { { "patch", patch.patch }, { "operator", patch.operatorName }, { "request_id", patch.requestId } } },
    };
    return platform_.commit(std::move(transaction))
        .catch_([](kj::Exception&&) { return false; })
        .then([this, patch = std::move(patch)](bool) { return readOutcome(patch); });
}

auto ConfigController::readOutcome(const ConfigPatch& patch) -> kj::Promise<Outcome>
{
    // Whether the write was committed or refused or its answer was lost, the row of this version shows whose patch was
    // accepted.
    const auto next = patch.base.next();
    return platform_.read(patchKey(next)).then([this, patch, next](platform::Row row) -> kj::Promise<Outcome> {
        if (row.version == 0)
            return Outcome(
                Error(Step::Configure, 503, "not_accepted", "the platform did not take the patch").retryAfter(1s));
        const auto ours = row.value.value("request_id", "") == patch.requestId;
        return poll().then([this, ours, next, base = patch.base] {
            // Only the entry whose patch was accepted checks whether a snapshot is due, so that other entries need no
            // extra reads.
            if (ours) {
                loop_.spawn(writeSnapshot().catch_([](kj::Exception&& lost) {
                    log::warn("snapshot not saved", { { "reason", lost.getDescription().cStr() } });
                }));
            }
            return ours ? Outcome(next) : Outcome(staleVersionError(base));
        });
    });
}

auto ConfigController::history() -> kj::Promise<Json>
{
    return platform_.list(patchPrefix).then([](std::vector<platform::Row> rows) {
        auto list = Json::array();
        for (const auto& row : rows) {
            auto item = row.value;
            item["version"] = patchNumber(row.key).value();
            list.push_back(std::move(item));
        }
        return list;
    });
}

} // namespace eelgrass::router
