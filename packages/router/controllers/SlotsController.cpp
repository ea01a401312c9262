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
    turns_->onTurn([this] { useTurn(); });
}

auto SlotsController::want(std::vector<decisions::LoadCandidate> candidates) -> void
{
    wanted_ = std::move(candidates);
    std::erase_if(wantedAt_, [this](const auto& known) {
        return std::none_of(
            wanted_.begin(), wanted_.end(), [&](const auto& candidate) { return candidate.model == known.first; });
    });
    for (const auto& candidate : wanted_)
        wantedAt_.try_emplace(candidate.model, now());
    if (loading_)
        return;
    if (!turns_ || turns_->held())
        return useTurn();
    const auto worthy = std::find_if(wanted_.begin(), wanted_.end(), [this](const auto& candidate) {
        const auto answer = slots_.request(candidate.model, now(), candidate.member);
        return std::holds_alternative<decisions::LoadNow>(answer)
            || std::holds_alternative<decisions::EvictFirst>(answer);
    });
    if (worthy == wanted_.end())
        turns_->done();
    else
        turns_->ask(worthy->weight, worthy->oldestAt);
}

// The most worthy adapter that a slot can be had for. An eviction ends before its load begins; the turn is kept over
// both.
auto SlotsController::useTurn() -> void
{
    auto evicting = false;
    for (const auto& candidate : wanted_) {
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
        turns_->done();
}

auto SlotsController::unpin(const ModelName& model) -> void
{
    slots_.unpin(model);
    changed();
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
                    log::warn("load lost",
                        { { "step", "load" }, { "model", model.str() }, { "reason", lost.getDescription().cStr() } });
                    // The answer is lost, not the load: the engine's own list tells how it ended.
                    // Until it is read the slot is of unknown content, and nothing is sent to it.
                    loop_.spawn(refreshUntilRead().then([this, model] {
                        if (!slots_.resident().contains(model))
                            loadEnded(model, false);
                    }));
                }));
}

auto SlotsController::loadEnded(const ModelName& model, bool loaded) -> void
{
    if (loaded)
        failures_.erase(model);
    else
        ++failures_[model];
    slots_.loadEnded(model, loaded, now());
    if (const auto wanted = wantedAt_.extract(model); wanted && onLoadTook_)
        onLoadTook_(now() - wanted.mapped());
    if (loading_ == model)
        endTurn();
    changed();
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
                            changed();
                        },
                        [this](kj::Exception&&) { loop_.spawn(refreshUntilRead()); }));
}

auto SlotsController::refresh() -> kj::Promise<void>
{
    return engine_.state().then([this](targets::EngineState state) { take(state); });
}

auto SlotsController::refreshUntilRead() -> kj::Promise<void>
{
    return refresh().catch_(
        [this](kj::Exception&&) { return loop_.sleep(retryDelay).then([this] { return refreshUntilRead(); }); });
}

auto SlotsController::take(const targets::EngineState& state) -> void
{
    slots_.reset(state.models, now());
    // What was under way is settled by the engine's own list.
    if (loading_)
        endTurn();
    changed();
}

auto SlotsController::pinResident(const ModelName& model) -> bool
{
    if (!slots_.resident().contains(model))
        return false;
    slots_.pin(model, now());
    return true;
}

auto SlotsController::failures(const ModelName& model) const -> int
{
    const auto found = failures_.find(model);
    return found == failures_.end() ? 0 : found->second;
}

auto SlotsController::changed() -> void
{
    if (onChange_)
        onChange_();
}

} // namespace eelgrass::router
