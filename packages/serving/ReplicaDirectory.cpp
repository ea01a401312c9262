#include "serving/ReplicaDirectory.h"

#include "base/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace eelgrass::serving {

namespace {

constexpr auto table = "servers";
constexpr auto listRetry = Duration(500ms);
// A peer's list of this age shows that the store serves that peer: it is read once a second there.
constexpr auto freshList = Duration(1500ms);

/// Whether peers need not be told of the difference: heartbeats change the rest once a second, and which adapters are
/// where is told by agents.
auto alike(const ReplicaRecord& left, const ReplicaRecord& right) -> bool
{
    return left.service == right.service && left.endpoint == right.endpoint && left.zone == right.zone
        && left.phase == right.phase && left.slots == right.slots && left.hasBaseModel == right.hasBaseModel;
}

} // namespace

ReplicaDirectory::ReplicaDirectory(wire::MainLoop& loop, hosting::Store& store, Options options, Hooks hooks)
    : loop_(loop)
    , store_(store)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , sharing_(options_.drainBound)
    , listNumber_(1 + (std::uint64_t(std::random_device()()) << 32U))
{
}

auto ReplicaDirectory::start() -> void { poll(); }

/// Every heartbeat of every replica changes the table, so it is read at an interval and not followed.
auto ReplicaDirectory::poll() -> void
{
    const auto now = loop_.timers().now();
    if (now < sparedUntil_) {
        timer_ = loop_.timers().after(sparedUntil_ - now, [this] { poll(); });
        return;
    }
    work_ = store_.read(table)
                .then([this](hosting::StoreAnswer&& answer) { take(std::move(answer)); })
                .eagerlyEvaluate([](kj::Exception&& error) {
                    log::error("replica list failed", { { "reason", error.getDescription().cStr() } });
                });
}

auto ReplicaDirectory::readForOthers(bool shared) -> void
{
    // What is known already may be as old as one's own interval, which spares nobody.
    if (shared && !shared_ && timer_.active())
        timer_ = loop_.timers().after(Duration(0), [this] { poll(); });
    shared_ = shared;
}

auto ReplicaDirectory::take(hosting::StoreAnswer answer) -> void
{
    const auto now = loop_.timers().now();
    if (answer.outcome != hosting::StoreOutcome::Done) {
        if (std::exchange(reachable_, false))
            log::warn("store lost", { { "step", "platform" }, { "reason", answer.reason } });
        grace_.lost(now);
        if (!lostSince_)
            lostSince_ = now;
        timer_ = loop_.timers().after(listRetry, [this] { poll(); });
        return;
    }
    lostSince_.reset();
    if (!std::exchange(reachable_, true)) {
        grace_.regained(now);
        log::info("store regained", { { "step", "platform" } });
    }
    auto list = std::vector<Listed>();
    for (auto& row : answer.rows)
        list.push_back({ InstanceId(row.key), std::move(row.value), row.version });
    apply(list, "store");
    readAt_ = now;
    noteListed(list, now);
    removeMissing(list, [&](const Replica& replica) { return grace_.gone(replica.listedAt(), now); });
    ++readings_;
    const auto interval = shared_ ? sharing_.sharedInterval() : sharing_.ownInterval();
    timer_ = loop_.timers().after(interval, [this] { poll(); });
}

auto ReplicaDirectory::apply(const std::vector<Listed>& list, std::string_view source) -> void
{
    known_ = true;
    for (const auto& listed : list)
        put(listed, source);
    index();
    findSuperseded();
}

auto ReplicaDirectory::noteListed(const std::vector<Listed>& list, Moment now) -> void
{
    for (const auto& listed : list) {
        if (const auto found = replicas_.find(listed.instance); found != replicas_.end())
            found->second->setListedAt(now);
    }
}

auto ReplicaDirectory::removeMissing(const std::vector<Listed>& list, const std::function<bool(const Replica&)>& gone)
    -> void
{
    auto missing = std::vector<ReplicaPtr>();
    for (const auto& [instance, replica] : replicas_) {
        const auto named = std::any_of(
            list.begin(), list.end(), [&id = instance](const Listed& listed) { return listed.instance == id; });
        if (!named && gone(*replica))
            missing.push_back(replica);
    }
    for (const auto& replica : missing)
        remove(replica, "not listed");
    if (!missing.empty())
        index();
}

