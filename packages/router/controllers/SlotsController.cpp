#include "router/controllers/SlotsController.h"

#include "base/Log.h"

#include <algorithm>

#include <kj/debug.h>

namespace eelgrass::router {

namespace {

constexpr auto retryDelay = Duration(500ms);

} // namespace

SlotsController::SlotsController(wire::MainLoop& loop, targets::EngineClient& engine, std::size_t slots)
    : loop_(loop)
    , engine_(engine)
    , slots_(slots)
{
}

auto SlotsController::setTurns(std::unique_ptr<LoadTurns> turns) -> void
{
    turns_ = std::move(turns);
    turns_->onTurn([this] { loadNext(); });
}

auto SlotsController::requestLoads(std::vector<decisions::LoadCandidate> candidates) -> void
{
    candidates_ = std::move(candidates);
    std::erase_if(requestedAt_, [this](const auto& known) {
        return std::none_of(candidates_.begin(), candidates_.end(),
            [&](const auto& candidate) { return candidate.model == known.first; });
    });
    for (const auto& candidate : candidates_)
        requestedAt_.try_emplace(candidate.model, now());
    if (loading_)
        return;
    if (!turns_ || turns_->hasTurn())
        return loadNext();
    const auto loadable = std::find_if(candidates_.begin(), candidates_.end(), [this](const auto& candidate) {
        const auto answer = slots_.request(candidate.model, now(), candidate.member);
        return std::holds_alternative<decisions::LoadNow>(answer)
            || std::holds_alternative<decisions::EvictFirst>(answer);
    });
    if (loadable == candidates_.end())
        turns_->releaseTurn();
    else
        turns_->requestTurn(loadable->weight, loadable->oldestAt);
}

// Loads the adapter of highest priority that can get a slot. An eviction ends before the load that needs its slot
// begins; the turn is kept for both.
auto SlotsController::loadNext() -> void
{
    auto evicting = false;
    for (const auto& candidate : candidates_) {
        const auto answer = slots_.request(candidate.model, now(), candidate.member);
        if (std::holds_alternative<decisions::LoadNow>(answer)) {
            loading_ = candidate.model;
            return load(candidate.model, candidate.member);
        }
        if (const auto* evict = std::get_if<decisions::EvictFirst>(&answer))
            return unload(evict->victim);
        evicting = evicting || std::holds_alternative<decisions::AwaitTransition>(answer);
    }
    if (!evicting)
        endTurn();
}

auto SlotsController::endTurn() -> void
{
    loading_.reset();
    if (turns_)
        turns_->releaseTurn();
}

auto SlotsController::unpin(const ModelName& model) -> void
{
    slots_.unpin(model);
    notifyChange();
}

auto SlotsController::load(const ModelName& model, const MemberId& member) -> void
{
    slots_.loadStarted(model, now(), member);
    loop_.spawn(
        confirmOwner_()
            .then([this, model](bool owner) {
                KJ_REQUIRE(owner, "this target has another owner now");
                return engine_.load(model, epoch_);
            })
            .then(
                [this, model](targets::OrderOutcome outcome) {
                    if (!outcome.accepted())
                        log::warn("load refused",
                            { { "step", "load" }, { "model", model.str() }, { "type", outcome.errorType } });
                    loadEnded(model, outcome.accepted());
                },
                [this, model](kj::Exception&& lost) {
                    log::warn("load not confirmed",
                        { { "step", "load" }, { "model", model.str() }, { "reason", lost.getDescription().cStr() } });
                    // The answer is lost, but the load may have succeeded: the engine's state shows the outcome of the
                    // load. Until that state is read, the content of the slot is unknown and no request is sent to it.
                    loop_.spawn(refreshWithRetry().then([this, model] {
                        if (!slots_.resident().contains(model))
                            loadEnded(model, false);
                    }));
                }));
}

auto SlotsController::loadEnded(const ModelName& model, bool loaded) -> void
{
    if (loaded)
        loadFailures_.erase(model);
    else
        ++loadFailures_[model];
    slots_.loadEnded(model, loaded, now());
    if (const auto requested = requestedAt_.extract(model); requested && onLoadTime_)
        onLoadTime_(now() - requested.mapped());
    if (loading_ == model)
        endTurn();
    notifyChange();
}

auto SlotsController::unload(const ModelName& model) -> void
{
    slots_.unloadStarted(model);
    loop_.spawn(confirmOwner_()
                    .then([this, model](bool owner) {
                        KJ_REQUIRE(owner, "this target has another owner now");
                        return engine_.unload(model, epoch_);
                    })
                    .then(
                        [this, model](targets::OrderOutcome outcome) {
                            slots_.unloadEnded(model, outcome.accepted());
                            notifyChange();
                        },
                        [this](kj::Exception&&) { loop_.spawn(refreshWithRetry()); }));
}

auto SlotsController::refresh() -> kj::Promise<void>
{
    return engine_.state().then([this](targets::EngineState state) { applyEngineState(state); });
}

auto SlotsController::refreshWithRetry() -> kj::Promise<void>
{
    return refresh().catch_(
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return refreshWithRetry(); }); });
}

auto SlotsController::applyEngineState(const targets::EngineState& state) -> void
{
    slots_.reset(state.models, now());
    // The engine's state also gives the outcome of a load in progress.
    if (loading_)
        endTurn();
    notifyChange();
}

auto SlotsController::pinResident(const ModelName& model) -> bool
{
    if (!slots_.resident().contains(model))
        return false;
    slots_.pin(model, now());
    return true;
}

auto SlotsController::loadFailures(const ModelName& model) const -> int
{
    const auto found = loadFailures_.find(model);
    return found == loadFailures_.end() ? 0 : found->second;
}

auto SlotsController::notifyChange() -> void
{
    if (onChange_)
        onChange_();
}

} // namespace eelgrass::router
