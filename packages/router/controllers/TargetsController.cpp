#include "router/controllers/TargetsController.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

// An entry serves some 1,800 requests a minute at the size to come. Sessions beyond those it used in the last minute
// would grow towards one to each target of the fleet, each with heartbeats and reports to be paid for on both sides.
constexpr auto idleLimit = Duration(60s);
constexpr auto closingPeriod = Duration(5s);
constexpr auto pollPeriod = Duration(1s);
constexpr auto unreachableFor = Duration(1s);

} // namespace

TargetsController::TargetsController(
    wire::MainLoop& loop, platform::PlatformClient& platform, std::string secret, std::string name)
    : loop_(loop)
    , platform_(platform)
    , secret_(std::move(secret))
    , name_(std::move(name))
    , placer_(decisions::nameHash(name_))
    , loads_(loop)
    , poller_(loop, "host list", pollPeriod, [this] { return poll(); })
{
}

auto TargetsController::start() -> void
{
    poller_.start();
    closing_ = loop_.timers().every(closingPeriod, [this] { closeIdle(); });
}

auto TargetsController::closeIdle() -> void
{
    const auto unused
        = [](const TargetLink& link) { return !link.hasWaiters() && now() - link.lastUsed() > idleLimit; };
    for (const auto& [target, link] : links_) {
        // Without a session nothing corrects the last report: a queue that was long when the session ended would keep
        // requests off the target for ever.
        if (unused(*link) || !link->isOpen())
            fleet_.forgetLoad(target);
    }
    std::erase_if(links_, [&](const auto& link) { return unused(*link.second); });
}

auto TargetsController::poll() -> kj::Promise<void>
{
    return platform_.hosts().then([this](std::optional<std::vector<platform::HostRecord>> hosts) {
        if (hosts)
            take(*hosts);
        ready_ = true;
    });
}

auto TargetsController::take(const std::vector<platform::HostRecord>& hosts) -> void
{
    auto listed = std::map<TargetId, platform::HostRecord>();
    for (const auto& host : hosts) {
        const auto* known = fleet_.find(host.target);
        auto view = known ? *known : decisions::TargetView { .id = host.target };
        const auto before = hosts_.find(host.target);
        const auto stayed
            = before != hosts_.end() && before->second.address == host.address && before->second.port == host.port;
        if (stayed) {
            // A target that said itself that it leaves stays so until it comes back elsewhere: the list is older.
            view.leaving = view.leaving || host.leaving;
        } else {
            view = { .id = host.target, .leaving = host.leaving };
            links_.erase(host.target);
            epochs_.erase(host.target);
        }
        view.zone = host.zone;
        view.serves = host.serves;
        const auto same = stayed && known && known->zone == view.zone && known->serves == view.serves
            && known->leaving == view.leaving;
        // The list names the whole fleet and changes by a few hosts: the index of the others is left as it is.
        if (!same)
            fleet_.put(std::move(view));
        listed.emplace(host.target, host);
    }
    std::erase_if(links_, [&](const auto& link) { return !listed.contains(link.first); });
    for (const auto& [target, host] : hosts_) {
        if (!listed.contains(target))
            fleet_.remove(target);
    }
    hosts_ = std::move(listed);
}

auto TargetsController::place(const decisions::PlacementRequest& request) -> std::optional<TargetId>
{
    // A drained target is passed over as one that refused: it keeps what it has and gets nothing new.
    auto allowed = request;
    if (drained_)
        allowed.tried.insert(allowed.tried.end(), drained_().begin(), drained_().end());
    const auto chosen = placer_.choose(allowed, fleet_, now());
    if (!chosen)
        return std::nullopt;
    fleet_.sent(*chosen, request.model, now());
    return fleet_.views()[*chosen].id;
}

auto TargetsController::canPlace(const decisions::PlacementRequest& request) const -> bool
{
    // Explained, not chosen: a choice would move the placer's own state on.
    const auto seen = explain(request);
    return std::any_of(seen.begin(), seen.end(), [](const auto& target) { return target.usable(); });
}

auto TargetsController::link(const TargetId& target) -> std::shared_ptr<TargetLink>
{
    const auto host = hosts_.find(target);
    if (host == hosts_.end())
        return nullptr;
    auto& link = links_[target];
    if (!link)
        link = std::make_shared<TargetLink>(
            loop_, host->second, secret_, name_, [this](auto state) { report(state); }, &loads_);
    return link;
}

auto TargetsController::epoch(const TargetId& target) const -> Epoch
{
    const auto found = epochs_.find(target);
    return found == epochs_.end() ? Epoch(0) : found->second;
}

auto TargetsController::markUnreachable(const TargetId& target) -> void
{
    fleet_.setReachable(target, false);
    unreachable_[target] = loop_.timers().after(unreachableFor, [this, target] {
        fleet_.setReachable(target, true);
        unreachable_.erase(target);
    });
}

auto TargetsController::report(wire::schema::TargetState::Reader state) -> void
{
    const auto target = TargetId(state.getTarget());
    if (onState_)
        onState_(state);
    if (!fleet_.find(target))
        return;
    // For a short while only: nobody would hear of the engine's return on a session that is closed meanwhile.
    if (!state.getEngineAlive())
        markUnreachable(target);
    epochs_[target] = Epoch(state.getEpoch());
    auto report = decisions::TargetReport {
        .leaving = state.getLeaving(),
        .queued = state.getQueued(),
        .running = state.getRunning(),
        .batchLimit = state.getBatchLimit(),
        .slots = state.getSlots(),
        .awaitingLoad = state.getAwaitingLoad(),
        .loadsWaiting = state.getLoadsWaiting(),
        .evictionCost = state.getEvictionCost(),
        .placeTime = Duration(std::max(1U, state.getPlaceTimeUs())),
    };
    for (auto name : state.getResidentAdapters())
        report.resident.emplace_back(ModelName(name));
    fleet_.report(target, std::move(report), now());
}

} // namespace eelgrass::router