auto ReplicaDirectory::made(ReplicaRecord record, std::string_view source) -> ReplicaPtr
{
    log::info("replica known",
        { { "replica", record.start.instance.str() }, { "birth", std::to_string(record.start.birth.value()) },
            { "service", record.service.str() }, { "peer", record.endpoint.str() },
            { "source", std::string(source) } });
    auto replica = std::make_shared<Replica>(loop_.timers(), std::move(record));
    linkAgent(replica);
    return replica;
}

auto ReplicaDirectory::put(const Listed& listed, std::string_view source) -> void
{
    auto failure = std::string();
    auto read = orElse(
        [&]() -> Result<std::optional<ReplicaRecord>> {
            BOOST_LEAF_AUTO(record, hosting::readReplica(listed.instance.str(), listed.text));
            return std::optional(std::move(record));
        },
        [&](const Error& error) -> std::optional<ReplicaRecord> {
            failure = error.message();
            return std::nullopt;
        });
    if (!read)
        return putUnreadable(listed, failure);
    auto& replica = replicas_[listed.instance];
    // A peer's list may be older than what is known here.
    if (replica && listed.version < replica->listVersion())
        return;
    // The earlier start is over, whatever it was doing: requests that run there see that it is leaving.
    if (replica && !sameStart(replica->record().start, read->start)) {
        if (!replica->outlived(read->start.birth, listed.version))
            return;
        remove(ReplicaPtr(replica), "started again");
    }
    auto& current = replicas_[listed.instance];
    if (!current) {
        current = made(*read, source);
        noteChange();
    }
    if (!alike(current->record(), *read) || current->unreadable())
        noteChange();
    if (read->phase == ReplicaPhase::Draining && !current->leaving()) {
        current->setLeaving();
        noteChange();
        log::info("replica leaving", { { "replica", listed.instance.str() }, { "source", std::string(source) } });
    }
    unreadable_.erase(listed.instance);
    texts_[listed.instance] = listed;
    current->setUnreadable(false);
    current->heardOf();
    current->update(std::move(*read));
    current->setListVersion(listed.version);
}

/// The entry names no replica to use. Replicas heartbeat, so a row that something else has overwritten is readable
/// again with the next one; what runs at the replica meanwhile goes on.
auto ReplicaDirectory::putUnreadable(const Listed& listed, const std::string& reason) -> void
{
    const auto known = replicas_.find(listed.instance);
    if (known != replicas_.end() && listed.version < known->second->listVersion())
        return;
    if (known != replicas_.end() && !known->second->unreadable()) {
        known->second->setUnreadable(true);
        noteChange();
    }
    texts_.erase(listed.instance);
    if (const auto told = unreadable_.find(listed.instance);
        told != unreadable_.end() && told->second == listed.version)
        return;
    constexpr auto mostTold = std::size_t(1000);
    if (unreadable_.size() >= mostTold)
        unreadable_.clear();
    unreadable_[listed.instance] = listed.version;
    log::error("list entry not understood",
        { { "peer", listed.instance.str() }, { "version", std::to_string(listed.version) }, { "reason", reason } });
}

auto ReplicaDirectory::remove(const ReplicaPtr& replica, std::string_view why) -> void
{
    log::info("replica gone", { { "replica", replica->id().str() }, { "reason", std::string(why) } });
    noteChange();
    replica->setLeaving();
    replica->pool().clear();
    texts_.erase(replica->id());
    replicas_.erase(replica->id());
}

auto ReplicaDirectory::gone(const InstanceId& instance, std::string_view why) -> void
{
    const auto found = replicas_.find(instance);
    if (found == replicas_.end())
        return;
    const auto replica = found->second;
    replica->setLeaving();
    log::info("replica gone", { { "replica", instance.str() }, { "reason", std::string(why) } });
}

auto ReplicaDirectory::index() -> void
{
    byService_.clear();
    for (const auto& [instance, replica] : replicas_)
        byService_[replica->record().service].push_back(replica);
}

/// A replica that started anew is listed beside its last start until that lapses. What is sent to the old one comes
/// back unrun and is paid from the retry budget, which after a loss of power is needed for everything else.
auto ReplicaDirectory::findSuperseded() -> void
{
    auto newest = std::map<std::string, std::uint64_t>();
    for (const auto& [instance, replica] : replicas_) {
        auto& version = newest[replica->record().endpoint.str()];
        version = std::max(version, replica->listVersion());
    }
    for (const auto& [instance, replica] : replicas_)
        replica->setSuperseded(replica->listVersion() < newest[replica->record().endpoint.str()]);
}

