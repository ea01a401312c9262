#include "router/controllers/TargetsController.h"

#include "base/Log.h"

#include <algorithm>

namespace eelgrass::router {

namespace {

constexpr auto pollPeriod = Duration(1s);
constexpr auto unreachableFor = Duration(1s);

} // namespace

TargetsController::TargetsController(
    wire::MainLoop& loop, platform::PlatformClient& platform, std::string secret, std::string name)
    : loop_(loop)
    , platform_(platform)
    , secret_(std::move(secret))
    , name_(std::move(name))
{
}

auto TargetsController::start() -> void
{
    auto tick = [this] {
        if (polling_)
            return;
        polling_ = true;
        loop_.spawn(poll()
                        .catch_([](kj::Exception&& lost) {
                            log::warn("host list not read",
                                { { "step", "platform" }, { "reason", lost.getDescription().cStr() } });
                        })
                        .then([this] { polling_ = false; }));
    };
    timer_ = loop_.timers().every(pollPeriod, tick);
    tick();
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
    auto views = std::vector<decisions::TargetView>();
    for (const auto& host : hosts) {
        const auto* known = find(host.target);
        auto view = known ? *known : decisions::TargetView { .id = host.target };
        const auto before = hosts_.find(host.target);
        if (before != hosts_.end() && before->second.address == host.address && before->second.port == host.port) {
            // A target that said itself that it leaves stays so until it comes back elsewhere: the list is older.
            view.leaving = view.leaving || host.leaving;
        } else {
            view = { .id = host.target, .leaving = host.leaving };
            links_.erase(host.target);
            epochs_.erase(host.target);
        }
        view.zone = host.zone;
        view.serves = host.serves;
        views.push_back(std::move(view));
        listed.emplace(host.target, host);
    }
    std::erase_if(links_, [&](const auto& link) { return !listed.contains(link.first); });
    hosts_ = std::move(listed);
    views_ = std::move(views);
    index_.clear();
    for (auto index = std::size_t(0); index < views_.size(); ++index)
        index_.emplace(views_[index].id, index);
}

auto TargetsController::find(const TargetId& target) -> decisions::TargetView*
{
    const auto found = index_.find(target);
    return found == index_.end() ? nullptr : &views_[found->second];
}

auto TargetsController::place(const decisions::PlacementRequest& request) -> std::optional<TargetId>
{
    const auto chosen = decisions::Placer().choose(request, views_);
    if (!chosen)
        return std::nullopt;
    ++views_[*chosen].sentSinceReport;
    return views_[*chosen].id;
}

auto TargetsController::canPlace(const decisions::PlacementRequest& request) const -> bool
{
    return decisions::Placer().choose(request, views_).has_value();
}

auto TargetsController::link(const TargetId& target) -> std::shared_ptr<TargetLink>
{
    const auto host = hosts_.find(target);
    if (host == hosts_.end())
        return nullptr;
    auto& link = links_[target];
    if (!link)
        link = std::make_shared<TargetLink>(loop_, host->second, secret_, name_, [this](auto state) { report(state); });
    return link;
}

auto TargetsController::epoch(const TargetId& target) const -> Epoch
{
    const auto found = epochs_.find(target);
    return found == epochs_.end() ? Epoch(0) : found->second;
}

auto TargetsController::unreachable(const TargetId& target) -> void
{
    auto* view = find(target);
    if (!view)
        return;
    view->reachable = false;
    unreachable_[target] = loop_.timers().after(unreachableFor, [this, target] {
        if (auto* known = find(target))
            known->reachable = true;
        unreachable_.erase(target);
    });
}

auto TargetsController::report(wire::schema::TargetState::Reader state) -> void
{
    const auto target = TargetId(state.getTarget());
    if (onState_)
        onState_(state);
    auto* view = find(target);
    if (!view)
        return;
    view->reachable = state.getEngineAlive() && !unreachable_.contains(target);
    epochs_[target] = Epoch(state.getEpoch());
    view->leaving = view->leaving || state.getLeaving();
    view->queued = state.getQueued();
    view->running = state.getRunning();
    view->slots = state.getSlots();
    view->batchLimit = std::max(1U, state.getBatchLimit());
    view->sentSinceReport = 0;
    view->reportedAt = now();
    view->resident.clear();
    for (auto name : state.getResidentAdapters())
        view->resident.emplace(ModelName(name));
}

} // namespace eelgrass::router
