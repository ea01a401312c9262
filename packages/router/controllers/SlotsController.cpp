#include "router/controllers/SlotsController.h"

#include "base/Log.h"

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

auto SlotsController::tryPin(const ModelName& model, const MemberId& member) -> bool
{
    const auto answer = slots_.request(model, now(), member);
    if (std::holds_alternative<decisions::UseNow>(answer)) {
        slots_.pin(model, now());
        return true;
    }
    if (std::holds_alternative<decisions::LoadNow>(answer))
        load(model, member);
    if (const auto* evict = std::get_if<decisions::EvictFirst>(&answer))
        unload(evict->victim);
    return false;
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
        gate_()
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
    changed();
}

auto SlotsController::unload(const ModelName& model) -> void
{
    slots_.unloadStarted(model);
    loop_.spawn(gate_()
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