auto ReplicaDirectory::linkAgent(const ReplicaPtr& replica) -> void
{
    if (replica->agent() || !configuration_)
        return;
    const auto service = configuration_->services.find(replica->record().service);
    if (service == configuration_->services.end() || !service->second.engine)
        return;
    const auto weak = std::weak_ptr<Replica>(replica);
    const auto mostWarm = decisions::LatelyHeld::perSlot * service->second.engine->adapterSlots;
    auto hooks = AgentLink::Hooks { .onState =
                                        [this, weak, mostWarm] {
                                            const auto held = weak.lock();
                                            if (!held)
                                                return;
                                            held->reported();
                                            held->holding(held->agent()->state().resident, mostWarm);
                                            hooks_.onState(held->agent()->state());
                                        },
        .onFigures =
            [weak] {
                if (const auto held = weak.lock())
                    held->reported();
            } };
    const auto caller = AgentLink::Caller {
        .entry = options_.entry, .zone = options_.zone, .near = replica->record().zone == options_.zone
    };
    replica->setAgent(std::make_unique<AgentLink>(
        loop_, Endpoint { replica->record().endpoint.address, options_.agentPort }, caller, std::move(hooks)));
    replica->agent()->configured(configuration_, holder_);
}

auto ReplicaDirectory::configure(std::shared_ptr<const ServingConfiguration> configuration, const std::string& holder)
    -> void
{
    configuration_ = std::move(configuration);
    holder_ = holder;
    for (const auto& [instance, replica] : replicas_) {
        if (replica->agent())
            replica->agent()->configured(configuration_, holder_);
        else
            linkAgent(replica);
    }
}

auto ReplicaDirectory::shareConnections(std::size_t entries) -> void
{
    if (!configuration_)
        return;
    // Half of the share: the other half is for connections in use and for new ones.
    constexpr auto least = std::size_t(1);
    constexpr auto most = std::size_t(16);
    for (const auto& [instance, replica] : replicas_) {
        const auto service = configuration_->services.find(replica->record().service);
        if (service == configuration_->services.end())
            continue;
        const auto share = service->second.connectionLimit / (2 * std::max<std::size_t>(entries, 1));
        replica->pool().setMostIdle(std::clamp(share, least, most));
    }
}

auto ReplicaDirectory::of(const ServiceName& service) const -> const std::vector<ReplicaPtr>&
{
    static const auto none = std::vector<ReplicaPtr>();
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

auto ReplicaDirectory::text() const -> std::string
{
    auto json = nlohmann::json::object();
    for (const auto& [instance, listed] : texts_)
        json[instance.str()] = { { "entry", listed.text }, { "version", listed.version } };
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto ReplicaDirectory::listAge() const -> Duration
{
    return readAt_ ? loop_.timers().now() - *readAt_ : Duration::max();
}

auto ReplicaDirectory::parsePeerList(std::string_view text, std::string_view source) const
    -> std::optional<std::vector<Listed>>
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        log::error("replica list not understood", { { "source", std::string(source) } });
        return std::nullopt;
    }
    auto list = std::vector<Listed>();
    for (const auto& [instance, value] : json.items()) {
        if (value.is_object() && value.contains("entry") && value["entry"].is_string())
            list.push_back({ InstanceId(instance), value["entry"], value.value("version", std::uint64_t(0)) });
    }
    return list;
}

auto ReplicaDirectory::offer(std::string_view text, Duration age, std::string_view source) -> void
{
    const auto list = parsePeerList(text, source);
    if (!list)
        return;
    apply(*list, source);
    if (age > freshList)
        return;
    // The store serves that entry: what it no longer knows has left.
    grace_.servedElsewhere(loop_.timers().now() - age);
    removeMissing(*list, [](const Replica&) { return true; });
}

auto ReplicaDirectory::follow(std::string_view text, Duration age, std::string_view source) -> void
{
    const auto readAt = loop_.timers().now() - age;
    grace_.servedElsewhere(readAt);
    if (!text.empty()) {
        const auto list = parsePeerList(text, source);
        if (!list)
            return;
        apply(*list, source);
        // What was read here since that reading is newer.
        removeMissing(
            *list, [&](const Replica& replica) { return !replica.listedAt() || *replica.listedAt() < readAt; });
    }
    for (const auto& [instance, listed] : texts_) {
        if (const auto found = replicas_.find(instance); found != replicas_.end())
            found->second->setListedAt(readAt);
    }
    readAt_ = std::max(readAt_.value_or(readAt), readAt);
}

} // namespace eelgrass::serving
