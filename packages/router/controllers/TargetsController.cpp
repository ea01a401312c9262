#include "router/controllers/TargetsController.h"

#include "base/Log.h"
#include "decisions/Rendezvous.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

// Sessions unused for this long are closed. At the planned fleet size an entry serves about 1,800 requests a minute; if
// it kept every session, it would end up with one to each target of the fleet, and each session costs heartbeats and
// state reports on both sides.
constexpr auto idleLinkLimit = Duration(60s);
constexpr auto closeCheckPeriod = Duration(5s);
constexpr auto pollPeriod = Duration(1s);
constexpr auto unreachablePeriod = Duration(1s);

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
    closeTimer_ = loop_.timers().every(closeCheckPeriod, [this] { closeIdleLinks(); });
}

auto TargetsController::closeIdleLinks() -> void
{
    const auto unused
        = [](const TargetLink& link) { return !link.hasWaiters() && now() - link.lastUsed() > idleLinkLimit; };
    for (const auto& [target, link] : links_) {
        // Without a session nothing updates the last report: a queue that was long when the session ended would keep
        // requests off the target forever.
        if (unused(*link) || !link->isOpen())
            fleet_.forgetLoad(target);
    }
    std::erase_if(links_, [&](const auto& link) { return unused(*link.second); });
}

auto TargetsController::poll() -> kj::Promise<void>
{
    return platform_.hosts().then([this](std::optional<std::vector<platform::HostRecord>> hosts) {
        if (hosts)
            applyHostList(*hosts);
        ready_ = true;
    });
}

auto TargetsController::applyHostList(const std::vector<platform::HostRecord>& hosts) -> void
{
    auto listed = std::map<TargetId, platform::HostRecord>();
    for (const auto& host : hosts) {
        const auto* known = fleet_.find(host.target);
        auto view = known ? *known : decisions::TargetView { .id = host.target };
        const auto before = hosts_.find(host.target);
        const auto stayed
            = before != hosts_.end() && before->second.address == host.address && before->second.port == host.port;
        if (stayed) {
            // A target that reported itself as leaving stays so until it is listed at another address, because its
            // report is newer than the list.
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
        // The list contains the whole fleet but usually differs in a few hosts, so only changed hosts are reindexed.
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
    // A drained target is skipped like one that has refused the request: it keeps its work and gets no more.
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
    // Uses `explain`, because choosing a target would change the placer's state.
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
    unreachable_[target] = loop_.timers().after(unreachablePeriod, [this, target] {
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
    // The target is excluded only for a short time, because a session that is closed meanwhile does not report the
    // return of the engine.
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
    report.software = SoftwareVersion(state.getEngineSoftware());
    fleet_.report(target, std::move(report), now());
}

} // namespace eelgrass::router
